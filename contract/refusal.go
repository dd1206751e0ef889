package contract

import "time"

// Refuse marks a minted id as never to run, unless a job was accepted under it before. Whoever submits the id later
// receives the refusal; after the retention of answers the id counts as expired and does not run either.
func (t *JobTable) Refuse(id JobID, reason, detail string, now time.Time) bool {
	if id.Home != t.home || !t.minted(id) {
		return false
	}
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if j, ok := s.jobs[id]; ok {
		return j.answer.Verdict == VerdictRefused
	}
	if id.Seq <= s.expired {
		return true
	}
	j := newJob(JobSpec{ID: id}, now)
	j.answer = Answer{Job: id, Verdict: VerdictRefused, Reason: reason, Detail: detail}
	j.fire(jobEventFailed)
	j.finished = now
	close(j.done)
	s.jobs[id] = j
	return true
}
