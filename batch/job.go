package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// taskState is the state of a task at its home.
type taskState uint8

const (
	// taskUnplaced tasks have no run that may be alive.
	taskUnplaced taskState = iota
	// taskPlaced tasks have a run at an owner.
	taskPlaced
	// taskLost tasks have a run that no owner reports; it has certainly ended at expiresAt.
	taskLost
	taskDone
)

// task is one task of a job.
type task struct {
	state taskState
	step  int
	index int
	run   uint64
	owner string
	// started is set once the owner has reported that the current run has started.
	started   bool
	withdrawn bool
	// recalledAt is when the run was last recalled from the queue of its owner.
	recalledAt time.Time
	worker     string
	// token is the fencing token under which the run was started; zero while it is unknown.
	token    uint64
	failures int
	// crashed is set once an owner has reported that a run ended with its worker.
	crashed bool
	// alone is set if the current run is ordered to be alone on its worker.
	alone    bool
	placedAt time.Time
	// contactAt is the latest arrival of a contact that was echoed in an order or refresh of the current run. Owners date
	// these messages back to the contact.
	contactAt time.Time
	expiresAt time.Time
	retryAt   time.Time
	// onlyWorker is the worker to which the current run is bound, since it may still execute an earlier start of the task; empty
	// for any.
	onlyWorker string
	// mayHaveStarted is set once the owner has reported that the start of the current run may have been executed.
	mayHaveStarted bool
	// lateWait is the last logged reason for which the task is not ordered while an earlier start may still be executed.
	lateWait string
	// unknownOrders counts the consecutive orders that their owners reported as unknown.
	unknownOrders int
	// infeasibleOwners lists the owners none of whose workers can hold the task.
	infeasibleOwners []string
	// infeasibleRounds counts the consecutive times that all owners have reported so.
	infeasibleRounds int
	// suggestion is that of the last owner, suggested is set if the current run was ordered by one.
	suggestion suggestion
	suggested  bool
}

// confirm records that a message about the current run echoes a contact with its owner.
func (t *task) confirm(c Contact) {
	if c.ReceivedAt.After(t.contactAt) {
		t.contactAt = c.ReceivedAt
	}
}

// jobState is the state of a job at its home.
type jobState uint8

const (
	jobActive jobState = iota
	// jobEnding jobs have an outcome, and runs that still have to be stopped.
	jobEnding
	jobEnded
)

// step is the progress of one step of a job.
type step struct {
	// expected is the expected run time of one of its tasks, remaining the number of its tasks that are not done.
	expected  time.Duration
	remaining int
}

// job is a batch with its tasks. The lock of its shard guards it.
type job struct {
	batch contract.Batch
	// steps is the progress of each step of the batch.
	steps []step
	// expected is the expected run time of the whole job on idle workers.
	expected time.Duration
	// target is when the answer becomes late.
	target time.Time
	// tasks is empty once the job has ended; endedRun is the highest number of a run of any of them then.
	tasks    []task
	endedRun uint64
	done     int
	state    jobState
	// mayHaveRun is set once a run of any task may have started.
	mayHaveRun bool
	// shedding is the reason for which the queued runs are being recalled, so that the job can be refused.
	shedding shedReason
	// announcedStart is set once the owners of queued runs have been told that the job has started.
	announcedStart bool
	outcome        Outcome
	answer         Answer
	endedAt        time.Time
	waiters        []*waiter
	// submittedAt is when the last caller submitted the job here, announcedAt when it was last announced to other members.
	submittedAt time.Time
	announcedAt time.Time
	// seenAt is a time at which a caller was there.
	seenAt time.Time
	// provenUntil is the latest known proof of the caller, ordersFrom the time before which no run is ordered.
	provenUntil time.Time
	ordersFrom  time.Time
	// electorate is the set of members with a majority of which the home must be in contact to keep the job's runs.
	electorate *zone.Electorate
	// earlier is the home that has to release the job before it starts here; nil if there is none. released is the one that
	// has released it.
	earlier  *earlierHome
	released string
}

// key returns the key of a task's current run.
func (j *job) key(t *task) contract.RunKey {
	return contract.RunKey{Batch: j.batch.ID, Step: t.step, Index: t.index, Run: t.run}
}

// poolRef returns the pool that holds a task's current run.
func (j *job) poolRef(t *task) PoolRef { return PoolRef{Owner: t.owner, Backend: j.batch.Backend} }

