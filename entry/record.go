package entry

import (
	"context"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

// recordHandOver records the jobs whose hand-over the successor has acknowledged.
func (d *Daemon) recordHandOver(specs []contract.JobSpec, successor string) {
	for _, s := range specs {
		d.timeline.Record(timeline.Event{
			Kind: timeline.JobHandedOver, Task: contract.TaskID{Job: s.ID}, Peer: successor, Count: int64(len(s.Tasks)),
		})
	}
}

// recordClaim records which job id an idempotency key is bound to.
func (d *Daemon) recordClaim(minted, bound contract.JobID, err error) {
	switch {
	case err != nil:
	case minted == bound:
		d.timeline.Job(timeline.ClaimWon, bound, "", 0)
	default:
		d.timeline.Job(timeline.ClaimLost, minted, bound.String(), 0)
	}
}

// poll polls the status of a worker and records a change of its incarnation.
func (d *Daemon) poll(ctx context.Context, w *machine.Worker) (link.WorkerStatus, error) {
	before := w.Incarnation()
	s, err := d.workers.Poll(ctx, w, d.o.Now)
	if after := w.Incarnation(); err == nil && before != 0 && after != before {
		d.timeline.Record(timeline.Event{Kind: timeline.WorkerRestarted, Worker: w.Spec().ID, Detail: after.String()})
	}
	return s, err
}

// recordWorker records that a worker has been added to or removed from the list.
func (d *Daemon) recordWorker(k timeline.Kind, id machine.WorkerID) {
	d.timeline.Record(timeline.Event{Kind: k, Worker: id})
}
