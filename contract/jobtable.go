package contract

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	jobShards = 16
	// AnswerRetention is how long a finished job's answer is kept for resubmissions.
	AnswerRetention      = 10 * time.Minute
	defaultRetainedBytes = 128 << 20
	defaultPendingBytes  = 256 << 20
)

// JobBounds bound the memory of a JobTable.
type JobBounds struct {
	// RetainedBytes bounds the memory of the retained answers; beyond it the oldest are dropped early, and requests for
	// their ids are answered as expired.
	RetainedBytes int64
	// PendingBytes bounds the memory of unfinished jobs; beyond it new jobs are refused as not run.
	PendingBytes int64
}

// jobUsage is the memory of all jobs of a table.
type jobUsage struct {
	bounds            JobBounds
	retained, pending atomic.Int64
}

// Names of the invariants that the table checks.
const (
	InvariantAnswerComplete = "answer_whole"
	InvariantNotRunIsTrue   = "not_run_is_true"
	InvariantFinishStarted  = "finish_follows_start"
)

// Check is called with the result of every invariant check.
type Check func(invariant string, holds bool)

// JobTable holds the jobs of one home (the member that accepted them and answers for them) and those that other homes
// have handed over to it, in shards by sequence number.
type JobTable struct {
	domain  zone.DomainID
	home    machine.Incarnation
	check   Check
	mint    mint
	shards  [jobShards]jobShard
	usage   jobUsage
	adopted adoptedHomes
}

type mint struct {
	mu     sync.Mutex
	next   uint64
	closed bool
}

type jobShard struct {
	mu   sync.Mutex
	jobs map[JobID]*Job
	// expired is, for each home, the highest sequence number whose answer was dropped; an unknown id up to it is never
	// run.
	expired map[machine.Incarnation]uint64
	// ended holds the ids of the jobs that have ended, in the order in which they ended.
	ended  []JobID
	usage  *jobUsage
	closed bool
}

// NewJobTable returns the table of the given home. A violated invariant panics unless OnCheck sets another handler.
func NewJobTable(domain zone.DomainID, home machine.Incarnation) *JobTable {
	t := &JobTable{domain: domain, home: home, check: panicOnViolation}
	t.mint.next = 1
	for i := range t.shards {
		t.shards[i].jobs = make(map[JobID]*Job)
		t.shards[i].expired = make(map[machine.Incarnation]uint64)
		t.shards[i].usage = &t.usage
	}
	t.usage.bounds = JobBounds{RetainedBytes: defaultRetainedBytes, PendingBytes: defaultPendingBytes}
	t.adopted.homes = make(map[machine.Incarnation]AdoptedHome)
	return t
}

func panicOnViolation(invariant string, holds bool) {
	if !holds {
		panic("violated invariant: " + invariant)
	}
}

// SetBounds sets the bounds of the table's memory. It must be called before the table is shared.
func (t *JobTable) SetBounds(b JobBounds) { t.usage.bounds = b }

// OnCheck sets the handler of invariant checks. It must be called before the table is shared.
func (t *JobTable) OnCheck(c Check) { t.check = c }

func (t *JobTable) shard(id JobID) *jobShard {
	return &t.shards[id.Seq%jobShards]
}

// Mint returns n new job ids, or none once minting has stopped.
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

// Accept registers a job. It returns false for a known id: the submission is a repetition and none of its tasks may
// be queued.
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
	if spec.ID.Seq <= s.expired[spec.ID.Home] {
		return false, fault.With(fault.Expired, fault.ReasonIDTooOld, "job id %s is older than the retention of answers", spec.ID)
	}
	if s.closed {
		return false, fault.With(fault.Draining, fault.ReasonDraining, "this entry VM is stopping")
	}
	j := newJob(spec, now)
	if s.usage.pending.Load()+int64(j.payloadBytes()) > s.usage.bounds.PendingBytes {
		return false, fault.With(fault.Overloaded, "memory", "the unfinished jobs take the memory set aside for them")
	}
	s.add(j)
	return true, nil
}

// Refuse records that a job was refused, so that a copy of the submission that arrives later is not accepted. It
// returns false if the id is known or expired; the caller must then not report the job as refused.
func (t *JobTable) Refuse(id JobID, reason, detail string, now time.Time) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j, ok := s.jobs[id]; ok {
		return j.answer.Verdict == VerdictRefused
	}
	if id.Home != t.home || id.Seq <= s.expired[id.Home] || !t.minted(id) {
		return false
	}
	s.addFinished(Answer{Job: id, Verdict: VerdictRefused, Reason: reason, Detail: detail}, now)
	return true
}

// addFinished adds a job that has ended with the given answer. It expects s.mu to be held and the id to be unknown or
// that of a job that was handed over, which the new one replaces.
func (s *jobShard) addFinished(a Answer, now time.Time) {
	j := newJob(JobSpec{ID: a.Job}, now)
	j.answer, j.finished = a, now
	j.state = JobFailed
	if a.Verdict == VerdictComplete {
		j.state = JobComplete
	}
	close(j.done)
	s.add(j)
	s.retain(j)
}

// add expects s.mu to be held.
func (s *jobShard) add(j *Job) {
	j.size = j.payloadBytes()
	s.usage.pending.Add(int64(j.size))
	s.jobs[j.spec.ID] = j
}