// order returns the order for a task's current run.
func (j *job) order(t *task) contract.TaskOrder {
	step := &j.batch.Steps[t.step]
	expected := j.steps[t.step].expected
	return contract.TaskOrder{
		Key: j.key(t), Backend: j.batch.Backend, Spec: j.batch.Spec, Need: step.Need, Priority: j.batch.Priority,
		Accepted: j.batch.Accepted, Target: j.target, Deadline: j.batch.Deadline, Expected: expected,
		RequiredLabel: step.RequiredLabel, PreferredRack: step.PreferredRack, PerWorkerLimit: step.PerWorkerLimit,
		Route: j.batch.Route, Alone: t.alone, OnlyWorker: t.onlyWorker, Suggested: t.suggested,
		JobStarted: j.announcedStart,
	}
}

// find returns the task that a key names, if the key is that of its current run.
func (j *job) find(k contract.RunKey) *task {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.step == k.Step && t.index == k.Index && t.run == k.Run {
			return t
		}
	}
	return nil
}

// times returns the times on which the usefulness of the answer depends, if it has to come by a time.
func (j *job) times(answerBy time.Time) contract.AnswerTimes {
	return contract.AnswerTimes{Accepted: j.batch.Accepted, Target: j.target, Deadline: answerBy}
}

// forecast returns what decides whether the job is refused that has to end by a time.
func (j *job) forecast(answerBy time.Time) forecast {
	return forecast{j.times(answerBy), j.expected}
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(step int) bool {
	for _, d := range j.batch.Steps[step].DependsOn {
		if j.steps[d].remaining > 0 {
			return false
		}
	}
	return true
}

// queued reports whether no task of the job has started.
func (j *job) queued() bool {
	for i := range j.tasks {
		if j.tasks[i].started || j.tasks[i].state == taskDone {
			return false
		}
	}
	return true
}

// noLiveRuns reports whether no run of any task can be alive, here or at an earlier home.
func (j *job) noLiveRuns() bool {
	return j.earlier == nil && j.ownRunsOver()
}

// ownRunsOver reports whether no run that this home has ordered can be alive.
func (j *job) ownRunsOver() bool {
	for i := range j.tasks {
		if s := j.tasks[i].state; s == taskPlaced || s == taskLost {
			return false
		}
	}
	return true
}

// lastRun returns the highest number of a run of any task.
func (j *job) lastRun() uint64 {
	last := j.endedRun
	for i := range j.tasks {
		last = max(last, j.tasks[i].run)
	}
	return last
}

// end ends the job, of which no run is alive. Its answer is kept, but not its tasks: the room for these is given to other jobs once the
// callers have been answered.
func (j *job) end(now time.Time) {
	j.endedRun = j.lastRun()
	j.state, j.endedAt = jobEnded, now
	j.tasks, j.steps, j.batch.Steps, j.batch.Spec = nil, nil, nil, nil
}

// Outcome is how a job ended.
type Outcome uint8

// Outcomes.
const (
	Completed Outcome = iota
	Failed
	Cancelled
	// Refused jobs have not run and will never run.
	Refused
	// Abandoned jobs were not completed before their deadline or the end of the process; some tasks may have run.
	Abandoned
	// CallerLeft jobs were stopped because all their callers had disconnected. Nobody has cancelled them, and a caller that
	// lost its connection may submit the job again; some tasks may have run.
	CallerLeft
	// Superseded jobs were stopped because their caller has submitted them to another member.
	Superseded
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := [...]string{"completed", "failed", "cancelled", "refused", "abandoned", "caller left", "superseded"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// mayStartAnew reports whether a job that ended so starts anew if it is submitted again: its callers got no result.
func (o Outcome) mayStartAnew() bool {
	return o == Refused || o == Abandoned || o == CallerLeft || o == Superseded
}

// startsAnew reports whether the job has ended so that the next submission under its id is a new job.
func (j *job) startsAnew() bool { return j.state == jobEnded && j.answer.Outcome.mayStartAnew() }

// Answer is the result of a job as its caller gets it.
type Answer struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is how long to wait before a refused job is submitted again.
	RetryAfter time.Duration
}

// State is the state of a job as reported to callers.
type State uint8

// States.
const (
	StateUnknown State = iota
	StateQueued
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)
