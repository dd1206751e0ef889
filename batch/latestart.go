package batch

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// recordLateWorkers records the workers that a report names, also if it concerns a run that is not the current one or a job
// that has ended here: the next home of the job needs the record too.
func (h *Home) recordLateWorkers(r contract.RunReport, now time.Time) {
	for _, worker := range r.LateWorkers {
		h.o.LateStarts.Record(contract.LateStart{
			Task: r.Key.Task(), Worker: worker, Until: now.Add(contract.LateStartRetention),
		})
	}
}

// hasLateStart reports whether a worker may still execute an earlier start of a task.
func (h *Home) hasLateStart(j *job, t *task) bool { return len(h.o.LateStarts.Workers(j.key(t))) > 0 }

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
