package batch

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// lateStartReason is the reason of a job that ends because the only worker on which one of its tasks may start cannot run it
// in time.
const lateStartReason = "a worker may still execute an earlier start of a task"

// recordLateWorkers records the workers that a report names, also if it concerns a run that is not the current one or a job
// that has ended here: the next home of the job needs the record too. A start of an own pool that has had no reply so far is no
// late start yet: the pool records it in the same ledger if it becomes one, and polls workers with records more often.
func (h *Home) recordLateWorkers(owner string, r contract.RunReport, now time.Time) {
	if owner == h.o.Self && r.State == contract.RunQueued {
		return
	}
	key := r.Key
	if r.State != contract.RunQueued {
		// The start of the run itself, if it is late, stays so.
		key = key.Task()
	}
	for _, worker := range r.LateWorkers {
		h.o.LateStarts.Record(contract.LateStart{Task: key, Worker: worker, Until: now.Add(contract.LateStartRetention)})
	}
}

// dropAnsweredStart drops the records of the start of a run whose owner had reported it as not answered yet, once the owner
// does not name the worker any more: the reply was only slow, or the start was rejected. Another owner knows only of its worker.
func (h *Home) dropAnsweredStart(t *task, owner string, r contract.RunReport) {
	// A queued run with a worker and without a start is one that the worker has rejected.
	rejected := r.State == contract.RunQueued && r.Worker != "" && !r.MayHaveStarted
	if (r.State == contract.RunQueued && !rejected) || r.State == contract.RunUnknown || r.State == contract.RunLost {
		return
	}
	for _, worker := range h.o.LateStarts.Workers(r.Key) {
		if !slices.Contains(r.LateWorkers, worker) && (owner == t.owner || worker == r.Worker) {
			h.o.LateStarts.Answered(r.Key, worker)
		}
	}
}

// hasLateStart reports whether a worker may still execute an earlier start of a task.
func (h *Home) hasLateStart(j *job, t *task) bool { return len(h.o.LateStarts.Workers(j.key(t))) > 0 }

// anyLateStart reports whether a worker may still execute a start of any task of a job, ordered by this home or another one.
func (h *Home) anyLateStart(b *contract.Batch) bool {
	for s, step := range b.Steps {
		for i := range step.Count {
			if len(h.o.LateStarts.Workers(contract.RunKey{Batch: b.ID, Step: s, Index: i})) > 0 {
				return true
			}
		}
	}
	return false
}

// refusedOutcome returns the outcome of a job that is not accepted: Refused states that no run starts, which is not true while a
// worker may still execute a start that an earlier home has ordered.
func (h *Home) refusedOutcome(b *contract.Batch) Outcome {
	if h.anyLateStart(b) {
		return Abandoned
	}
	return Refused
}

// RefusalOf returns the answer to a job that is turned away before it has been submitted here. It is refused only if nothing is known of
// it: a job that another member holds, that has been cancelled or was accepted here may have run.
func (h *Home) RefusalOf(b *contract.Batch, reason string, retryAfter time.Duration) Answer {
	a := Answer{Outcome: h.outcomeOfUnknown(b), Reason: reason, RetryAfter: retryAfter}
	if h.mayHaveServed(b.ID) {
		a.Outcome = Abandoned
	}
	return a
}

// mayHaveServed reports whether a job is or was here and has not been refused.
func (h *Home) mayHaveServed(id string) bool {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, known := s.jobs[id]
	return known && (j.state != jobEnded || j.answer.Outcome != Refused)
}

// ownerOfLateStart returns the owner at which the next run of a task is ordered that some workers may still start late. It is
// ordered on the only such worker; there a restart that lets the worker execute the earlier start ends the next run first.
// With two such workers the next run would not be safe on either. The lock of the job's shard is held.
func (h *Home) ownerOfLateStart(j *job, t *task, late []string) (owner, worker string, ok bool) {
	j.mayHaveRun = true
	if len(late) > 1 {
		h.logLateWait(j, t, late, "several workers")
		return "", "", false
	}
	owner, ok = h.o.OwnerOf(late[0])
	switch {
	case !ok:
		h.logLateWait(j, t, late, "no owner")
		return "", "", false
	case slices.Contains(t.infeasibleOwners, owner):
		h.logLateWait(j, t, late, "not feasible at "+owner)
		return "", "", false
	}
	h.o.Capacity.ReserveAt(owner, j.batch.Backend, j.batch.Priority, j.steps[t.step].expected)
	h.counter(metric.BatchOrdersWhereLate).Inc(1)
	h.o.Logger.Info("ordering a task on the worker that may still execute an earlier start", "task", j.key(t).String(),
		"worker", late[0], "owner", owner)
	return owner, late[0], true
}

// logLateWait logs once that a task is not ordered while its earlier start may still be executed.
func (h *Home) logLateWait(j *job, t *task, late []string, reason string) {
	reason += " of " + strings.Join(late, ", ")
	if t.lateWait == reason {
		return
	}
	t.lateWait = reason
	h.counter(metric.BatchLateStartWaits).Inc(1)
	h.o.Logger.Info("task is not ordered while an earlier start may still be executed", "task", j.key(t).String(),
		"reason", reason, "time_left", j.batch.Deadline.Sub(h.o.Now()))
}

// lateStartExceedsDeadline reports whether a task of a job cannot end before the deadline because it is bound to a worker that
// may still execute an earlier start. A task whose current run may have started is not bound any more. The lock of the job's
// shard is held.
func (h *Home) lateStartExceedsDeadline(j *job, now time.Time) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		bound := t.state == taskUnplaced || (t.onlyWorker != "" && !t.started && !t.mayHaveStarted)
		if t.state == taskDone || !bound || !now.Add(j.steps[t.step].expected).After(j.batch.Deadline) {
			continue
		}
		late := h.o.LateStarts.Workers(j.key(t))
		if len(late) == 0 {
			continue
		}
		h.counter(metric.BatchJobsLateStart).Inc(1)
		h.o.Logger.Warn("job ended: a task cannot end in time on the worker that may still execute an earlier start",
			"job", j.batch.ID, "route", j.batch.Route, "task", j.key(t).String(), "workers", late, "owner", t.owner,
			"expected", j.steps[t.step].expected, "time_left", j.batch.Deadline.Sub(now))
		return true
	}
	return false
}

// withdrawEarlier withdraws the earlier runs of a task that a new owner has found on its worker: they were started late, and
// are stopped a round trip after the takeover. While the job waits for its earlier home, that home decides. The lock of the
// job's shard is held.
func (h *Home) withdrawEarlier(j *job, t *task, owner string, takeover contract.Takeover, out *outbox) {
	if j.earlier != nil {
		return
	}
	key := j.key(t)
	for _, k := range takeover.Runs {
		if k.Task() != key.Task() || k.Run >= key.Run {
			continue
		}
		h.o.Logger.Warn("withdrawing an earlier run of a task from the new owner of its worker", "task", k.String(),
			"current", key.String(), "worker", takeover.Worker, "owner", owner, "token", takeover.Token,
			"worker_start", takeover.StartTime)
		out.withdraw(PoolRef{Owner: owner, Backend: j.batch.Backend}, k)
	}
}
