package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// maxPlaceRetry bounds the pause between orders of a task that its owners cannot take.
	maxPlaceRetry = 400 * time.Millisecond
	// maxDoublings keeps the shift in doubledRetry from overflowing.
	maxDoublings = 8
	// unknownProofWindow is the time after an order within which an owner that does not know the run proves that it has
	// not run. Owners keep the outcomes of runs for 10 s.
	unknownProofWindow = 5 * time.Second
	// ownerSilence is the time without a message of an owner after which no run is held as placed there. Members count as
	// departed long before, and their runs as lost. A report or a takeover that is handled at that moment places a run at a
	// process that will not be heard again.
	ownerSilence = 5 * time.Second
)

// advance places tasks that are ready, moves queued tasks to owners with free capacity, and answers a job that has
// ended. The lock of the job's shard is held.
func (h *Home) advance(j *job, now time.Time, out *outbox) {
	h.checkRelease(j, now, out)
	h.checkProof(j, out)
	if j.state == jobActive {
		h.checkDeadline(j, now, out)
		h.checkIsolation(j, now, out)
		h.checkShedding(j, now, out)
	}
	for i := range j.tasks {
		h.advanceTask(j, &j.tasks[i], now, out)
	}
	h.logOrders(j, now, out)
	if j.state == jobActive && j.done == len(j.tasks) {
		h.endJob(j, Completed, "", now, out)
	}
	if j.state == jobEnding && j.answersAfterRuns() && !now.Before(j.batch.Deadline) {
		// A run may have started, and the caller does not wait beyond the deadline.
		j.outcome, j.answer = Abandoned, Answer{Outcome: Abandoned, Reason: "time limit"}
	}
	if j.state == jobEnding && (j.noLiveRuns() || !j.answersAfterRuns()) {
		h.respond(j, now)
	}
}

// answersAfterRuns reports whether the job is answered only once its runs are over: a refusal states that none has started,
// and a job whose callers had left starts anew for the next one.
func (j *job) answersAfterRuns() bool { return j.outcome == Refused || j.outcome == CallerLeft }

// advanceTask places, moves or expires one task, as its state and the time require.
func (h *Home) advanceTask(j *job, t *task, now time.Time, out *outbox) {
	if t.state == taskPlaced && out.ownerIsGone(t, now) {
		h.o.Logger.Warn("owner of a run is gone; the run is in doubt", "task", j.key(t).String(), "owner", t.owner)
		h.markLost(t)
	}
	if t.state == taskLost && !now.Before(t.expiresAt) {
		h.o.Logger.Info("lease of a lost run has expired; treating the run as ended", "task", j.key(t).String(),
			"owner", t.owner, "worker", t.worker, "token", t.token, logattr.Since("since_contact", now, t.contactAt))
		j.mayHaveRun = true
		h.recordEnd(j, t, proofExpired, "", 0, true)
		h.unplace(t, true)
	}
	switch {
	case j.state != jobActive || j.shedding != keep:
	case j.earlier != nil || now.Before(j.ordersFrom) || now.Sub(j.provenUntil) > orderProofLimit:
	case t.state == taskUnplaced && !now.Before(t.retryAt) && j.stepReady(t.step) && !h.pause.paused(h.o.Now()):
		h.place(j, t, now, out)
	case h.shouldMove(j, t, now):
		h.o.Logger.Info("moving a queued task to an owner with free capacity", "task", j.key(t).String(), "owner", t.owner,
			"queued_for", now.Sub(t.placedAt))
		h.counter(metric.BatchTasksMoved).Inc(1)
		t.recalledAt = now
		out.recall(j.poolRef(t), j.key(t))
	}
}

// ownerIsGone reports whether a task is placed at an owner of which no message has arrived for ownerSilence.
func (o *outbox) ownerIsGone(t *task, now time.Time) bool {
	return now.Sub(t.contactAt) > ownerSilence && now.Sub(t.placedAt) > ownerSilence &&
		now.Sub(o.contact(t.owner, now).ReceivedAt) > ownerSilence
}

// shouldMove decides whether a task that is queued at its owner moves to another one with free capacity. A task that runs
// alone stays: free capacity says nothing about empty workers, and its owner is emptying one for it. So does one that waits
// for the worker that may still execute an earlier start.
func (h *Home) shouldMove(j *job, t *task, now time.Time) bool {
	return t.state == taskPlaced && !t.started && !t.alone && now.Sub(t.placedAt) > moveAfter &&
		now.Sub(t.recalledAt) > recallRetry && !t.justSuggested(now) && !h.hasLateStart(j, t) &&
		h.o.Capacity.ShouldMove(j.batch.Backend, t.owner, j.steps[t.step].expected)
}

