package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/timeline"
)

// refuse records a refusal, so that a later submission with the same job id gets the same answer. If the job was
// accepted in the meantime, the submission counts as a resubmission and succeeds.
func (d *Dispatcher) refuse(id contract.JobID, cause error, now time.Time) error {
	if !fault.IsProvenNotStarted(cause) {
		return cause
	}
	if !d.o.Table.Refuse(id, fault.Reason(cause), cause.Error(), now) {
		d.counters.resubmitted.Inc(1)
		return nil
	}
	d.counters.refused.Inc(1)
	d.o.Timeline.Job(timeline.JobRefused, id, fault.Reason(cause), 0)
	return cause
}

// Adopt queues a job that another home node has handed over. A repeated hand-over has no effect. A job that cannot run
// here is answered as refused, since it never started.
func (d *Dispatcher) Adopt(spec contract.JobSpec) {
	now := d.o.Now()
	items, err := d.prepare(&spec, now)
	if err != nil {
		d.o.Table.AdoptAnswer(contract.Answer{
			Job: spec.ID, Verdict: contract.VerdictRefused, Reason: fault.Reason(err), Detail: err.Error(),
		}, now)
		return
	}
	if !d.o.Table.AdoptJob(spec, now) {
		return
	}
	d.counters.accepted.Inc(1)
	scheduler, _ := d.scheduler(spec.Service)
	d.execute(scheduler, scheduler.Push(items, now))
}

// Requeue queues jobs that were detached from the job table and restored to it. Their tasks may be in the queue twice;
// the table lets each task start once.
func (d *Dispatcher) Requeue(specs []contract.JobSpec) {
	now := d.o.Now()
	for _, spec := range specs {
		if items, err := d.prepare(&spec, now); err == nil {
			scheduler, _ := d.scheduler(spec.Service)
			d.execute(scheduler, scheduler.Push(items, now))
		}
	}
}

// ReturnIdle returns all idle slots, because their grants may have expired while the process was paused.
func (d *Dispatcher) ReturnIdle() {
	for _, sched := range d.Schedulers() {
		d.execute(sched, sched.returnIdle())
	}
}

func (sched *Scheduler) returnIdle() Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return Plan{Returns: sched.returns(sched.holdings.DropIdle(func(contract.Slot) bool { return true }))}
}
