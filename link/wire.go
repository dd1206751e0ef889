package link

import "github.com/cicadadale/cicadadale/dispatch"

// Headers of the worker protocol.
const (
	HeaderService = "Cicadadale-Service"
	HeaderKind    = "Cicadadale-Kind"
	HeaderHome    = "Cicadadale-Home"
	HeaderEpoch   = "Cicadadale-Epoch"
	// HeaderAttempt numbers the starts of a task from 1. A fence refuses the attempts up to its own, so that a start
	// which is proven not to have happened does not bar the worker for the task.
	HeaderAttempt     = "Cicadadale-Attempt"
	HeaderStartBy     = "Cicadadale-Start-By-Ms"
	HeaderLease       = "Cicadadale-Lease-Ms"
	HeaderIncarnation = "Cicadadale-Worker-Incarnation"
	HeaderOutcome     = "Cicadadale-Outcome"
	HeaderReason      = "Cicadadale-Reason"
	HeaderRunTime     = "Cicadadale-Run-Us"
	// HeaderSlotFreed is "true" in the reply to a throttle or checkpoint call after which the task holds no slot.
	HeaderSlotFreed = "Cicadadale-Slot-Freed"
	// HeaderLamport carries the sender's logical time in starts, fences and their replies.
	HeaderLamport = "Cicadadale-Lamport"
)

// Values of HeaderOutcome.
const (
	OutcomeDone     = "done"
	OutcomeFailed   = "failed"
	OutcomeRejected = "rejected"
	OutcomeRunning  = "running"
	OutcomeNever    = "never-started"
	// OutcomeRestarted says that another incarnation of the worker has taken the place of the one asked for.
	OutcomeRestarted = "restarted"
)

// Reasons of a rejected start.
const (
	RejectFull        = dispatch.ReasonWorkerFull
	RejectIncarnation = "worker incarnation"
	RejectLate        = "start-by time passed"
	RejectFenced      = "fenced"
	RejectDuplicate   = "duplicate"
	RejectLeaving     = "leaving"
)

// Reasons of a task that the worker has ended before its time. Such a task has run, if only in part.
const (
	StoppedByHome = "stopped"
	StoppedLapsed = "lease lapsed"
)

// WorkerStatus is the reply to GET /v1/status.
type WorkerStatus struct {
	Incarnation string `json:"incarnation"`
	// ClockMS is the worker's monotonic clock.
	ClockMS int64 `json:"clock_ms"`
	Slots   int   `json:"slots"`
	Busy    int   `json:"busy"`
	Leaving bool  `json:"leaving"`
	// Tasks holds the ids of the running tasks. A worker that does not report them leaves it out.
	Tasks []string `json:"tasks"`
}
