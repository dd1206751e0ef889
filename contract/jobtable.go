package contract

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	jobShards = 16
	// AnswerRetention is how long a finished job's answer is kept for resubmissions.
	AnswerRetention = 10 * time.Minute
)

// JobTable holds the jobs of one home in shards by sequence number.
type JobTable struct {
	domain zone.DomainID
	home   machine.Incarnation
	mint   mint
	shards [jobShards]jobShard
}

type mint struct {
	mu     sync.Mutex
	next   uint64
	closed bool
}

type jobShard struct {
	mu   sync.Mutex
	jobs map[JobID]*Job
	// expired is the highest sequence number whose answer was dropped; an unknown id up to it is never run.
	expired uint64
}

// NewJobTable returns the table of the given home.
func NewJobTable(domain zone.DomainID, home machine.Incarnation) *JobTable {
	t := &JobTable{domain: domain, home: home}
	t.mint.next = 1
	for i := range t.shards {
		t.shards[i].jobs = make(map[JobID]*Job)
	}
	return t
}

func (t *JobTable) shard(id JobID) *jobShard {
	return &t.shards[id.Seq%jobShards]
}

// Mint returns n fresh job ids, or none once minting is closed.
func (t *JobTable) Mint(n int) []JobID {
	t.mint.mu.Lock()
	defer t.mint.mu.Unlock()
	if t.mint.closed {
		return nil
	}
	ids := make([]JobID, n)
	for i := range ids {
		ids[i] = JobID{Domain: t.domain, Home: t.home, Seq: t.mint.next}
		t.mint.next++
	}
	return ids
}

// CloseMint stops minting and returns the first sequence number that was never minted.
func (t *JobTable) CloseMint() uint64 {
	t.mint.mu.Lock()
	defer t.mint.mu.Unlock()
	t.mint.closed = true
	return t.mint.next
}

func (t *JobTable) minted(id JobID) bool {
	t.mint.mu.Lock()
	defer t.mint.mu.Unlock()
	return id.Seq < t.mint.next
}

// Accept registers a job. For an id that is already known it returns false: the submission is a repetition and
// nothing of it must be queued.
func (t *JobTable) Accept(spec JobSpec, now time.Time) (bool, error) {
	if spec.ID.Home != t.home || !t.minted(spec.ID) {
		return false, fault.With(fault.UnknownJob, "unknown id", "job id %s was not minted here", spec.ID)
	}
	s := t.shard(spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.jobs[spec.ID]; ok {
		return false, nil
	}
	if spec.ID.Seq <= s.expired {
		return false, fault.With(fault.Expired, "expired id", "job id %s is older than the retention of answers", spec.ID)
	}
	s.jobs[spec.ID] = newJob(spec, now)
	return true, nil
}

// StartTicket is the permission to send one start of a task.
type StartTicket struct {
	Task     TaskID
	Service  string
	Kind     string
	Payload  []byte
	Deadline time.Time
}

// Start is the gate in front of every start: it moves the task from waiting to started, once, and returns false
// if the task was cancelled or has started before.
func (t *JobTable) Start(id TaskID, worker string) (StartTicket, bool) {
	s := t.shard(id.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id.Job]
	if !ok || id.Index >= len(j.tasks) || j.tasks[id.Index].state != taskWaiting {
		return StartTicket{}, false
	}
	j.tasks[id.Index].state = taskStarted
	j.tasks[id.Index].worker = worker
	j.started++
	if j.state == JobWaiting {
		j.fire(jobEventStarted)
	}
	spec := j.spec.Tasks[id.Index]
	return StartTicket{
		Task: id, Service: j.spec.Service, Kind: spec.Kind, Payload: spec.Payload, Deadline: j.spec.Deadline,
	}, true
}

// NotStarted takes a ticket back after a proof that the start did not happen. It returns false if the job was
// cancelled meanwhile; the task is then finished as not run.
func (t *JobTable) NotStarted(id TaskID, now time.Time) bool {
	s := t.shard(id.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id.Job]
	if !ok || id.Index >= len(j.tasks) || j.tasks[id.Index].state != taskStarted {
		return false
	}
	j.tasks[id.Index].state = taskWaiting
	if j.cancelled {
		j.finishTask(id.Index, TaskReport{Outcome: OutcomeNotRun, Detail: "cancelled"}, nil, now)
		return false
	}
	return true
}

// Finish records the outcome of a task, once. It returns the answer when this was the job's last task.
func (t *JobTable) Finish(id TaskID, report TaskReport, result []byte, now time.Time) (Answer, bool) {
	s := t.shard(id.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id.Job]
	if !ok || id.Index >= len(j.tasks) || j.tasks[id.Index].state == taskFinished {
		return Answer{}, false
	}
	j.finishTask(id.Index, report, result, now)
	return j.answer, j.unfinished == 0
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

// Cancel finishes all waiting tasks of a job as not run and returns how many there were.
func (t *JobTable) Cancel(id JobID, detail string, now time.Time) (int, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return 0, t.missing(id, s)
	}
	j.cancelled = true
	n := 0
	for i := range j.tasks {
		if j.tasks != nil && j.tasks[i].state == taskWaiting {
			n++
			j.finishTask(i, TaskReport{Outcome: OutcomeNotRun, Detail: detail}, nil, now)
		}
	}
	return n, nil
}

// missing explains why an id is not in the table. It expects the shard lock to be held.
func (t *JobTable) missing(id JobID, s *jobShard) error {
	if id.Seq <= s.expired {
		return fault.With(fault.Expired, "expired id", "the answer of %s is no longer kept", id)
	}
	return fault.With(fault.UnknownJob, "unknown id", "job %s was not submitted", id)
}

// Lookup returns the answer, pending or final, and a channel that is closed when the answer is final.
func (t *JobTable) Lookup(id JobID) (Answer, <-chan struct{}, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return Answer{}, nil, t.missing(id, s)
	}
	a := j.answer
	a.Job = id
	return a, j.done, nil
}

// Progress returns the counts of a job's tasks.
func (t *JobTable) Progress(id JobID) (JobProgress, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return JobProgress{}, t.missing(id, s)
	}
	return j.progress(), nil
}

// Reconfigure changes the deadline and priority of an unfinished job.
func (t *JobTable) Reconfigure(id JobID, deadline time.Time, priority int) (JobProgress, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok {
		return JobProgress{}, t.missing(id, s)
	}
	if j.unfinished > 0 {
		if !deadline.IsZero() {
			j.spec.Deadline = deadline
		}
		j.spec.Priority = priority
	}
	return j.progress(), nil
}

// Expire drops answers that are older than the retention.
func (t *JobTable) Expire(now time.Time) int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].expire(now)
	}
	return n
}

func (s *jobShard) expire(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, j := range s.jobs {
		if j.finished.IsZero() || now.Sub(j.finished) < AnswerRetention {
			continue
		}
		delete(s.jobs, id)
		n++
		if id.Seq > s.expired {
			s.expired = id.Seq
		}
	}
	return n
}

// Unfinished counts the jobs without a final answer.
func (t *JobTable) Unfinished() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if j.finished.IsZero() {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
