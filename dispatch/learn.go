package dispatch

import (
	"fmt"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// observeOutcome updates the statistics of a task's kind and the health of its worker with the outcome of the task.
// actionTaken is set if a straggler action has changed the run time, in which case nothing is recorded.
func (d *Dispatcher) observeOutcome(a Assignment, r StartReply, actionTaken bool) {
	if actionTaken {
		return
	}
	now := d.o.Now()
	w, ok := d.o.Fleet.Get(a.Slot.Worker)
	if !ok {
		return
	}
	if r.Outcome == contract.OutcomeUnknown {
		// A worker that stops answering is lost or paused, which is never the fault of a kind.
		d.updateHealth(w, machine.StartOutcome{Failed: true, KindSucceedsElsewhere: true}, now)
		return
	}
	kind := a.Item.Kind
	if r.Outcome == contract.OutcomeDone {
		kind.Observe(r.RunTime, w.Speed())
		if typical, ok := kind.GeometricMean(); ok {
			w.ObserveRun(r.RunTime, typical)
		}
	}
	failed := r.Outcome != contract.OutcomeDone
	cause := kind.ObserveOutcome(string(a.Slot.Worker), a.Item.Task.Job.Seq, failed, now)
	d.retract(cause, now)
	d.updateHealth(w, machine.StartOutcome{
		Failed: failed, KindSucceedsElsewhere: cause.SucceedsElsewhere, KindFailsElsewhere: cause.FailsElsewhere,
		Expected: cause.Expected,
	}, now)
	if failed && kind.FailsEverywhere(d.workersOf(w.Spec().Service), now) {
		d.failWaiting(a, fmt.Sprintf("request kind %s fails on every worker", kind.Spec().Name), now)
	}
}

// observeRejection updates the health of a worker that has rejected a start.
func (d *Dispatcher) observeRejection(sched *Scheduler, a Assignment, now time.Time) {
	w, ok := d.o.Fleet.Get(a.Slot.Worker)
	if !ok {
		return
	}
	cause := sched.observeStart(a, true, now)
	d.updateHealth(w, machine.StartOutcome{
		Rejected: true, KindSucceedsElsewhere: cause.SucceedsElsewhere, KindFailsElsewhere: cause.FailsElsewhere,
		Expected: cause.Expected,
	}, now)
}

// updateHealth records the outcome of a start on a worker and reports a change of its health, so that the slot
// allocators learn of it at once.
func (d *Dispatcher) updateHealth(w *machine.Worker, o machine.StartOutcome, now time.Time) {
	if w.Observe(o, now) {
		d.healthChanged(w, now)
	}
}

// retract withdraws failures that were attributed to workers and turned out to be the fault of a job or kind.
func (d *Dispatcher) retract(cause backend.FailureCause, now time.Time) {
	for id, failures := range cause.Retract {
		if w, ok := d.o.Fleet.Get(machine.WorkerID(id)); ok && w.Retract(failures, now) {
			d.healthChanged(w, now)
		}
	}
}

func (d *Dispatcher) healthChanged(w *machine.Worker, now time.Time) {
	id, state := w.Spec().ID, w.HealthAt(now)
	d.o.Timeline.Record(timeline.Event{Kind: timeline.WorkerHealthChanged, Worker: id, Detail: state.String()})
	d.o.Logger.Info("worker health changed", "worker", id, "health", state.String())
	if d.o.HealthChanged != nil {
		d.o.HealthChanged(id, state)
	}
}

// workersOf counts the workers of a service.
func (d *Dispatcher) workersOf(service string) int {
	n := 0
	for _, w := range d.o.Fleet.All() {
		if w.Spec().Service == service {
			n++
		}
	}
	return n
}

// accepts reports whether a worker may be given another task now.
func (d *Dispatcher) accepts(id machine.WorkerID) bool {
	w, ok := d.o.Fleet.Get(id)
	return ok && w.Accepts(d.o.Now())
}

// failWaiting fails a job that can no longer complete; its waiting tasks are not started.
func (d *Dispatcher) failWaiting(a Assignment, detail string, now time.Time) {
	id := a.Item.Task.Job
	n, answer, last := d.o.Table.FailWaiting(id, detail, now)
	if n == 0 {
		return
	}
	d.counters.notRun.Inc(int64(n))
	d.dequeue(id)
	if last {
		d.counters.failed.Inc(1)
		d.o.Timeline.Job(timeline.JobFailed, id, answer.Reason, len(answer.Reports))
	}
}
