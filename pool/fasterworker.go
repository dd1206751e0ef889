package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// awaitsFaster reports whether a queued run is kept for a worker of about mean speed: on one of the given speed its answer
// would be late, and it has the time to wait for a better one. Where a third of the workers is slow, their free capacity is
// the first that a task finds at a demand peak, and short waits are the rule.
func (r *run) awaitsFaster(now time.Time, speed float64) bool {
	if speed >= slowSpeed {
		return false
	}
	times := r.order.Times()
	return times.Expect(now, r.runTime(speed)) != contract.OnTime && times.Expect(now, r.runTime(1)) == contract.OnTime
}

// hasFast reports whether the pool has a usable worker that is not slow. p.mu is held.
func (p *Pool) hasFast(now time.Time) bool {
	return p.anyFast(now, func(*ownedHost) bool { return true })
}

// waitsForFaster reports whether a queued run does not start on a worker because a better one that can hold it is worth waiting for. p.mu
// is held.
func (p *Pool) waitsForFaster(h *ownedHost, r *run, now time.Time) bool {
	return p.o.Overload.Shed && r.onlyWorker == "" && r.awaitsFaster(now, h.host.Speed()) &&
		p.anyFast(now, func(h *ownedHost) bool {
			return h.host.CanHold(r.order.Need, r.order.RequiredLabel) && p.mayRunOn(h, r.order, now)
		})
}

// anyFast reports whether a usable worker that is not slow meets a condition. p.mu is held.
func (p *Pool) anyFast(now time.Time, meets func(h *ownedHost) bool) bool {
	for _, h := range p.hosts {
		if h.host.Speed() >= slowSpeed && h.host.Usable(now) && meets(h) {
			return true
		}
	}
	return false
}
