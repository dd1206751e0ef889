package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
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

// unknownToMembers reports whether all reachable members answer that they have no record of an incarnation. This VM may have
// missed its start and its tombstone while it was cut off.
func (d *Daemon) unknownToMembers(ctx context.Context, inc machine.Incarnation) bool {
	return !d.anyMember(ctx, inc, (*api.SilenceVoteReply).GetKnown)
}

// withoutSuccessor reports whether all reachable members answer that they know no successor of an incarnation that is gone.
func (d *Daemon) withoutSuccessor(ctx context.Context, home zone.Home) bool {
	if home.GoneConfirmed {
		return true
	}
	if d.anyMember(ctx, home.Incarnation, (*api.SilenceVoteReply).GetSucceeded) {
		return false
	}
	d.homes.ConfirmGone(home.Incarnation)
	return true
}

// anyMember asks all reachable members about an incarnation, and reports whether the question is answered with yes, or not at
// all, by one of them. A member that has a record of the incarnation sends all its records.
func (d *Daemon) anyMember(ctx context.Context, inc machine.Incarnation, question func(*api.SilenceVoteReply) bool) bool {
	var yes atomic.Bool
	var queries sync.WaitGroup
	for _, vm := range d.domain.Reachable() {
		queries.Go(func() {
			resp, err := d.peers.request(ctx, vm, &api.Request{Body: &api.Request_SilenceVote{
				SilenceVote: &api.SilenceVote{Incarnation: uint64(inc), RequestRecords: true},
			}}, voteTimeout)
			if err != nil || question(resp.GetSilenceVote()) {
				yes.Store(true)
			}
		})
	}
	queries.Wait()
	return yes.Load()
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
