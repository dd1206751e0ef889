package link

import "github.com/cicadadale/cicadadale/dispatch"

// HTTP headers of the worker protocol.
const (
	HeaderService = "Cicadadale-Service"
	HeaderKind    = "Cicadadale-Kind"
	HeaderHome    = "Cicadadale-Home"
	HeaderEpoch   = "Cicadadale-Epoch"
	// HeaderAttempt numbers the starts of a task from 1. A fence refuses attempts up to its own number, so that the
	// worker can still take the task after a start that is proven not to have happened.
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
	// OutcomeRestarted means that the worker has been restarted and the incarnation of the request has ended.
	OutcomeRestarted = "restarted"
)

// Reasons for rejecting a start.
const (
	RejectFull        = dispatch.ReasonWorkerFull
	RejectIncarnation = "worker incarnation"
	RejectLate        = "start-by time passed"
	RejectFenced      = "fenced"
	RejectDuplicate   = "duplicate"
	RejectLeaving     = "leaving"
)

// Reasons for which the worker ended a task early. Such a task has run at least in part.
const (
	StoppedByHome       = "stopped"
	StoppedLeaseExpired = "lease lapsed"
)

// WorkerStatus is the reply to GET /v1/status.
type WorkerStatus struct {
	Incarnation string `json:"incarnation"`
	// ClockMS is the reading of the worker's monotonic clock.
	ClockMS int64 `json:"clock_ms"`
	Slots   int   `json:"slots"`
	Busy    int   `json:"busy"`
	Leaving bool  `json:"leaving"`
	// Tasks holds the ids of the running tasks. It is missing if the worker does not report them.
	Tasks []string `json:"tasks"`
}
