package contract

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
)

// maxAdoptedHomes bounds the records of adopted homes. They are kept until the process ends, because without the
// record a hand-over part that is delivered very late would run its jobs again; a VM adopts a few homes per day.
const maxAdoptedHomes = 4096

// AdoptedHome is a successor's record of a home that has handed over its jobs.
type AdoptedHome struct {
	Home machine.Incarnation
	// FirstUnminted is the first sequence number that the home has not minted.
	FirstUnminted uint64
	// Expired holds the highest expired sequence number of each shard of the home.
	Expired []uint64
	// Complete is set by the last part of the hand-over. Only then does a missing id prove that the job was never
	// accepted.
	Complete bool
}

// adoptedHomes holds the homes that a table answers for in addition to its own. Its mutex guards all fields and is
// locked after the lock of a shard.
type adoptedHomes struct {
	mu    sync.Mutex
	homes map[machine.Incarnation]AdoptedHome
}

func (a *adoptedHomes) missingError(id JobID) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.homes[id.Home]
	switch {
	case !ok:
		return fault.With(fault.UnknownJob, "unknown id", "the home of job %s is not known here", id)
	case !h.Complete:
		return fault.With(fault.JobLost, "hand-over incomplete",
			"the home of job %s ended before it had handed over everything", id)
	case id.Seq < h.FirstUnminted:
		return fault.With(fault.NeverAccepted, fault.ReasonHomeClosed, "job %s was never accepted by its home, which has stopped", id)
	default:
		return fault.With(fault.UnknownJob, "unknown id", "job id %s was never minted", id)
	}
}

// Adopt records that this table answers for the jobs of another home. A complete record stays complete. It returns
// false when too many homes have been adopted.
func (t *JobTable) Adopt(h AdoptedHome) bool {
	t.mergeExpired(h)
	t.adopted.mu.Lock()
	defer t.adopted.mu.Unlock()
	old, ok := t.adopted.homes[h.Home]
	if !ok && len(t.adopted.homes) >= maxAdoptedHomes {
		return false
	}
	h.Complete = h.Complete || old.Complete
	t.adopted.homes[h.Home] = h
	return true
}

// mergeExpired merges the expired sequence numbers of a home into the shards. It expects no lock to be held.
func (t *JobTable) mergeExpired(h AdoptedHome) {
	for i := range t.shards {
		if i >= len(h.Expired) {
			return
		}
		s := &t.shards[i]
		s.mu.Lock()
		s.expired[h.Home] = max(s.expired[h.Home], h.Expired[i])
		s.mu.Unlock()
	}
}

// receiving reports whether the hand-over of a home has begun and is not complete.
func (a *adoptedHomes) receiving(home machine.Incarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	h, ok := a.homes[home]
	return ok && !h.Complete
}

// Adopts reports whether this table answers for the jobs of a home other than its own.
func (t *JobTable) Adopts(home machine.Incarnation) bool {
	t.adopted.mu.Lock()
	defer t.adopted.mu.Unlock()
	_, ok := t.adopted.homes[home]
	return ok
}

// AdoptJob registers a job that was handed over and never started. It returns false for an id that is known or
// expired, or once the hand-over of its home is complete: the part was repeated and none of its jobs may be queued.
func (t *JobTable) AdoptJob(spec JobSpec, now time.Time) bool {
	if !t.adopted.receiving(spec.ID.Home) {
		return false
	}
	s := t.shard(spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.jobs[spec.ID]; ok || spec.ID.Seq <= s.expired[spec.ID.Home] {
		return false
	}
	s.add(newJob(spec, now))
	return true
}

// AdoptAnswer registers the final answer of a job that was handed over; an existing answer is kept.
func (t *JobTable) AdoptAnswer(a Answer, now time.Time) bool {
	t.check(InvariantAnswerComplete, a.Consistent())
	if !a.Consistent() || a.Verdict == VerdictPending {
		return false
	}
	s := t.shard(a.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.jobs[a.Job]; ok || a.Job.Seq <= s.expired[a.Job.Home] {
		return false
	}
	s.addFinished(a, now)
	return true
}

// Close stops minting and accepting, and returns the first sequence number that was never minted. After it returns,
// no job is accepted, so Detach sees all jobs.
func (t *JobTable) Close() uint64 {
	firstUnminted := t.CloseMint()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
	}
	return firstUnminted
}

// Detach marks the jobs that never started as handed over and returns each of them once. They can never start here
// again, whether or not a successor confirms them, unless Restore takes them back.
func (t *JobTable) Detach() []JobSpec {
	var specs []JobSpec
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if j.state == JobHandedOver || j.cancelled || !j.neverStarted() {
				continue
			}
			specs = append(specs, j.spec)
			j.fire(jobEventHandedOver)
			j.tasks = nil
			j.spec.Tasks = nil
			s.usage.pending.Add(-int64(j.size))
			j.size = 0
			close(j.done)
		}
		s.mu.Unlock()
	}
	return specs
}

// Restore takes detached jobs back. The caller must have proof that no successor has run or will run them.
func (t *JobTable) Restore(specs []JobSpec, now time.Time) {
	for _, spec := range specs {
		s := t.shard(spec.ID)
		s.mu.Lock()
		if j, ok := s.jobs[spec.ID]; ok && j.state == JobHandedOver {
			s.add(newJob(spec, now))
		}
		s.mu.Unlock()
	}
}

// Abandon ends detached jobs whose successor is gone without having confirmed them; whether they ran is unknown.
func (t *JobTable) Abandon(specs []JobSpec, detail string, now time.Time) {
	for _, spec := range specs {
		s := t.shard(spec.ID)
		s.mu.Lock()
		if j, ok := s.jobs[spec.ID]; ok && j.state == JobHandedOver {
			s.addFinished(UnknownAnswer(spec.ID, len(spec.Tasks), "successor gone", detail), now)
		}
		s.mu.Unlock()
	}
}

// UnknownAnswer returns the answer to a job whose home is gone. tasks is 0 if the number of tasks is not known.
func UnknownAnswer(id JobID, tasks int, reason, detail string) Answer {
	a := Answer{Job: id, Verdict: VerdictFailed, Reason: reason, Detail: detail}
	for range tasks {
		a.Reports = append(a.Reports, TaskReport{Outcome: OutcomeUnknown, Detail: detail})
	}
	return a
}

// Answers calls visit with all final answers, one shard at a time and without holding its lock.
func (t *JobTable) Answers(visit func([]Answer)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		answers := make([]Answer, 0, len(s.ended))
		for _, id := range s.ended {
			answers = append(answers, s.jobs[id].answer)
		}
		s.mu.Unlock()
		visit(answers)
	}
}

// Homes returns the records that a successor needs to answer for this table's own home and the adopted ones.
func (t *JobTable) Homes() []AdoptedHome {
	t.adopted.mu.Lock()
	homes := []AdoptedHome{{Home: t.home, Complete: true}}
	for _, h := range t.adopted.homes {
		homes = append(homes, h)
	}
	t.adopted.mu.Unlock()
	t.mint.mu.Lock()
	homes[0].FirstUnminted = t.mint.next
	t.mint.mu.Unlock()
	for i := range homes {
		homes[i].Expired = make([]uint64, jobShards)
		for n := range t.shards {
			s := &t.shards[n]
			s.mu.Lock()
			homes[i].Expired[n] = s.expired[homes[i].Home]
			s.mu.Unlock()
		}
	}
	return homes
}
