package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// taskState is where a task stands at its home.
type taskState uint8

const (
	// taskUnplaced tasks have no run that may be alive.
	taskUnplaced taskState = iota
	// taskPlaced tasks have a run at an owner.
	taskPlaced
	// taskLost tasks have a run of which no owner reports; it is over at lostUntil.
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
	// started says that the owner has reported a start of the present run.
	started   bool
	withdrawn bool
	// recalled is when the run was last recalled from the queue of its owner.
	recalled time.Time
	worker   string
	// token is the fencing token under which the run was started, as far as it is known.
	token    uint64
	failures int
	placedAt time.Time
	// wantedAt is when the home has last told the owner that it wants the run.
	wantedAt  time.Time
	lostUntil time.Time
	retryAt   time.Time
	// unknown counts the orders in a row of which their owners know nothing.
	unknown int
	// unable lists the owners none of whose workers can hold the task.
	unable []string
}

// jobState is the state that callers see.
type jobState uint8

const (
	jobActive jobState = iota
	// jobEnding jobs have their outcome, and runs that are still to be stopped.
	jobEnding
	jobEnded
)

// step is the progress of one step of a job.
type step struct {
	// expected is the expected run time of one of its tasks, left the number of its tasks that are not done.
	expected time.Duration
	left     int
}

// job is a batch with its tasks. The lock of its shard guards it.
type job struct {
	batch contract.Batch
	// steps is the progress of each step of the batch.
	steps []step
	// expected is the expected run time of the whole job on workers that are free.
	expected time.Duration
	target   time.Time
	tasks    []task
	done     int
	state    jobState
	// ran is set once a run of any task may have started.
	ran     bool
	outcome Outcome
	answer  Answer
	ended   time.Time
	waiters []chan Answer
}

// key returns the key of a task's present run.
func (j *job) key(t *task) contract.RunKey {
	return contract.RunKey{Batch: j.batch.ID, Step: t.step, Index: t.index, Run: t.run}
}

// place returns the pool at which a task's present run is.
func (j *job) place(t *task) Place { return Place{Owner: t.owner, Backend: j.batch.Backend} }

// order returns the order for a task's present run.
func (j *job) order(t *task) contract.TaskOrder {
	step := &j.batch.Steps[t.step]
	expected := j.steps[t.step].expected
	return contract.TaskOrder{
		Key: j.key(t), Backend: j.batch.Backend, Spec: j.batch.Spec, Need: step.Need, Priority: j.batch.Priority,
		Accepted: j.batch.Accepted, Target: j.target, Deadline: j.batch.Deadline, Expected: expected,
		RequiredLabel: step.RequiredLabel, PreferredRack: step.PreferredRack, PerWorkerLimit: step.PerWorkerLimit,
	}
}

// find returns the task that a key names, if its run is the present one.
func (j *job) find(k contract.RunKey) *task {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.step == k.Step && t.index == k.Index && t.run == k.Run {
			return t
		}
	}
	return nil
}

func (j *job) prospects() prospects {
	return prospects{accepted: j.batch.Accepted, target: j.target, deadline: j.batch.Deadline, expected: j.expected}
}

// due reports whether all steps that a step depends on are done.
func (j *job) due(step int) bool {
	for _, d := range j.batch.Steps[step].DependsOn {
		if j.steps[d].left > 0 {
			return false
		}
	}
	return true
}

// queued reports whether no task has started.
func (j *job) queued() bool {
	for i := range j.tasks {
		if j.tasks[i].started || j.tasks[i].state == taskDone {
			return false
		}
	}
	return true
}

// settled reports whether no run of any task can be alive.
func (j *job) settled() bool {
	for i := range j.tasks {
		if s := j.tasks[i].state; s == taskPlaced || s == taskLost {
			return false
		}
	}
	return true
}

// Outcome is how a job ended.
type Outcome uint8

// Outcomes.
const (
	Completed Outcome = iota
	Failed
	Cancelled
	// Refused jobs have not run and never run.
	Refused
	// Abandoned jobs could not be ended in time; some of their tasks may have run.
	Abandoned
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := [...]string{"completed", "failed", "cancelled", "refused", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Answer is what the caller of a job gets.
type Answer struct {
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused job may be sent again.
	RetryAfter time.Duration
}

// State is the state of a job that a caller asks for.
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
