package contract

import "time"

// FailWaiting finishes the waiting tasks of a job that can no longer complete as not run. It returns how many there
// were and, if the job has ended, its answer.
func (t *JobTable) FailWaiting(id JobID, detail string, now time.Time) (int, Answer, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	if !ok || j.unfinished == 0 {
		return 0, Answer{}, false
	}
	n := 0
	for i := range j.spec.Tasks {
		if j.tasks[i].state == taskWaiting {
			n++
			j.finishTask(i, TaskReport{Outcome: OutcomeNotRun, Detail: detail}, nil, now)
		}
		if j.unfinished == 0 {
			return n, j.answer, true
		}
	}
	return n, Answer{}, false
}
