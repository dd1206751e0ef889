package dispatch

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// StartRequest is one start of a task.
type StartRequest struct {
	Ticket contract.StartTicket
	Worker machine.WorkerID
	// Incarnation is the worker process that the start is meant for. Resolving asks for the same one: a successor
	// knows nothing of the start and must not be taken for a proof that it never happened.
	Incarnation machine.Incarnation
	Epoch       uint64
	// Attempt numbers the starts of the task from 1; every earlier one is proven not to have happened.
	Attempt int
	// StartBy is the latest time at which the worker may start the task.
	StartBy time.Time
	Lease   time.Duration
}

// StartReply is the worker's report on a task that has ended.
type StartReply struct {
	Outcome contract.Outcome
	Detail  string
	Result  []byte
	RunTime time.Duration
}

// Starter sends starts to workers.
type Starter interface {
	// Start sends the start and waits for the reply. An error of type fault.NotStarted proves that the task was
	// not and will not be started by this call; any other error leaves it in doubt.
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	// Resolve fences a task whose start is in doubt, waits for its end and reports the outcome. An error of type
	// fault.NotStarted proves that it never started; fault.Unavailable says that the worker cannot be asked now.
	Resolve(ctx context.Context, req StartRequest) (StartReply, error)
}

// ReasonWorkerFull is the reason of a start that the worker rejected because all of its slots were in use.
const ReasonWorkerFull = "full"

// SlotBroker carries demands and returned slots to the granters of the failure domain.
type SlotBroker interface {
	Demand(contract.SlotDemand)
	Return([]contract.SlotReturn)
	// Granter returns the entry VM that grants the slots of a worker.
	Granter(machine.WorkerID) string
	// Scarce reports whether the granters are known to have hardly any free slots of a service.
	Scarce(service string) bool
}
