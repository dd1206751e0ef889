package metric

// Description is the name and help text of a metric.
type Description struct {
	Name string
	Help string
}

// Descriptions returns the help texts of all metrics, for the exposition and the status page.
func Descriptions() []Description {
	return []Description{
		{JobsMinted, "job ids issued"},
		{JobsAccepted, "jobs accepted by this home"},
		{JobsResubmitted, "submissions of a job that was accepted before"},
		{JobsComplete, "jobs with the verdict complete"},
		{JobsFailed, "jobs with the verdict failed"},
		{JobsRefused, "jobs refused and not run"},
		{JobsCancelled, "cancellations of jobs of this home"},
		{JobsForwarded, "calls forwarded to another home"},
		{TasksStarted, "starts sent to workers"},
		{TasksDone, "tasks that completed with a result"},
		{TasksFailed, "tasks that the back end failed"},
		{TasksNotRun, "tasks proven not to have run"},
		{TasksUnknown, "tasks whose outcome is unknown"},
		{TasksInDoubt, "starts sent without a reply from the worker"},
		{TasksResolved, "starts in doubt whose outcome the worker reported"},
		{TasksReclassified, "running tasks that exceeded the short-task limit and were reclassified as long"},
		{TasksStraggling, "running tasks that became stragglers of their kind"},
		{StartsRejected, "starts proven not to have happened"},
		{StartsNotSent, "starts that were never written to a socket, part of starts.rejected"},
		{GrantsReceived, "slots received from slot allocators"},
		{GrantsUnused, "slots returned without a start"},
		{GrantsIssued, "slots granted by this VM, including to itself"},
		{DemandsSent, "demands for slots"},
		{ReturnsSent, "returns of slots"},
		{RecallsSent, "recalls of granted slots"},
		{PeerEnvelopesSent, "envelopes sent to other entry VMs"},
		{PeerMessagesSent, "messages sent to other entry VMs"},
		{PeerMessagesDropped, "messages dropped because a link's outbox was full"},
		{PeerBytesSent, "bytes of envelopes sent to other entry VMs"},
		{PeerLinksOpened, "connections opened to other entry VMs"},
		{PeerLinksReplaced, "connections to other entry VMs that failed or stopped acknowledging"},
		{MembersLive, "live members of the failure domain, including this VM"},
		{InvalidRequests, "calls rejected as malformed"},
		{InvariantChecks, "checks of invariants performed"},
		{InvariantViolations, "violations of invariants found"},
		{ConfigRevision, "revision of the configuration in effect"},
		{ConfigRejected, "configuration records rejected"},
		{LogErrors, "failed calls to the platform's log"},
		{QueueWaiting, "tasks that wait for a slot"},
		{PoolStarts, "start calls to owned workers"},
		{PoolStartsRejected, "start calls that provably started nothing"},
		{PoolStartsInDoubt, "start calls without a reply"},
		{PoolRunsAbandoned, "runs stopped because their home did not refresh or claim them"},
		{PoolRunsStalled, "runs stopped because they made no progress"},
		{PoolWorkersAcquired, "workers acquired with a new fencing token"},
		{PoolWorkersLost, "workers taken by another VM"},
		{BatchJobsAccepted, "jobs accepted whose answer is the reply to their submission"},
		{BatchJobsRefused, "such jobs refused because they could not finish before the deadline"},
		{BatchTasksMoved, "queued tasks moved to an owner with free capacity"},
		{BatchAnswerTime, "time from the arrival of a job to its answer, in microseconds"},
		{PoolQueueTime, "time that a task waits for free capacity at the owner of workers, in microseconds"},
		{PoolCallTime, "duration of a start call to a worker, in microseconds"},
		{SlotsHeld, "slots held by this VM, idle or busy"},
	}
}
