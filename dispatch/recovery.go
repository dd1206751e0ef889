package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/timeline"
)

// refuse makes a refusal binding: a copy of the submission that arrives later under the same id gets the same answer.
// If another copy was accepted meanwhile, the submission counts as a repetition of it.
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

// Adopt queues a job that another home has handed over. A repeated hand-over has no effect. A job that cannot run here
// is answered as refused, since it never started.
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
	lane, _ := d.lane(spec.Service)
	d.carryOut(lane, lane.Push(items, now))
}

// Requeue queues jobs again that were detached from the table and restored to it. Their tasks may still be in the
// queue as well; the table's gate lets each start once.
func (d *Dispatcher) Requeue(specs []contract.JobSpec) {
	now := d.o.Now()
	for _, spec := range specs {
		if items, err := d.prepare(&spec, now); err == nil {
			lane, _ := d.lane(spec.Service)
			d.carryOut(lane, lane.Push(items, now))
		}
	}
}

// DropIdle returns all idle slots, whose grants may have run out while the process was paused.
func (d *Dispatcher) DropIdle() {
	for _, l := range d.Lanes() {
		d.carryOut(l, l.dropIdle())
	}
}

func (l *Lane) dropIdle() Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Plan{Returns: l.returns(l.holdings.DropIdle(func(contract.Slot) bool { return true }))}
}
