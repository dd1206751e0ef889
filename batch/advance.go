package batch

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// unstartedGap is added to the number of the next run when the last one was barred without having run: an earlier home
// of the job may have used higher numbers.
const unstartedGap = 10_000

const (
	// placeRetryMost bounds the pause between orders of a task that owners do not carry out.
	placeRetryMost      = 400 * time.Millisecond
	maxUnknownDoublings = 8
	// unknownProof is the time after an order within which an owner that does not know it proves that it has not run. Owners
	// keep the ends of runs for 10 s.
	unknownProof = 5 * time.Second
)

// advance places what can be placed, moves what waits behind others, and answers a job that has ended. The lock of the
// job's shard is held.
func (h *Home) advance(j *job, now time.Time, out *outbox) {
	if j.state == jobActive {
		h.checkTime(j, now, out)
	}
	for i := range j.tasks {
		h.advanceTask(j, &j.tasks[i], now, out)
	}
	if j.state == jobActive && j.done == len(j.tasks) {
		h.end(j, Completed, "", now, out)
	}
	if j.state == jobEnding && j.outcome == Refused && !now.Before(j.batch.Deadline) {
		// It is not known whether a run has started, and the caller waits no longer.
		j.outcome, j.answer = Abandoned, Answer{Outcome: Abandoned, Reason: "time limit"}
	}
	if j.state == jobEnding && (j.settled() || j.outcome != Refused) {
		h.answer(j, now)
	}
}

// advanceTask does for a task what the passing of time decides.
func (h *Home) advanceTask(j *job, t *task, now time.Time, out *outbox) {
	if t.state == taskLost && !now.Before(t.lostUntil) {
		h.o.Logger.Info("run of an unreachable owner has lapsed", "task", j.key(t).String(), "owner", t.owner)
		j.ran = true
		h.unplace(t, true)
	}
	switch {
	case j.state != jobActive:
	case t.state == taskUnplaced && !now.Before(t.retryAt) && j.due(t.step):
		h.place(j, t, now, out)
	case h.shouldMove(j, t, now):
		h.o.Logger.Info("moving a queued task to an owner with room", "task", j.key(t).String(), "owner", t.owner,
			"queued_for", now.Sub(t.placedAt))
		h.counter(metric.BatchTasksMoved).Inc(1)
		t.recalled = now
		out.recall(j.place(t), j.key(t))
	}
}

// shouldMove reports whether a task waits at its owner while another one has room.
func (h *Home) shouldMove(j *job, t *task, now time.Time) bool {
	return t.state == taskPlaced && !t.started && now.Sub(t.placedAt) > moveAfter &&
		now.Sub(t.recalled) > recallRetry && h.o.Rooms.FreeElsewhere(j.batch.Backend, t.owner)
}

// checkTime ends a job whose caller stops waiting, or that has not started and cannot end in time any more.
func (h *Home) checkTime(j *job, now time.Time, out *outbox) {
	switch {
	case !now.Before(j.batch.Deadline):
		h.end(j, Abandoned, "time limit", now, out)
	case !j.ran && j.queued() && j.prospects().hopeless(now):
		h.counter(metric.BatchJobsRefused).Inc(1)
		h.end(j, Refused, "no room in time", now, out)
	}
}

// place orders the next run of a task.
func (h *Home) place(j *job, t *task, now time.Time, out *outbox) {
	owner, ok := h.o.Rooms.Reserve(j.batch.Backend, j.batch.Priority, j.steps[t.step].expected,
		func(id string) bool { return slices.Contains(t.unable, id) })
	if !ok {
		t.unable = nil
		t.retryAt = now.Add(placeRetry)
		return
	}
	t.state, t.owner, t.placedAt, t.wantedAt = taskPlaced, owner, now, now
	t.started, t.withdrawn, t.worker, t.token, t.recalled = false, false, "", 0, time.Time{}
	out.order(owner, j.order(t))
}

