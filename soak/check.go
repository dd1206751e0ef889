package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Names of the checks.
const (
	CheckRunsOnce        = "task_runs_once_at_a_time"
	CheckRefusalTrue     = "refused_job_has_not_run"
	CheckAnswerWhole     = "completed_job_is_done"
	CheckStopCutsNothing = "planned_stop_cuts_no_request"
	CheckProcessLives    = "process_ends_only_on_order"
	CheckServedAfter     = "served_after_faults"
)

// check compares what was seen with what is promised.
func (s *Soak) check() {
	for _, pair := range s.runs.overlapping() {
		s.violate(CheckRunsOnce, pair)
	}
	s.checked(CheckRunsOnce, s.runs.count())
	for _, j := range s.jobs {
		s.checkJob(j)
	}
	for _, d := range s.daemons {
		s.checked(CheckProcessLives, 1)
		if d.hasFailed() {
			s.violate(CheckProcessLives, fmt.Sprintf("%s has ended by itself, see %s", d.vm, d.log))
		}
		s.checkService(d)
	}
}

func (s *Soak) checkJob(j *job) {
	s.mu.Lock()
	s.report.Jobs++
	if j.refused() {
		s.report.Refused++
	}
	if j.answered() {
		s.report.Completed++
	}
	s.mu.Unlock()
	s.checked(CheckRefusalTrue, 1)
	if j.refused() && s.runs.started(j.id, j.tasks) {
		s.violate(CheckRefusalTrue, fmt.Sprintf("job %s was refused and has run", j.id))
	}
	for _, a := range j.attempts {
		s.checked(CheckAnswerWhole, 1)
		if a.state == "completed" && !s.runs.done(j.id, j.tasks) {
			s.violate(CheckAnswerWhole, fmt.Sprintf("job %s is completed by %s, not all of %d tasks are done", j.id, a.daemon.vm, j.tasks))
		}
		if a.err != nil {
			s.checkLoss(j, a)
		}
	}
}

// checkLoss looks at a request without an answer: a planned stop that nothing else has disturbed must not be the reason.
func (s *Soak) checkLoss(j *job, a attempt) {
	s.checked(CheckStopCutsNothing, 1)
	lost := a.sent.Add(a.took)
	s.mu.Lock()
	stops := s.stops
	s.mu.Unlock()
	for _, p := range stops {
		if p.daemon == a.daemon && a.sent.Before(p.end.Add(-grace/6)) && a.sent.After(p.begin.Add(-j.limit)) &&
			lost.After(p.begin) && !lost.After(p.end.Add(time.Second)) && a.took < j.limit {
			s.violate(CheckStopCutsNothing, fmt.Sprintf("job %s at %s, sent %v after the order to stop, lost after %v: %v", j.id,
				a.daemon.vm, a.sent.Sub(p.begin), a.took, a.err))
		}
	}
}

// checkService fails a daemon that does not serve after the faults.
func (s *Soak) checkService(d *daemon) {
	c := newClient(s, d.domain, rand.New(rand.NewPCG(s.o.Seed, 9)))
	for range closingJobs {
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), tasks: 2, limit: 8 * time.Second}
		a := c.attempt(j, d, j.limit)
		s.checked(CheckServedAfter, 1)
		if a.status != http.StatusOK {
			s.mu.Lock()
			s.report.AnswersMissing++
			s.mu.Unlock()
			s.violate(CheckServedAfter, fmt.Sprintf("%s answers %d, error %v", d.vm, a.status, a.err))
		}
	}
}