// checkDeadline ends a job whose deadline has passed, or refuses one that has not started and cannot end before it or be served
// anywhere.
func (h *Home) checkDeadline(j *job, now time.Time, out *outbox) {
	switch {
	case !now.Before(j.batch.Deadline):
		h.endJob(j, Abandoned, "time limit", now, out)
	case h.lateStartExceedsDeadline(j, now):
		h.endJob(j, Abandoned, lateStartReason, now, out)
	case !j.mayHaveRun && j.queued() && j.forecast(h.answerBy(j.batch, j.provenUntil, now, out)).shouldRefuse(now):
		h.counter(metric.BatchJobsRefused).Inc(1)
		h.endJob(j, Refused, "no room in time", now, out)
	case !j.mayHaveRun && j.queued() && h.hasEvacuatedTask(j):
		h.counter(metric.BatchJobsEvacuated).Inc(1)
		h.endJob(j, Refused, evacuatedReason, now, out)
		j.answer.RetryAfter = evacuationRetry
	}
}

// place orders the next run of a task.
func (h *Home) place(j *job, t *task, now time.Time, out *outbox) {
	if !h.checkCallers(j, now, out) {
		return
	}
	owner, onlyWorker, ok := h.chooseOwner(j, t)
	if !ok {
		t.retryAt = now.Add(placeRetry)
		if len(t.infeasibleOwners) > 0 {
			t.retryAt = now.Add(doubledRetry(t.infeasibleRounds))
			t.infeasibleRounds++
		}
		t.infeasibleOwners = nil
		return
	}
	t.state, t.owner, t.placedAt, t.contactAt = taskPlaced, owner, now, time.Time{}
	t.started, t.withdrawn, t.worker, t.token, t.recalledAt = false, false, "", 0, time.Time{}
	t.onlyWorker, t.mayHaveStarted, t.lateWait = onlyWorker, false, ""
	t.alone = h.suspect(j, t)
	t.suggested, t.suggestion = t.suggestion.owner == owner, suggestion{}
	out.order(j, t, j.order(t))
	out.ordered = append(out.ordered, fmt.Sprintf("%s at %s, %s", j.key(t), t.owner, logattr.Ago("contact", now, t.contactAt)))
}

// chooseOwner chooses the owner that starts the next run of a task: the one that is expected to start it first, or the owner of
// the only worker on which it may start, which it returns too.
func (h *Home) chooseOwner(j *job, t *task) (owner, onlyWorker string, ok bool) {
	if late := h.o.LateStarts.Workers(j.key(t)); len(late) > 0 {
		return h.ownerOfLateStart(j, t, late)
	}
	if h.reserveSuggested(j, t) {
		return t.suggestion.owner, "", true
	}
	excluded := func(id string) bool { return slices.Contains(t.infeasibleOwners, id) }
	owner, ok = h.o.Capacity.Reserve(j.batch.Backend, j.batch.Priority, j.steps[t.step].expected, excluded)
	return owner, "", ok
}

// unplace makes a task ready for its next run.
func (h *Home) unplace(t *task, ran bool) {
	t.state, t.started, t.withdrawn = taskUnplaced, false, false
	t.run = nextRun(t.run, ran)
}

// doubledRetry is the pause before a task is placed again after n pauses for the same reason: an order that its owner
// reported as unknown, or owners none of whose workers can hold the task now. They reject each order at once, and would be
// sent the next one as fast as messages travel.
func doubledRetry(n int) time.Duration {
	return min(placeRetry<<min(n, maxDoublings), maxPlaceRetry)
}

// endJob sets the outcome of a job and withdraws its runs.
func (h *Home) endJob(j *job, o Outcome, reason string, now time.Time, out *outbox) {
	if j.state != jobActive {
		return
	}
	j.state, j.outcome = jobEnding, o
	j.answer = Answer{Outcome: o, Reason: reason}
	j.endedAt = now
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskPlaced {
			t.withdrawn = true
			out.withdraw(j.poolRef(t), j.key(t))
		}
	}
}

// respond sends the outcome of a job to its callers. A refusal is given only if certainly no run has started.
func (h *Home) respond(j *job, now time.Time) {
	if j.outcome == Refused {
		if j.mayHaveRun || h.anyLateStart(&j.batch) {
			j.answer.Outcome = Abandoned
		}
		if j.answer.RetryAfter == 0 {
			j.answer.RetryAfter = h.retryAfter(&j.batch)
		}
	}
	if len(j.waiters) > 0 || j.noLiveRuns() {
		h.o.Logger.Info("job answered", "job", j.batch.ID, "route", j.batch.Route, "outcome", j.answer.Outcome.String(),
			"reason", j.answer.Reason, "took", now.Sub(j.batch.Accepted), "target", j.target.Sub(j.batch.Accepted),
			"tasks_done", j.done, "tasks", len(j.tasks))
		metric.Histogram(metric.BatchAnswerTime, h.o.Metrics).Update(now.Sub(j.batch.Accepted).Microseconds())
	}
	for _, w := range j.waiters {
		w.answer <- j.answer
	}
	j.waiters = nil
	if j.noLiveRuns() {
		j.end(now)
	}
}

