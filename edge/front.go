package edge

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
)

// stopReserve is the part of the grace period that is not available to jobs of a stopping process.
const stopReserve = 500 * time.Millisecond

// Route finds the route of a request. known is false while there is no desired state.
func (d *Daemon) Route(host, path string) (route contract.Route, found, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desired.Version == 0 {
		return contract.Route{}, false, false
	}
	route, found = d.desired.Match(host, path)
	return route, found, true
}

// RequestLimits returns the limits of requests in the desired state, zero values while there is none.
func (d *Daemon) RequestLimits() contract.RequestLimits {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desired.Limits
}

// Submit runs a job and returns its answer. While the process is stopping, it shortens the job's deadline to fit the
// grace period.
func (d *Daemon) Submit(ctx context.Context, b contract.Batch) batch.Answer {
	return d.SubmitFrom(ctx, nil, b)
}

// SubmitFrom is Submit for a caller that the home can look at itself.
func (d *Daemon) SubmitFrom(ctx context.Context, c batch.Caller, b contract.Batch) batch.Answer {
	d.limitDeadline(&b)
	return d.home.SubmitFrom(ctx, c, b)
}

// RefusalOf returns the answer to a job that is turned away before it has been submitted.
func (d *Daemon) RefusalOf(b *contract.Batch, reason string, retryAfter time.Duration) batch.Answer {
	return d.home.RefusalOf(b, reason, retryAfter)
}

// limitDeadline makes the deadline of a job fit the grace period while the process is stopping.
func (d *Daemon) limitDeadline(b *contract.Batch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := d.answerBy(); d.stopping && end.Before(b.Deadline) {
		b.Deadline = end
	}
}

// answerBy returns the time by which a stopping process must have answered its jobs. d.mu is held.
func (d *Daemon) answerBy() time.Time { return d.stoppingSince.Add(d.o.Grace - stopReserve) }

// Stopping reports whether the process is stopping, so that its clients should connect elsewhere.
func (d *Daemon) Stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// JobState returns the state of a job of this home.
func (d *Daemon) JobState(id string) batch.State { return d.home.State(id) }

// Pending returns the number of jobs of a route of which no task has started.
func (d *Daemon) Pending(route string) int { return d.home.Pending(route) }
