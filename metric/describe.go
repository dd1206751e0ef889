package metric

// Description is the name and help text of a metric.
type Description struct {
	Name string
	Help string
}

// Descriptions returns the help texts of all metrics, for the exposition and the status page.
func Descriptions() []Description {
	return []Description{
		{JobsMinted, "job ids handed out"},
		{JobsAccepted, "jobs accepted by this home"},
		{JobsResubmitted, "submissions of a job that was accepted before"},
		{JobsComplete, "jobs answered complete"},
		{JobsFailed, "jobs answered failed"},
		{JobsRefused, "jobs refused as not run"},
		{JobsCancelled, "cancellations of jobs of this home"},
		{JobsForwarded, "calls forwarded to another home"},
		{TasksStarted, "starts sent to workers"},
		{TasksDone, "tasks that ended with a result"},
		{TasksFailed, "tasks that the back end failed"},
		{TasksNotRun, "tasks proven not executed"},
		{TasksUnknown, "tasks whose outcome cannot be proven"},
		{TasksInDoubt, "starts sent and not answered"},
		{TasksResolved, "starts in doubt whose outcome the worker reported"},
		{TasksReclassified, "running tasks that outgrew their class and count as long work from then on"},
		{TasksStraggling, "running tasks that became stragglers of their kind"},
		{StartsRejected, "starts proven not to have happened"},
		{StartsNotSent, "starts that were never written to a socket, part of starts.rejected"},
		{GrantsReceived, "slots received from granters"},
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
		{PeerLinksReplaced, "connections to other entry VMs that failed or went silent"},
		{MembersLive, "live members of the failure domain, including this VM"},
		{InvalidRequests, "calls refused as malformed"},
		{InvariantChecks, "checks of invariants performed"},
		{InvariantViolations, "violations of invariants found"},
		{ConfigRevision, "revision of the configuration in effect"},
		{ConfigRejected, "configuration records rejected"},
		{LogErrors, "failed calls to the platform's log"},
		{QueueWaiting, "tasks that wait for a slot"},
		{PoolStarts, "start calls to owned workers"},
		{PoolStartsRejected, "start calls that provably started nothing"},
		{PoolStartsInDoubt, "start calls without an answer"},
		{PoolRunsAbandoned, "runs stopped because their home did not refresh or claim them"},
		{PoolRunsStalled, "runs stopped because they stood still"},
		{PoolWorkersAcquired, "workers acquired with a new fencing token"},
		{PoolWorkersLost, "workers taken by another VM"},
		{BatchJobsAccepted, "jobs accepted whose answer is the reply to their submission"},
		{BatchJobsRefused, "such jobs refused because they could not end in time"},
		{BatchTasksMoved, "queued tasks moved to an owner with room"},
		{BatchAnswerTime, "time from the arrival of a job to its answer, in microseconds"},
		{PoolQueueTime, "time that a task waits for room at the owner of workers, in microseconds"},
		{PoolCallTime, "time of a start call to a worker, in microseconds"},
		{SlotsHeld, "slots held by this VM, idle or busy"},
	}
}