// Report processes an owner's report of a run.
func (h *Home) Report(from PoolRef, r contract.RunReport) {
	now := h.o.Now()
	h.recordLateWorkers(from.Owner, r, now)
	out := h.newOutbox()
	if r.State.Final() {
		out.acknowledge(from, r.Key)
	}
	s := h.shard(r.Key.Batch)
	s.mu.Lock()
	if j, ok := s.jobs[r.Key.Batch]; ok {
		switch t := j.find(r.Key); {
		case t == nil && j.state != jobEnded:
			h.logIgnored(from.Owner, r, "not the current run")
		case t != nil && (t.state == taskPlaced || t.state == taskLost):
			h.applyReport(j, t, from.Owner, r, now, out)
			h.advance(j, now, out)
		}
	}
	s.mu.Unlock()
	out.send()
}

// applyReport applies an owner's report to the current run of a task. The lock of the job's shard is held.
func (h *Home) applyReport(j *job, t *task, owner string, r contract.RunReport, now time.Time, out *outbox) {
	j.mayHaveRun = j.mayHaveRun || r.MayHaveStarted
	if !t.proves(owner, r) {
		h.logIgnored(owner, r, "other owner or older token")
		return
	}
	t.mayHaveStarted = t.mayHaveStarted || r.MayHaveStarted
	h.dropAnsweredStart(t, owner, r)
	switch r.State {
	case contract.RunStarted:
		h.handleStarted(j, t, owner, r, out)
	case contract.RunDone:
		h.logRerunDone(j, t, owner, r)
		t.state = taskDone
		j.done++
		j.steps[t.step].remaining--
		h.kinds.learn(j.batch.Route, j.batch.Steps[t.step].Estimate, r.RunTime)
	case contract.RunFailed:
		h.handleFailed(j, t, owner, r, now, out)
	case contract.RunUnknown:
		h.handleUnknown(j, t, owner, r, now)
	case contract.RunEnded:
		h.recordEnd(j, t, proofReported, owner, r.Token, r.MayHaveStarted)
		h.unplace(t, r.MayHaveStarted)
		t.suggestion = suggestionOf(r, now)
	case contract.RunCrashed:
		t.crashed = true
		h.recordEnd(j, t, proofReported, owner, r.Token, true)
		h.unplace(t, true)
	case contract.RunInfeasible:
		t.infeasibleOwners = append(t.infeasibleOwners, owner)
		h.recordEnd(j, t, proofInfeasible, owner, r.Token, r.MayHaveStarted)
		h.unplace(t, r.MayHaveStarted)
	case contract.RunLost:
		if h.markLost(t) {
			h.o.Logger.Info("owner has lost the worker of a run; the run is in doubt", "task", r.Key.String(), "owner", owner,
				"worker", r.Worker, "token", t.token, logattr.Since("since_contact", now, t.contactAt),
				"expires_in", max(t.expiresAt.Sub(now), 0))
		}
	}
	if r.State == contract.RunStarted || r.State == contract.RunDone {
		h.announceStart(j, out)
	}
}

// proves reports whether an owner's report says something about the current run. An owner other than the current one can
// prove only that the run is done or runs on one of its workers. An end under an earlier token proves nothing: the owner
// has lost the worker since and acquired it again.
func (t *task) proves(owner string, r contract.RunReport) bool {
	switch r.State {
	case contract.RunDone, contract.RunStarted:
		return true
	case contract.RunEnded, contract.RunCrashed:
		return t.owner == owner && r.Token >= t.token
	default:
		return t.owner == owner
	}
}

// handleUnknown records that an owner does not know an order. This proves nothing of a lost run, which may be alive on
// a worker that another VM has acquired.
func (h *Home) handleUnknown(j *job, t *task, owner string, r contract.RunReport, now time.Time) {
	if t.state == taskLost {
		h.logIgnored(owner, r, "proves nothing about a lost run")
		return
	}
	j.mayHaveRun = j.mayHaveRun || now.Sub(t.placedAt) > unknownProofWindow
	h.recordEnd(j, t, proofUnknown, owner, r.Token, r.MayHaveStarted)
	h.unplace(t, r.MayHaveStarted)
	t.retryAt = now.Add(doubledRetry(t.unknownOrders))
	t.unknownOrders++
}

