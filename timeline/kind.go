package timeline

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. Kinds whose names begin with "task." or "run." concern one task, those with "job." one job. Workers
// record the "run." events, entry VMs all others.
const (
	KindNone Kind = iota
	JobAccepted
	JobResubmitted
	JobForwarded
	JobComplete
	JobFailed
	JobRefused
	JobCancelled
	JobReconfigured
	JobHandedOver
	JobTakenOver
	TaskStarted
	TaskDone
	TaskFailed
	TaskNotRun
	TaskUnknown
	TaskRejected
	TaskInDoubt
	TaskResolved
	TaskStraggling
	RunStarted
	RunEnded
	RunRejected
	RunFenced
	DemandSent
	GrantIssued
	GrantReceived
	GrantReturned
	GrantRecalled
	MemberChanged
	LinkOpened
	LinkReplaced
	WorkerListed
	WorkerRestarted
	WorkerHealthChanged
	WorkerDropped
	ConfigApplied
	ConfigRejected
	QuotaMoved
	ClaimWon
	ClaimLost
	TombstonePublished
	TombstoneApplied
	ProcessStarted
	ProcessPaused
	ProcessDraining
	ProcessStopped
	kindCount
)

var kindNames = [kindCount]string{
	KindNone: "none", JobAccepted: "job.accepted", JobResubmitted: "job.resubmitted", JobForwarded: "job.forwarded",
	JobComplete: "job.complete", JobFailed: "job.failed", JobRefused: "job.refused", JobCancelled: "job.cancelled",
	JobReconfigured: "job.reconfigured", JobHandedOver: "job.handed_over", JobTakenOver: "job.taken_over", TaskStarted: "task.started", TaskDone: "task.done", TaskFailed: "task.failed",
	TaskNotRun: "task.not_run", TaskUnknown: "task.unknown", TaskRejected: "task.rejected",
	TaskInDoubt: "task.in_doubt", TaskResolved: "task.resolved", TaskStraggling: "task.straggling",
	RunStarted: "run.started", RunEnded: "run.ended", RunRejected: "run.rejected", RunFenced: "run.fenced",
	DemandSent: "demand.sent", GrantIssued: "grant.issued", GrantReceived: "grant.received",
	GrantReturned: "grant.returned", GrantRecalled: "grant.recalled",
	MemberChanged: "member.changed", LinkOpened: "link.opened",
	LinkReplaced: "link.replaced", WorkerListed: "worker.listed",
	WorkerRestarted: "worker.restarted", WorkerHealthChanged: "worker.health_changed", WorkerDropped: "worker.dropped",
	ConfigApplied: "config.applied", ConfigRejected: "config.rejected", QuotaMoved: "quota.moved",
	ClaimWon: "claim.won", ClaimLost: "claim.lost", TombstonePublished: "closure.published",
	TombstoneApplied: "closure.applied", ProcessStarted: "process.started",
	ProcessPaused: "process.paused", ProcessDraining: "process.draining", ProcessStopped: "process.stopped",
}

// String returns the name used in output and filters.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// Kinds returns the names of all kinds.
func Kinds() []string { return append([]string(nil), kindNames[1:]...) }
