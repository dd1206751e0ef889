package link

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// StartVerdict is a worker's answer to a start.
type StartVerdict uint8

// Verdicts. All but StartAccepted prove that the call has started nothing.
const (
	StartAccepted StartVerdict = iota
	// StartFenced means that a higher fencing token has been used: the worker has another owner.
	StartFenced
	// StartSuperseded means that this run or a later one has been stopped or has ended there.
	StartSuperseded
	// StartExpired means that the lease of the call had ended on the worker's clock.
	StartExpired
	// StartNoRoom means that the worker has no room for the task.
	StartNoRoom
	// StartUnhealthy means that the worker rejects work for now.
	StartUnhealthy
	// StartInvalid means that the worker cannot read the call.
	StartInvalid
	// StartOtherLife means that the worker has been restarted.
	StartOtherLife
)

// String returns the verdict's name for logs.
func (v StartVerdict) String() string {
	names := [...]string{"accepted", "fenced", "superseded", "expired", "no room", "unhealthy", "invalid", "other life"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unrecognised"
}

// HostAddress names a worker and where it is reached.
type HostAddress struct {
	Worker  string
	Address string
}

// HostStart orders a run. LeaseEnd is a time on the worker's clock.
type HostStart struct {
	Key      contract.RunKey
	Spec     []byte
	LeaseEnd time.Duration
	Token    uint64
}

// HostHold extends the lease of all runs of a worker and asks for their states.
type HostHold struct {
	Token    uint64
	LastSeen uint64
	// LeaseEnd is a time on the worker's clock; zero extends nothing.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// HostReply is what every answer of a worker contains.
type HostReply struct {
	Clock time.Duration
	Born  int64
	// Fenced and OtherLife say why the call had no effect.
	Fenced    bool
	OtherLife bool
}

// RunningRun is a run that the worker has not ended. Progress is a percentage.
type RunningRun struct {
	Key      contract.RunKey
	Progress int
}

// EndedRun is a run that the worker has ended.
type EndedRun struct {
	Number uint64
	Key    contract.RunKey
	State  contract.RunState
	Reason string
}

// HoldReply lists the runs of a worker.
type HoldReply struct {
	HostReply
	Running []RunningRun
	Ended   []EndedRun
}

// HostCalls are the calls to workers. An error means that the outcome of the call is in doubt.
type HostCalls interface {
	Start(ctx context.Context, a HostAddress, s HostStart) (StartVerdict, HostReply, error)
	Stop(ctx context.Context, a HostAddress, key contract.RunKey, token uint64) (HostReply, error)
	Hold(ctx context.Context, a HostAddress, h HostHold) (HoldReply, error)
	// Forget closes the idle connections to a worker.
	Forget(a HostAddress)
}
