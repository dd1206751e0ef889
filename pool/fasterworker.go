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

// hasFaster reports whether the pool has a usable worker that is not slow. p.mu is held.
func (p *Pool) hasFaster(now time.Time) bool {
	for _, h := range p.hosts {
		if h.host.Speed() >= slowSpeed && h.host.Usable(now) {
			return true
		}
	}
	return false
}
