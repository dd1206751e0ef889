package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// join adds a caller to the job that is known under its id, or to a new one. It returns the answer if there is one already.
func (h *Home) join(b contract.Batch, w *waiter, now time.Time, out *outbox) (answer Answer, ended bool) {
	s := h.shard(b.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, known := s.jobs[b.ID]
	if !known {
		if refusal, refused := h.refuseWithoutRoom(&b); refused {
			return refusal, true
		}
	}
	lastRun := uint64(0)
	if known && j.startsAnew() {
		known, lastRun = false, j.lastRun()
	}
	if !known && h.refusesNew.Load() {
		h.o.Logger.Info("job refused: the process ends", "job", b.ID, "route", b.Route)
		return Answer{Outcome: h.refusedOutcome(&b), Reason: "the process ends"}, true
	}
	if !known {
		var rejection *Answer
		if j, rejection = h.accept(b, lastRun, now, out); rejection != nil {
			return *rejection, true
		}
		h.keep(s, j)
	}
	if j.state == jobEnded {
		return j.answer, true
	}
	j.submittedAt, j.seenAt = later(j.submittedAt, b.Accepted), later(j.seenAt, b.Accepted)
	j.waiters = append(j.waiters, w)
	if !known {
		h.advance(j, now, out)
	}
	return Answer{}, false
}

// accept creates a new job, or returns the answer to one that cannot be served: it has failed if no worker can hold its
// tasks, and is refused if it cannot end before its deadline. The runs of its tasks get higher numbers than lastRun.
func (h *Home) accept(b contract.Batch, lastRun uint64, now time.Time, out *outbox) (*job, *Answer) {
	if answer := h.crashedBefore(b); answer != nil {
		return nil, answer
	}
	if h.o.Cancels.Cancelled(b.ID) {
		h.o.Logger.Info("copy of a cancelled job not started", "job", b.ID, "route", b.Route)
		return nil, &Answer{Outcome: Cancelled, Reason: "cancelled by a caller"}
	}
	for _, step := range b.Steps {
		if fits, known := h.o.Fits(b.Backend, step.Need, step.RequiredLabel); known && !fits {
			h.o.Logger.Info("job failed: no worker can hold its tasks", "job", b.ID, "route", b.Route,
				"cpu_millis", step.Need.CPUMillis, "memory_mb", step.Need.MemoryMB, "label", step.RequiredLabel)
			return nil, &Answer{Outcome: Failed, Reason: "no worker can hold the tasks"}
		}
	}
	if h.anyStepEvacuated(&b) {
		h.o.Logger.Info("job refused: all workers that can hold its tasks are evacuated", "job", b.ID, "route", b.Route)
		h.counter(metric.BatchJobsEvacuated).Inc(1)
		return nil, &Answer{Outcome: h.refusedOutcome(&b), Reason: evacuatedReason, RetryAfter: evacuationRetry}
	}
	steps, expected, slowest := h.plan(b)
	wait, known := h.expectedWait(&b)
	left := b.Deadline.Sub(now)
	answerBy := h.answerBy(b, b.Accepted, now, out)
	if known && !(forecast{contract.AnswerTimes{Deadline: answerBy}, expected}).meetsDeadline(now, wait) {
		h.o.Logger.Info("job refused: cannot end before its deadline", "job", b.ID, "route", b.Route, "wait", wait,
			"expected", expected, "time_left", left, h.majorityAttr("since_majority", now, out))
		h.counter(metric.BatchJobsRefused).Inc(1)
		return nil, &Answer{Outcome: h.refusedOutcome(&b), Reason: "overloaded", RetryAfter: h.retryAfter(&b)}
	}
	j := &job{
		batch: b, steps: steps, expected: expected, tasks: make([]task, 0, b.Tasks()), submittedAt: b.Accepted,
		provenUntil: b.Accepted,
		electorate:  h.o.Members.Electorate(),
	}
	j.target = b.Accepted.Add(time.Duration(b.TargetFactor*float64(slowest)) + b.TargetSlack)
	held, heldElsewhere := h.o.Held.Of(b.ID)
	if !heldElsewhere && lastRun == 0 {
		if answer := h.refuseOnArrival(j, now); answer != nil {
			return nil, answer
		}
	}
	for s, step := range b.Steps {
		for i := range step.Count {
			j.tasks = append(j.tasks, task{step: s, index: i, run: h.runs.first(b.Accepted, lastRun)})
		}
	}
	h.counter(metric.BatchJobsAccepted).Inc(1)
	h.o.Logger.Info("job accepted", "job", b.ID, "route", b.Route, "tasks", len(j.tasks), "priority", b.Priority,
		"steps", len(b.Steps), "estimate", b.Steps[0].Estimate, "expected_run", expected, "expected_wait", wait,
		"time_left", left, "target_in", j.target.Sub(now), "electorate", j.electorate.Size(),
		"members", h.o.Members.Count(), h.majorityAttr("majority_ago", now, out))
	if heldElsewhere {
		h.awaitRelease(j, held, now)
	}
	return j, nil
}

// plan predicts the run times of the steps of a job. expected is the run time of its longest chain of steps if every
// task takes the mean run time of its step, slowest the one if each step takes as long as its longest task.
func (h *Home) plan(b contract.Batch) (steps []step, expected, slowest time.Duration) {
	steps = make([]step, len(b.Steps))
	meanEnds, slowestEnds := make([]time.Duration, len(b.Steps)), make([]time.Duration, len(b.Steps))
	for i, s := range b.Steps {
		steps[i] = step{expected: h.kinds.expected(b.Route, s.Estimate), remaining: s.Count}
		for _, d := range s.DependsOn {
			meanEnds[i], slowestEnds[i] = max(meanEnds[i], meanEnds[d]), max(slowestEnds[i], slowestEnds[d])
		}
		meanEnds[i] += steps[i].expected
		slowestEnds[i] += h.kinds.longest(steps[i].expected, s.Count)
		expected, slowest = max(expected, meanEnds[i]), max(slowest, slowestEnds[i])
	}
	return steps, expected, slowest
}
