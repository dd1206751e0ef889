package batch

import "time"

// LimitDeadlines brings the deadlines of all jobs forward to the time by which this process must have answered them. Jobs
// that cannot end by then are refused or abandoned as at any deadline.
func (h *Home) LimitDeadlines(end time.Time) {
	for j := range h.lockedJobs() {
		if end.Before(j.batch.Deadline) {
			j.batch.Deadline = end
		}
	}
}

// RefuseNew makes the home refuse all further jobs, since the process ends once the others have been answered. A job that
// was accepted before is seen by the next call of Active: both are decided under the lock of its shard.
func (h *Home) RefuseNew() { h.refusesNew.Store(true) }
