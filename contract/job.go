package contract

import (
	"time"
)

// Limits of a job.
const (
	MaxTasks        = 500
	MaxPayloadBytes = 64 << 10
	MaxJobBytes     = 4 << 20
)

// TaskSpec is one task as submitted.
type TaskSpec struct {
	Kind    string
	Payload []byte
}

// JobSpec is a job as submitted.
type JobSpec struct {
	ID       JobID
	Service  string
	Customer string
	Team     string
	Tasks    []TaskSpec
	Deadline time.Time
	Priority int
}

// taskState is the state of a task at its home.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskStarted
	taskFinished
)

type task struct {
	state  taskState
	report TaskReport
	result []byte
	worker string
}

// Job is a job at its home. The lock of its table shard guards all fields but done, which is closed once.
type Job struct {
	spec       JobSpec
	state      JobState
	tasks      []task
	unfinished int
	// started counts the starts that have happened or may have happened.
	started   int
	cancelled bool
	accepted  time.Time
	finished  time.Time
	answer    Answer
	done      chan struct{}
	// size is the memory accounted for the job in its shard.
	size int
}

func newJob(spec JobSpec, now time.Time) *Job {
	return &Job{
		spec: spec, state: JobWaiting, tasks: make([]task, len(spec.Tasks)),
		unfinished: len(spec.Tasks), accepted: now, done: make(chan struct{}),
	}
}

// neverStarted reports whether no task of the job has started or may have started, and none has finished. It expects
// the shard lock to be held.
func (j *Job) neverStarted() bool {
	return j.started == 0 && j.unfinished == len(j.spec.Tasks) && j.unfinished > 0
}

// finishTask expects the shard lock to be held.
func (j *Job) finishTask(index int, report TaskReport, result []byte, now time.Time) {
	tk := &j.tasks[index]
	tk.state = taskFinished
	tk.report = report
	tk.result = result
	j.unfinished--
	if j.unfinished == 0 {
		j.conclude(now)
	}
}

// payloadBytes estimates the memory of the job's tasks until the job ends.
func (j *Job) payloadBytes() int {
	n := jobOverhead
	for _, t := range j.spec.Tasks {
		n += len(t.Payload) + reportOverhead
	}
	return n
}

// JobProgress counts a job's tasks by state.
type JobProgress struct {
	ID       JobID
	Verdict  Verdict
	Tasks    int
	Waiting  int
	Running  int
	Finished int
	Deadline time.Time
	Priority int
}

// progress expects the shard lock to be held.
func (j *Job) progress() JobProgress {
	p := JobProgress{
		ID: j.spec.ID, Verdict: j.answer.Verdict, Tasks: len(j.tasks),
		Deadline: j.spec.Deadline, Priority: j.spec.Priority,
	}
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskWaiting:
			p.Waiting++
		case taskStarted:
			p.Running++
		case taskFinished:
			p.Finished++
		}
	}
	return p
}

// conclude builds the answer of a job whose tasks have all finished. It expects the shard lock to be held.
func (j *Job) conclude(now time.Time) {
	a := Answer{Job: j.spec.ID, Verdict: VerdictComplete, Reports: make([]TaskReport, len(j.tasks))}
	for i := range j.tasks {
		r := j.tasks[i].report
		a.Reports[i] = r
		if r.Outcome != OutcomeDone && a.Verdict == VerdictComplete {
			a.Verdict, a.Reason, a.Detail = VerdictFailed, r.Outcome.String(), r.Detail
		}
	}
	if j.cancelled && a.Verdict == VerdictFailed {
		a.Reason = "cancelled"
	}
	if a.Verdict == VerdictComplete {
		a.Results = make([][]byte, len(j.tasks))
		for i := range j.tasks {
			a.Results[i] = j.tasks[i].result
		}
		j.fire(jobEventCompleted)
	} else {
		j.fire(jobEventFailed)
	}
	j.tasks = nil
	j.spec.Tasks = nil
	j.answer = a
	j.finished = now
	close(j.done)
}

// fire applies an event to the state of the job. It expects the shard lock to be held. The callers check the state
// first, so an event that the state does not allow is a programming error.
func (j *Job) fire(e jobEvent) {
	if err := fireJob(&j.state, e); err != nil {
		panic(err)
	}
}
