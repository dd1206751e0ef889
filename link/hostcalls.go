package link

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// StartVerdict is a worker's decision on a start.
type StartVerdict uint8

// Verdicts. All but StartAccepted prove that the call did not start a run.
const (
	StartAccepted StartVerdict = iota
	// StartFenced means that the worker has seen a higher fencing token: it has another owner.
	StartFenced
	// StartSuperseded means that this run or a later run of the task has ended or was stopped on the worker.
	StartSuperseded
	// StartExpired means that the call's lease had already expired on the worker's clock.
	StartExpired
	// StartNoCapacity means that the worker has too little free capacity for the task.
	StartNoCapacity
	// StartUnhealthy means that the worker temporarily rejects all work.
	StartUnhealthy
	// StartInvalid means that the worker cannot decode the call.
	StartInvalid
	// StartOtherWorker means that a worker with another id answers at the address; the called one no longer runs.
	StartOtherWorker
)

// String returns the verdict's name as used in logs.
func (v StartVerdict) String() string {
	names := [...]string{"accepted", "fenced", "superseded", "expired", "no room", "unhealthy", "invalid", "other life"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unrecognised"
}

// HostAddress is a worker's id and network address.
type HostAddress struct {
	Worker  string
	Address string
}

// HostStart is the request to start a run. LeaseEnd is a time on the worker's clock.
type HostStart struct {
	Key      contract.RunKey
	Spec     []byte
	LeaseEnd time.Duration
	Token    uint64
	// Valid reports whether the start may still be sent; nil means always. It is asked when the call is about to be written: a
	// slow VM, or one that is suspended, may get there long after the decision, when the run counts as over. It does not block.
	Valid func() bool
}

// HostPoll is the request that extends the lease of all runs of a worker and returns their states.
type HostPoll struct {
	Token uint64
	// LastOutcome is the number of the last ended run that the caller has received; later ones are returned.
	LastOutcome uint64
	// LeaseEnd is a time on the worker's clock; zero does not extend the lease.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
}

// HostReply is the part that all replies of a worker have in common. Clock is the reading of its clock, StartTime the
// start time of its incarnation in Unix milliseconds.
type HostReply struct {
	Clock     time.Duration
	StartTime int64
	// Fenced and OtherWorker are the reasons for which a call has no effect: the worker has seen a higher fencing
	// token, or a worker with another id answers at the address.
	Fenced      bool
	OtherWorker bool
}

// RunningRun is a run that has not ended on the worker. Progress is a percentage.
type RunningRun struct {
	Key      contract.RunKey
	Progress int
}

// EndedRun is a run that has ended on the worker. Number counts the worker's ended runs.
type EndedRun struct {
	Number uint64
	Key    contract.RunKey
	State  contract.RunState
	Reason string
}

// PollReply is the reply to a HostPoll, with the worker's runs.
type PollReply struct {
	HostReply
	Running []RunningRun
	Ended   []EndedRun
}

// HostCalls sends calls to workers. After an error the outcome of the call is in doubt, unless the error has the trait
// fault.ProvenNotStarted.
type HostCalls interface {
	Start(ctx context.Context, a HostAddress, s HostStart) (StartVerdict, HostReply, error)
	Stop(ctx context.Context, a HostAddress, key contract.RunKey, token uint64) (HostReply, error)
	Poll(ctx context.Context, a HostAddress, h HostPoll) (PollReply, error)
	// CloseIdleConnections closes the idle connections to a worker.
	CloseIdleConnections(a HostAddress)
}
