package pool

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// reservation keeps a worker free for a run that does not fit there yet. Other runs start there only if they do not delay it.
type reservation struct {
	host *ownedHost
	run  *run
	// startsAt is when the run is expected to fit, spare what is left free then.
	startsAt time.Time
	spare    machine.Resources
}

// reserveSoonest returns a reservation of the worker on which a run is expected to fit first. The host is nil if there is none.
// p.mu is held.
func (p *Pool) reserveSoonest(r *run, now time.Time) reservation {
	best := reservation{run: r}
	for _, h := range p.hosts {
		if (r.onlyWorker != "" && r.onlyWorker != h.address.Worker) || !p.canReserve(h, r, now) {
			continue
		}
		at, free, ok := h.fitsAt(r.order.Need, now)
		if ok && (best.host == nil || at.Before(best.startsAt)) {
			best.host, best.startsAt, best.spare = h, at, free.Minus(r.order.Need)
		}
	}
	return best
}

// canReserve reports whether a worker may be kept free for a run, which then has to be able to start there. p.mu is held.
func (p *Pool) canReserve(h *ownedHost, r *run, now time.Time) bool {
	return h != p.emptying && !h.hasAlone() && h.host.Usable(now) && h.host.CanHold(r.order.Need, r.order.RequiredLabel) &&
		h.allowsAnotherOf(r.order) && p.mayRunOn(h, r.order, now) && !p.waitsForFaster(h, r, now)
}

// fitsAt returns when a need is expected to fit on a worker, as its runs end, and the capacity that is free then. It returns false if
// the need does not fit when all have ended.
func (h *ownedHost) fitsAt(need machine.Resources, now time.Time) (time.Time, machine.Resources, bool) {
	free := h.host.Free()
	if free.Fits(need) {
		return now, free, true
	}
	type end struct {
		at    time.Time
		frees machine.Resources
	}
	ends := make([]end, 0, len(h.runs))
	for _, r := range h.runs {
		ends = append(ends, end{later(r.startedAt.Add(r.runTime(h.host.Speed())), now), r.order.Need})
	}
	slices.SortFunc(ends, func(a, b end) int { return a.at.Compare(b.at) })
	for _, e := range ends {
		free = free.Plus(e.frees)
		if free.Fits(need) {
			return e.at, free, true
		}
	}
	return time.Time{}, free, false
}

// admits reports whether a run may start on a worker without delaying the run that has the reservation.
func (v *reservation) admits(h *ownedHost, r *run, now time.Time) bool {
	return h != v.host || r == v.run || !now.Add(r.runTime(h.host.Speed())).After(v.startsAt) || v.spare.Fits(r.order.Need)
}

// started records that a run has started.
func (v *reservation) started(h *ownedHost, r *run, now time.Time) {
	switch {
	case r == v.run:
		*v = reservation{}
	case h == v.host && now.Add(r.runTime(h.host.Speed())).After(v.startsAt):
		v.spare = v.spare.Minus(r.order.Need)
	}
}
