package dispatch

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// StartRequest is a request to start a task on a worker.
type StartRequest struct {
	Ticket contract.StartTicket
	Worker machine.WorkerID
	// Incarnation is the worker process to which the start is addressed. Resolve queries the same incarnation: a later
	// one has no record of the start, which does not prove that it never happened.
	Incarnation machine.Incarnation
	Epoch       uint64
	// Attempt numbers the starts of the task from 1; all earlier ones are proven not to have happened.
	Attempt int
	// StartBy is the latest time at which the worker may start the task.
	StartBy time.Time
	Lease   time.Duration
}

// StartReply is a worker's report on a task that has ended.
type StartReply struct {
	Outcome contract.Outcome
	Detail  string
	Result  []byte
	RunTime time.Duration
}

// Starter sends starts to workers.
type Starter interface {
	// Start sends the request and waits until the task has ended. An error of type fault.NotStarted proves that the
	// task was not and will not be started by this call; any other error leaves the start in doubt.
	Start(ctx context.Context, req StartRequest) (StartReply, error)
	// Resolve fences a task whose start is in doubt, waits for its end and reports the outcome. An error of type
	// fault.NotStarted proves that it never started; fault.Unavailable means that the worker cannot be reached now.
	Resolve(ctx context.Context, req StartRequest) (StartReply, error)
}

// ReasonWorkerFull is the reason for which a worker with all slots in use rejects a start.
const ReasonWorkerFull = "full"

// SlotBroker forwards demands and returned slots to the slot allocators of the failure domain.
type SlotBroker interface {
	Demand(contract.SlotDemand)
	Return([]contract.SlotReturn)
	// Allocator returns the slot allocator of a worker, the entry VM that leases out its slots.
	Allocator(machine.WorkerID) string
	// Scarce reports whether the allocators are known to have hardly any free slots of a service.
	Scarce(service string) bool
}