// unplace makes a task ready for its next run.
func (h *Home) unplace(t *task, ran bool) {
	t.state, t.started, t.withdrawn = taskUnplaced, false, false
	t.run++
	if !ran {
		t.run += unstartedGap
	}
}

// unknownRetry is the pause before a task is placed again after n orders in a row that their owners did not carry out. An
// owner whose messages are delayed rejects each order at once, and would be sent the next one as fast as messages travel.
func unknownRetry(n int) time.Duration {
	return min(placeRetry<<min(n, maxUnknownDoublings), placeRetryMost)
}

// end fixes the outcome of a job and withdraws its runs.
func (h *Home) end(j *job, o Outcome, reason string, now time.Time, out *outbox) {
	if j.state != jobActive {
		return
	}
	j.state, j.outcome = jobEnding, o
	j.answer = Answer{Outcome: o, Reason: reason}
	j.ended = now
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskPlaced {
			t.withdrawn = true
			out.withdraw(j.place(t), j.key(t))
		}
	}
}

// answer tells the callers of a job its outcome. A refusal is given only if no run has started.
func (h *Home) answer(j *job, now time.Time) {
	if j.outcome == Refused {
		if j.ran {
			j.answer.Outcome = Abandoned
		}
		if wait, ok := h.o.Rooms.Wait(j.batch.Backend, j.batch.Priority); ok {
			j.answer.RetryAfter = wait
		}
	}
	if len(j.waiters) > 0 || j.settled() {
		h.o.Logger.Info("job answered", "job", j.batch.ID, "route", j.batch.Route, "outcome", j.answer.Outcome.String(),
			"reason", j.answer.Reason, "took", now.Sub(j.batch.Accepted), "target", j.target.Sub(j.batch.Accepted),
			"tasks_done", j.done, "tasks", len(j.tasks))
		metric.Histogram(metric.BatchAnswerTime, h.o.Metrics).Update(now.Sub(j.batch.Accepted).Microseconds())
	}
	for _, w := range j.waiters {
		w <- j.answer
	}
	j.waiters = nil
	if j.settled() {
		j.state, j.ended = jobEnded, now
		j.batch.Spec = nil
	}
}

// Report takes the owner's word on a run.
func (h *Home) Report(from Place, r contract.RunReport) {
	now := h.o.Now()
	out := newOutbox()
	if r.State.Final() {
		out.acknowledge(from, r.Key)
	}
	s := h.shard(r.Key.Batch)
	s.mu.Lock()
	if j, ok := s.jobs[r.Key.Batch]; ok {
		if t := j.find(r.Key); t != nil && (t.state == taskPlaced || t.state == taskLost) {
			h.report(j, t, from.Owner, r, now, out)
			h.advance(j, now, out)
		}
	}
	s.mu.Unlock()
	out.send(h.o.Owners)
}

// report records an owner's word on the present run of a task. The lock of the job's shard is held.
func (h *Home) report(j *job, t *task, owner string, r contract.RunReport, now time.Time, out *outbox) {
	j.ran = j.ran || r.Ran
	if t.owner != owner && r.State != contract.RunDone && r.State != contract.RunStarted {
		// Another owner than the present one can prove only that the run is done or runs at it.
		return
	}
	switch r.State {
	case contract.RunStarted:
		h.started(j, t, owner, r, out)
	case contract.RunDone:
		t.state = taskDone
		j.done++
		j.steps[t.step].left--
		h.kinds.learn(j.batch.Route, j.batch.Steps[t.step].Estimate, r.RunTime)
	case contract.RunFailed:
		h.failed(j, t, r, now, out)
	case contract.RunUnknown:
		h.unknown(j, t, r, now)
	case contract.RunEnded:
		if t.started && !t.withdrawn {
			h.o.Logger.Info("run has ended before its task was done", "task", r.Key.String(), "worker", r.Worker)
		}
		h.unplace(t, r.Ran)
	case contract.RunInfeasible:
		t.unable = append(t.unable, owner)
		h.unplace(t, r.Ran)
	case contract.RunLost:
		h.lose(t, now)
	}
}

