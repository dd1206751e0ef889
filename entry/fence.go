package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

// voteTimeout bounds the wait for a member's vote on a silent home.
const voteTimeout = 500 * time.Millisecond

// confirmGone asks the members whether a silent home is gone, by the rule of zone.Homes. Promises to refuse the home
// are requested only once a quorum finds it silent, because a single promise is enough to fence a home that returns.
func (d *Daemon) confirmGone(ctx context.Context, home zone.Home) zone.HomeState {
	members := d.domain.Listed()
	quorum := zone.DeclareQuorum(len(members) + 1)
	if d.countSilent(ctx, home, members, false) < quorum || d.countSilent(ctx, home, members, true) < quorum {
		return zone.HomeSilent
	}
	d.homes.MarkGone(home.VM, home.Incarnation, d.o.Now())
	return zone.HomeGone
}

// countSilent counts the members, including this one, that find a home silent. With promise set, each of them refuses
// the home from then on.
func (d *Daemon) countSilent(ctx context.Context, home zone.Home, members []string, promise bool) int {
	var mu sync.Mutex
	n := 0
	count := func(silent bool) {
		mu.Lock()
		defer mu.Unlock()
		if silent {
			n++
		}
	}
	count(d.homes.Silent(home.Incarnation, promise, d.o.Now()))
	var votes sync.WaitGroup
	for _, vm := range members {
		if vm == home.VM {
			continue
		}
		votes.Go(func() {
			resp, err := d.peers.request(ctx, vm, &api.Request{Body: &api.Request_SilenceVote{
				SilenceVote: &api.SilenceVote{Incarnation: uint64(home.Incarnation), Promise: promise},
			}}, voteTimeout)
			count(err == nil && resp.GetSilenceVote().GetSilent())
		})
	}
	votes.Wait()
	return n
}

// refusedBy is called when a member refuses this incarnation.
func (d *Daemon) refusedBy(vm string) { d.fence("entry VM " + vm + " treats this incarnation as gone") }

// fence stops the service of an incarnation that others count, or may count, as gone. All members, including this one,
// report its jobs as lost, and the process has to continue under a new incarnation.
func (d *Daemon) fence(reason string) {
	if d.fenced.Swap(true) {
		return
	}
	d.o.Logger.Error("this incarnation is fenced; it accepts no more jobs and starts no more tasks",
		"vm", d.o.VM.ID, "reason", reason)
	d.dispatcher.Drain()
	close(d.fencedCh)
}

// Fenced returns a channel that is closed when the other members count this incarnation as gone. The caller kills the
// daemon and starts another.
func (d *Daemon) Fenced() <-chan struct{} { return d.fencedCh }

// onCheck counts invariant checks and reports violations.
func (d *Daemon) onCheck(invariant string, holds bool) {
	metrics.GetOrRegisterCounter(metric.InvariantChecks, d.o.Metrics).Inc(1)
	if holds {
		return
	}
	metrics.GetOrRegisterCounter(metric.InvariantViolations, d.o.Metrics).Inc(1)
	d.o.Logger.Error("invariant violated", "invariant", invariant)
	if d.o.OnViolation != nil {
		d.o.OnViolation(invariant)
	}
}
