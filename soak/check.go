package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Names of the checks, as reported.
const (
	CheckRunsOnce             = "task_runs_once_at_a_time"
	CheckRefusedNotRun        = "refused_job_has_not_run"
	CheckCompletedDone        = "completed_job_is_done"
	CheckFailedHasCause       = "failed_job_has_a_cause"
	CheckAnswerIsAllowed      = "answer_is_one_of_the_protocol"
	CheckCancelledEnds        = "cancelled_job_starts_no_task"
	CheckStopCutsNothing      = "planned_stop_cuts_no_request"
	CheckNoUnexpectedExit     = "process_ends_only_on_order"
	CheckServesAfterFaults    = "served_after_faults"
	CheckEvacuatedGetsNothing = "evacuated_domain_gets_no_task"
)

// cancelTime is the time after the acknowledged cancel of a job from which none of its tasks may start.
const cancelTime = 3 * time.Second

// check verifies the guarantees after the run.
func (s *Soak) check() {
	for _, pair := range s.runs.overlapping() {
		s.reportViolation(CheckRunsOnce, pair)
	}
	s.countChecks(CheckRunsOnce, s.runs.count())
	for _, j := range s.jobs {
		s.checkJob(j)
	}
	s.checkEvacuated()
	var serving sync.WaitGroup
	for _, d := range s.daemons {
		s.countChecks(CheckNoUnexpectedExit, 1)
		if d.hasFailed() {
			s.reportViolation(CheckNoUnexpectedExit, fmt.Sprintf("%s exited unexpectedly, see %s", d.vm, d.log))
		}
		serving.Go(func() { s.checkServing(d) })
	}
	serving.Wait()
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
	s.countChecks(CheckRefusedNotRun, 1)
	if j.refused() && s.runs.started(j.id, j.tasks) {
		s.reportViolation(CheckRefusedNotRun, fmt.Sprintf("job %s was refused, but has run", j.id))
	}
	s.checkCancelled(j)
	for _, a := range j.attempts {
		s.checkAnswer(j, a)
		s.countChecks(CheckCompletedDone, 1)
		if a.state == "completed" && !s.runs.done(j.id, j.tasks) {
			s.reportViolation(CheckCompletedDone, fmt.Sprintf("job %s: %s answered completed, but not all %d tasks are done",
				j.id, a.daemon.vm, j.tasks))
		}
		s.countChecks(CheckFailedHasCause, 1)
		if a.state == "failed" && !s.runs.failed(j.id, j.tasks, attempts) {
			s.reportViolation(CheckFailedHasCause, fmt.Sprintf("job %s: %s answered failed, but no task has failed %d times",
				j.id, a.daemon.vm, attempts))
		}
		if a.err != nil {
			s.checkLostRequest(j, a)
		}
	}
}

// checkCancelled checks that no task of a cancelled job starts once its time is up. Members keep cancels in memory, since
// such jobs are not stored: the check ends when all daemons are killed at once, after which none is in touch either.
func (s *Soak) checkCancelled(j *job) {
	if j.cancelled.IsZero() {
		return
	}
	s.countChecks(CheckCancelledEnds, 1)
	began, ok := s.runs.startedAfter(j.id, j.tasks, j.cancelled.Add(cancelTime))
	if !ok {
		return
	}
	s.mu.Lock()
	forgotten := slices.ContainsFunc(s.allKilled, func(at time.Time) bool { return at.After(j.cancelled) && at.Before(began) })
	s.mu.Unlock()
	if !forgotten {
		s.reportViolation(CheckCancelledEnds, fmt.Sprintf("job %s: a task started %v after its cancel", j.id, began.Sub(j.cancelled)))
	}
}

// checkAnswer checks that an answer is whole, and one that the protocol has for a submission: the job has ended as
// completed or failed, was not accepted, or its outcome is in doubt.
func (s *Soak) checkAnswer(j *job, a attempt) {
	s.countChecks(CheckAnswerIsAllowed, 1)
	allowed := false
	switch a.status {
	case http.StatusOK:
		allowed = a.body == `{"state":"completed"}` || a.body == `{"state":"failed"}`
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		allowed = true
	case 0:
		// No answer has arrived.
		allowed = a.err != nil
	}
	if !allowed {
		s.reportViolation(CheckAnswerIsAllowed, fmt.Sprintf("job %s: %s answered %d %q", j.id, a.daemon.vm, a.status, a.body))
	}
}

// checkLostRequest checks that a request without an answer was not lost in a planned stop of its daemon. A request
// counts as lost in a stop if it failed before the time limit of its job, between the start of the stop and 1 s after its end. A
// request that was sent less than grace/6 before that end, or later, does not count, nor does one whose client left or
// whose connection was disturbed.
func (s *Soak) checkLostRequest(j *job, a attempt) {
	s.countChecks(CheckStopCutsNothing, 1)
	lost := a.sent.Add(a.elapsed)
	if a.daemon.disturbed(a.sent, lost) {
		return
	}
	s.mu.Lock()
	stops := s.stops
	s.mu.Unlock()
	for _, stop := range stops {
		if stop.daemon == a.daemon && a.sent.Before(stop.end.Add(-grace/6)) && a.sent.After(stop.begin.Add(-j.limit)) &&
			lost.After(stop.begin) && !lost.After(stop.end.Add(time.Second)) && a.elapsed < min(a.left, j.patience) {
			s.reportViolation(CheckStopCutsNothing, fmt.Sprintf("job %s at %s, sent %v after SIGTERM, lost after %v: %v",
				j.id, a.daemon.vm, a.sent.Sub(stop.begin), a.elapsed, a.err))
		}
	}
}

// checkServing checks that a daemon serves jobs after the faults.
func (s *Soak) checkServing(d *daemon) {
	c := newClient(s, d.domain, rand.New(rand.NewPCG(s.o.Seed, 9)))
	for range finalJobs {
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), tasks: 2, limit: 8 * time.Second, patience: 8 * time.Second}
		a := c.attempt(j, d, j.limit)
		s.countChecks(CheckServesAfterFaults, 1)
		if a.status != http.StatusOK {
			s.mu.Lock()
			s.report.AnswersMissing++
			s.mu.Unlock()
			s.reportViolation(CheckServesAfterFaults, fmt.Sprintf("%s answered with status %d, error %v", d.vm, a.status, a.err))
		}
	}
}