// unknown records that an owner knows nothing of an order. The owner of a lost run does not know it, but it may be alive on a
// worker that another VM has taken.
func (h *Home) unknown(j *job, t *task, r contract.RunReport, now time.Time) {
	if t.state == taskLost {
		return
	}
	j.ran = j.ran || now.Sub(t.placedAt) > unknownProof
	h.unplace(t, r.Ran)
	t.retryAt = now.Add(unknownRetry(t.unknown))
	t.unknown++
}

// started records that a run goes on at an owner. A report that is older than what is known has no effect.
func (h *Home) started(j *job, t *task, owner string, r contract.RunReport, out *outbox) {
	if r.Token < t.token {
		return
	}
	t.state, t.owner, t.started, t.worker, t.token, t.unknown = taskPlaced, owner, true, r.Worker, r.Token, 0
	if j.state != jobActive {
		out.withdraw(j.place(t), r.Key)
	}
}

// failed counts a failed run. A task that has failed as often as its route allows fails the job.
func (h *Home) failed(j *job, t *task, r contract.RunReport, now time.Time, out *outbox) {
	t.failures++
	h.o.Logger.Info("run failed", "task", r.Key.String(), "worker", r.Worker, "failures", t.failures,
		"attempts", j.batch.Attempts)
	h.unplace(t, true)
	if t.failures >= j.batch.Attempts {
		h.end(j, Failed, "a task has failed as often as allowed", now, out)
	}
}

// lose records that the fate of a run is not known until its lease has lapsed. heard is when its owner was last heard: a
// refresh counts at the owner as no newer than what the home had heard of it.
func (h *Home) lose(t *task, heard time.Time) {
	if t.state != taskPlaced {
		return
	}
	if t.wantedAt.Before(heard) {
		heard = t.wantedAt
	}
	t.state, t.lostUntil = taskLost, heard.Add(lapse)
}

// OwnerGone tells the home that an owner cannot be reached any more, and when it was last heard.
func (h *Home) OwnerGone(owner string, heard time.Time) {
	lost := 0
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			for k := range j.tasks {
				if t := &j.tasks[k]; t.owner == owner && t.state == taskPlaced {
					h.lose(t, heard)
					lost++
				}
			}
		}
		s.mu.Unlock()
	}
	if lost > 0 {
		h.o.Logger.Warn("owner of workers is gone; its runs are in doubt", "owner", owner, "runs", lost)
	}
}

// Takeover tells the home that an owner has taken a worker with some runs on it. Runs of this home are claimed from the
// new owner. A run that was started there by the last owner and is not found has ended.
func (h *Home) Takeover(owner string, t contract.Takeover) {
	now := h.o.Now()
	out := newOutbox()
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if j.state != jobEnded {
				h.takeover(j, owner, t, now, out)
			}
		}
		s.mu.Unlock()
	}
	out.send(h.o.Owners)
}

func (h *Home) takeover(j *job, owner string, takeover contract.Takeover, now time.Time, out *outbox) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskPlaced && t.state != taskLost {
			continue
		}
		key := j.key(t)
		found := slices.Contains(takeover.Runs, key)
		switch {
		case found && j.state == jobActive && takeover.Token > t.token:
			h.o.Logger.Info("claiming a run from the new owner of its worker", "task", key.String(),
				"worker", takeover.Worker, "owner", owner, "last_owner", t.owner)
			t.state, t.owner, t.placedAt, t.wantedAt = taskPlaced, owner, now, now
			t.worker, t.token, t.started = takeover.Worker, takeover.Token, true
			j.ran = true
			order := j.order(t)
			order.Claim = true
			out.order(owner, order)
		case !found && t.started && t.worker == takeover.Worker && takeover.Token > t.token:
			h.unplace(t, true)
		}
	}
	h.advance(j, now, out)
}
