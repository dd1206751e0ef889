package pool

import (
	"context"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

// SetHosts replaces the set of owned workers. A worker that is no longer owned is dropped at once, and its new owner
// takes over its runs. So is one that is listed at another address, but its runs may go on until their lease expires: a
// listing proves the end of no run, since it may be older or newer than the incarnation that the runs belong to. Whether a
// worker has been restarted is decided by its own replies.
func (p *Pool) SetHosts(listings []machine.Listing) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	keep := make(map[string]bool, len(listings))
	for _, l := range listings {
		keep[l.Worker] = true
		h, ok := p.hosts[l.Worker]
		if ok && h.supersedes(l, now, p.o.Lease) {
			p.o.Logger.Warn("ignored a listing of an earlier incarnation of the worker", "worker", l.Worker,
				"address", l.Address, "born", l.StartTime, "current_address", h.host.Listing.Address,
				"current_born", h.host.Listing.StartTime)
			h.ignored = &l
			continue
		}
		if ok && h.host.Listing.Address != l.Address {
			p.dropMoved(h, l, &fx)
			ok = false
		}
		if !ok {
			p.addHost(l)
			continue
		}
		if l.Draining && !h.host.Listing.Draining {
			p.o.Logger.Info("worker is draining; starting no new tasks", "worker", l.Worker, "runs", h.host.Runs())
		}
		p.setEntry(h, l)
	}
	for id, h := range p.hosts {
		if !keep[id] {
			p.dropHost(h, leftReassigned, &fx)
		}
	}
	p.returnInfeasible(&fx)
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// returnInfeasible returns queued tasks that no worker of the pool can hold any longer to their homes. p.mu is held.
func (p *Pool) returnInfeasible(fx *effects) {
	for _, r := range slices.Clone(p.waiting.runs) {
		if !p.feasible(r.order) {
			p.returnRun(r, fx)
		}
	}
}

// returnRun returns a queued task that no worker of the pool may start to its home. p.mu is held.
func (p *Pool) returnRun(r *run, fx *effects) {
	if p.infeasibleByEvacuation(r.order) {
		p.counter(metric.PoolTasksEvacuated).Inc(1)
	}
	p.finish(r, contract.RunInfeasible, proofNotStarted, 0, fx)
}

// addHost starts maintaining a worker. p.mu is held.
func (p *Pool) addHost(l machine.Listing) {
	ctx, cancel := context.WithCancel(p.ctx)
	h := &ownedHost{
		host: machine.NewHost(l), wakeup: make(chan struct{}, 1), restartNoticed: make(chan struct{}, 1), cancel: cancel,
		runs: make(map[contract.RunKey]*run), leftAt: make(map[contract.RunKey]time.Time),
		unbarred:    make(map[contract.RunKey]*unbarredStart),
		address:     link.HostAddress{Worker: l.Worker, Address: l.Address},
		addressHash: hashAddress(l.Address), assignedAt: p.o.Now(),
	}
	h.host.ResetSpeed(p.typicalSpeed(h.host.Kind()))
	h.host.Evacuated = p.policy.Evacuations.Contains(l.Zone)
	p.hosts[l.Worker] = h
	p.spawn(func() { p.maintain(ctx, h) })
}

// dropMoved drops a worker that is listed at another address. p.mu is held.
func (p *Pool) dropMoved(h *ownedHost, l machine.Listing, fx *effects) {
	p.o.Logger.Info("worker is listed at another address; leaving its runs to their lease", "worker", l.Worker,
		"address", l.Address, "last_address", h.host.Listing.Address, "runs", len(h.runs))
	p.dropHost(h, leftMoved, fx)
}

// applyIgnored applies a listing that was ignored, once the worker no longer answers as the incarnation listed before. A
// worker whose time of day was set back before its restart looks like an earlier incarnation. p.mu is held.
func (p *Pool) applyIgnored(h *ownedHost, now time.Time, fx *effects) {
	if h.ignored == nil || h.supersedes(*h.ignored, now, p.o.Lease) {
		return
	}
	if h.ignored.Address == h.host.Listing.Address {
		p.setEntry(h, *h.ignored)
		return
	}
	p.dropMoved(h, *h.ignored, fx)
	p.addHost(*h.ignored)
}

// supersedes reports whether the listed incarnation of a worker, which replies, is later than that of another listing. It
// holds only while the worker has replied within a lease: one whose wall clock was set back before a restart would
// otherwise be ignored for good.
func (h *ownedHost) supersedes(l machine.Listing, now time.Time, lease time.Duration) bool {
	current := h.host.Listing.StartTime
	return l.StartTime != 0 && l.StartTime < current && current == h.host.StartTime && now.Sub(h.host.Contacted()) < lease
}

// dropHost stops maintaining a worker, for the given reason. Its next owner reports its runs to their homes. p.mu is
// held.
func (p *Pool) dropHost(h *ownedHost, reason endProof, fx *effects) {
	if h.watch.refusing() {
		// The next owner does not know what ran there.
		p.recordCrash(h, h.watch.refusedSince, "refuses connections", nil, fx)
	}
	h.cancel()
	h.dropped = true
	delete(p.hosts, h.host.Listing.Worker)
	for _, r := range h.runs {
		p.forget(r, reason, fx)
	}
	p.removeAllUnbarred(h)
}

// Owned returns the workers that this VM has acquired and still owns.
func (p *Pool) Owned() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, h := range p.hosts {
		if h.host.Token != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}
