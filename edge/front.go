package edge

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
)

// acceptWhileStopping is the part of the grace in which a process that stops still accepts jobs: the balancer sends it
// new connections until it has seen two failed readiness checks.
const acceptWhileStopping = 0.45

// Route finds the queue of a request. known is false while there is no desired state.
func (d *Daemon) Route(host, path string) (route contract.Route, found, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desired.Version == 0 {
		return contract.Route{}, false, false
	}
	route, found = d.desired.Match(host, path)
	return route, found, true
}

// Submit runs a job and returns its answer.
func (d *Daemon) Submit(ctx context.Context, b contract.Batch) batch.Answer {
	d.mu.Lock()
	refuse := d.stopping && d.o.Now().Sub(d.stoppingSince) > time.Duration(acceptWhileStopping*float64(d.o.Grace))
	d.mu.Unlock()
	if refuse {
		return batch.Answer{Outcome: batch.Refused, Reason: "stopping"}
	}
	return d.home.Submit(ctx, b)
}

// Cancel ends a job of this home. It reports whether the job is known.
func (d *Daemon) Cancel(id string) bool { return d.home.Cancel(id) }

// JobState returns the state of a job of this home.
func (d *Daemon) JobState(id string) batch.State { return d.home.State(id) }

// Pending returns the number of jobs of a route of which no task has started.
func (d *Daemon) Pending(route string) int { return d.home.Pending(route) }