// StartTicket is the permission to send one start of a task.
type StartTicket struct {
	Task     TaskID
	Service  string
	Kind     string
	Payload  []byte
	Deadline time.Time
}

// Start moves a task from waiting to started, at most once, and must be called before every start. It returns false
// if the task was cancelled, was handed over or has already started.
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

// NotStarted reverts Start after proof that the worker did not start the task. It returns false if the job was
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
	j.started--
	if j.cancelled {
		t.finishTask(s, j, id.Index, TaskReport{Outcome: OutcomeNotRun, Detail: "cancelled"}, nil, now)
		return false
	}
	return true
}

// Finish records the outcome of a task, once. If this was the job's last task, it returns the answer. "Not run" is
// accepted only for a waiting task, every other outcome only for a started one.
func (t *JobTable) Finish(id TaskID, report TaskReport, result []byte, now time.Time) (Answer, bool) {
	s := t.shard(id.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id.Job]
	if !ok || id.Index >= len(j.tasks) || j.tasks[id.Index].state == taskFinished {
		return Answer{}, false
	}
	started := j.tasks[id.Index].state == taskStarted
	if report.Outcome == OutcomeNotRun {
		t.check(InvariantNotRunIsTrue, !started)
		if started {
			report.Outcome = OutcomeUnknown
		}
	} else {
		t.check(InvariantFinishStarted, started)
		if !started {
			return Answer{}, false
		}
	}
	t.finishTask(s, j, id.Index, report, result, now)
	return j.answer, j.unfinished == 0
}

// finishTask expects s.mu to be held.
func (t *JobTable) finishTask(s *jobShard, j *Job, index int, report TaskReport, result []byte, now time.Time) {
	j.finishTask(index, report, result, now)
	if j.unfinished > 0 {
		return
	}
	t.check(InvariantAnswerComplete, j.answer.Consistent())
	s.retain(j)
}

// retain moves a finished job from the pending to the retained memory and drops the oldest answers beyond the bound.
// It expects s.mu to be held.
func (s *jobShard) retain(j *Job) {
	s.usage.pending.Add(-int64(j.size))
	j.size = j.answer.bytes()
	s.usage.retained.Add(int64(j.size))
	s.ended = append(s.ended, j.spec.ID)
	for s.usage.retained.Load() > s.usage.bounds.RetainedBytes && len(s.ended) > 1 {
		s.dropOldest()
	}
}

// dropOldest expects s.mu to be held and at least one finished job.
func (s *jobShard) dropOldest() {
	id := s.ended[0]
	s.ended = s.ended[1:]
	s.usage.retained.Add(-int64(s.jobs[id].size))
	delete(s.jobs, id)
	s.expired[id.Home] = max(s.expired[id.Home], id.Seq)
}

// Cancel finishes all waiting tasks of a job as not run and returns how many there were.
func (t *JobTable) Cancel(id JobID, detail string, now time.Time) (int, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := t.find(id, s)
	if err != nil {
		return 0, err
	}
	if j.unfinished == 0 {
		return 0, nil
	}
	j.cancelled = true
	n := 0
	for i := range j.spec.Tasks {
		if j.tasks != nil && j.tasks[i].state == taskWaiting {
			n++
			t.finishTask(s, j, i, TaskReport{Outcome: OutcomeNotRun, Detail: detail}, nil, now)
		}
	}
	return n, nil
}

// find returns a job that this table answers for. It expects the shard lock to be held.
func (t *JobTable) find(id JobID, s *jobShard) (*Job, error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, t.missingError(id, s)
	}
	if j.state == JobHandedOver {
		return nil, fault.With(fault.HandedOver, "handed over", "job %s was handed over", id)
	}
	return j, nil
}

// missingError returns the reason for which an id is not in the table. It expects the shard lock to be held.
func (t *JobTable) missingError(id JobID, s *jobShard) error {
	if id.Seq <= s.expired[id.Home] {
		return fault.With(fault.Expired, "expired id", "the answer of %s is no longer kept", id)
	}
	if id.Home != t.home {
		return t.adopted.missingError(id)
	}
	return fault.With(fault.UnknownJob, "unknown id", "job %s was not submitted", id)
}

// Lookup returns the pending or final answer, and a channel that is closed when the answer is final or the job is
// handed over.
func (t *JobTable) Lookup(id JobID) (Answer, <-chan struct{}, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := t.find(id, s)
	if err != nil {
		return Answer{}, nil, err
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
	j, err := t.find(id, s)
	if err != nil {
		return JobProgress{}, err
	}
	return j.progress(), nil
}

// Reconfigure changes the deadline and priority of an unfinished job.
func (t *JobTable) Reconfigure(id JobID, deadline time.Time, priority int) (JobProgress, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := t.find(id, s)
	if err != nil {
		return JobProgress{}, err
	}
	if j.unfinished > 0 {
		if !deadline.IsZero() {
			j.spec.Deadline = deadline
		}
		j.spec.Priority = priority
	}
	return j.progress(), nil
}

// Expire drops answers that are older than AnswerRetention and returns their number.
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
	for len(s.ended) > 0 && now.Sub(s.jobs[s.ended[0]].finished) >= AnswerRetention {
		s.dropOldest()
		n++
	}
	return n
}

// Unfinished counts the jobs without a final answer that this table answers for.
func (t *JobTable) Unfinished() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if j.finished.IsZero() && j.state != JobHandedOver {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