// handleStarted records that a run has started at an owner. A report under an older fencing token has no effect.
func (h *Home) handleStarted(j *job, t *task, owner string, r contract.RunReport, out *outbox) {
	if r.Token < t.token {
		h.logIgnored(owner, r, "older token")
		return
	}
	if t.owner != owner || (t.started && t.token != r.Token) || t.state == taskLost {
		h.o.Logger.Info("run continues under another owner or token", "task", r.Key.String(), "owner", owner,
			"worker", r.Worker, "token", r.Token, "last_owner", t.owner, "last_token", t.token)
	}
	t.state, t.owner, t.started, t.worker, t.token, t.unknownOrders = taskPlaced, owner, true, r.Worker, r.Token, 0
	t.infeasibleRounds = 0
	if j.state != jobActive {
		// The run may have been lost when the job ended.
		t.withdrawn = true
		out.withdraw(j.poolRef(t), r.Key)
	}
}

// handleFailed counts a failed run. A task that has failed as often as its route allows fails the job.
func (h *Home) handleFailed(j *job, t *task, owner string, r contract.RunReport, now time.Time, out *outbox) {
	t.failures++
	h.o.Logger.Info("run failed", "task", r.Key.String(), "worker", r.Worker, "failures", t.failures,
		"attempts", j.batch.Attempts)
	h.recordEnd(j, t, proofFailed, owner, r.Token, true)
	h.unplace(t, true)
	if t.failures >= j.batch.Attempts {
		h.endJob(j, Failed, "a task has failed as often as allowed", now, out)
	}
}

// markLost records that the state of a run is unknown until its lease has expired. The time to the expiry counts from the
// arrival of the last contact that was echoed for the run: the owner had sent it before, and lets the lease end within
// leaseAfterRefresh of that. A later contact proves nothing, since no message about the run has echoed it. It reports
// whether the run was not lost before.
func (h *Home) markLost(t *task) bool {
	if t.state != taskPlaced {
		return false
	}
	t.state, t.expiresAt = taskLost, t.contactAt.Add(runExpiry)
	return true
}

// OwnerUnreachable marks the runs at an owner that can no longer be reached as lost.
func (h *Home) OwnerUnreachable(owner string) {
	var lost []string
	for j := range h.lockedJobs() {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.owner == owner && t.state == taskPlaced {
				h.markLost(t)
				lost = append(lost, j.key(t).String())
			}
		}
	}
	h.logUnreachable(owner, lost)
}

// Takeover records that an owner has acquired a worker with some runs on it. The home claims its runs from the new
// owner. A run that was started there under the previous owner and is not found has ended, unless another run of the task is:
// a start that was executed late, which the new owner stops before it reports the end.
func (h *Home) Takeover(owner string, t contract.Takeover) {
	now := h.o.Now()
	out := h.newOutbox()
	for j := range h.lockedJobs() {
		if j.state != jobEnded {
			h.applyTakeover(j, owner, t, now, out)
		}
	}
	out.send()
}

// namesTask reports whether a takeover names any run of a task.
func namesTask(t contract.Takeover, key contract.RunKey) bool {
	return slices.ContainsFunc(t.Runs, func(k contract.RunKey) bool { return k.Task() == key.Task() })
}

func (h *Home) applyTakeover(j *job, owner string, takeover contract.Takeover, now time.Time, out *outbox) {
	for i := range j.tasks {
		t := &j.tasks[i]
		h.withdrawEarlier(j, t, owner, takeover, out)
		if t.state != taskPlaced && t.state != taskLost {
			continue
		}
		key := j.key(t)
		found := slices.Contains(takeover.Runs, key)
		switch {
		case found && takeover.Token > t.token && h.checkCallers(j, now, out):
			h.o.Logger.Info("claiming a run from the new owner of its worker", "task", key.String(),
				"worker", takeover.Worker, "owner", owner, "token", takeover.Token, "worker_start", takeover.StartTime,
				"last_owner", t.owner, "last_worker", t.worker, "last_token", t.token)
			t.state, t.owner, t.placedAt = taskPlaced, owner, now
			t.worker, t.token, t.started = takeover.Worker, takeover.Token, true
			j.mayHaveRun = true
			order := j.order(t)
			order.Claim, order.ClaimToken = true, takeover.Token
			out.order(j, t, order)
		case t.started && t.worker == takeover.Worker && takeover.Token > t.token && !namesTask(takeover, key):
			h.recordEnd(j, t, proofTakeover, owner, takeover.Token, true)
			h.unplace(t, true)
		}
	}
	h.advance(j, now, out)
}
