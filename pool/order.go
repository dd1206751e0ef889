package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// startedWeight is the weight of the runs of started jobs, relative to that of others of their priority. The work that has been done for
// such a job is wasted if its other tasks are late. The weight is bounded, so that a large job of low priority does not hold up urgent ones.
const startedWeight = 4

// shareKey identifies a share of the workers: that of a route, by the weight of a priority.
type shareKey struct {
	route    string
	priority int
}

// candidate is a queued run in a shareOrder. used is the recent work of its route, divided by the weight of its priority.
type candidate struct {
	run  *run
	used *float64
	// large is set if the run needs clearly more than a typical one, so that few gaps fit it.
	large bool
	// stuck is set if the run has to start on one worker, which takes no run now.
	stuck bool
}

// shareOrder orders the queued runs of a pool by what their delay costs their callers. First come runs whose answer would
// be on time, then those whose answer would be late. Runs whose answer would be of no use start only while no other run
// waits, unless a task of their job has started. Among runs of the same usefulness, the route goes first that has used the
// least for the weight of its priority, which is higher for started jobs; within a route, started jobs, then large runs, then earlier targets.
//
// It is valid for one decision, under the lock of the pool. The slices are kept to be used again.
type shareOrder struct {
	candidates []candidate
	used       map[shareKey]*float64
	// faster is set if the pool has a usable worker that is not slow.
	faster bool
	// useful is set if a run whose answer can be of use waits for a worker that may take it. Runs that need a worker for themselves do
	// not count: they cannot use a gap.
	useful   bool
	reserved reservation
}

// JobStarted records that other tasks of the jobs of queued runs have started, also at other owners.
func (p *Pool) JobStarted(keys []contract.RunKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		if r, ok := p.runs[k]; ok {
			r.committed = true
		}
	}
}

// startByShares starts queued tasks in the order of shareOrder. p.mu is held.
func (p *Pool) startByShares(now time.Time, fx *effects) {
	ordered := false
	for _, h := range p.hostsWithCapacity(now) {
		if !p.waiting.anyFits(h.host.Free()) {
			continue
		}
		if !ordered {
			// The fastest worker with room judges which runs can still be of use.
			p.orderByShares(now, h.host.Speed())
			ordered = true
		}
		for h.host.Usable(now) {
			r := p.bestFor(h, now)
			if r == nil {
				break
			}
			p.waiting.remove(r)
			p.assign(r, h, now, fx)
			p.shareOrder.reserved.started(h, r, now)
			p.updateUsed(r.order.Route, now)
		}
	}
	p.clearOrder()
}

// clearOrder drops the runs of a decision, which must not be kept after their end. p.mu is held.
func (p *Pool) clearOrder() {
	clear(p.shareOrder.candidates)
	p.shareOrder.reserved = reservation{}
}

// orderByShares prepares the order of the queued runs for a decision. p.mu is held.
func (p *Pool) orderByShares(now time.Time, speed float64) {
	o := &p.shareOrder
	o.faster = p.hasFast(now)
	o.candidates, o.useful = o.candidates[:0], false
	clear(o.used)
	for _, r := range p.waiting.runs {
		stuck := p.stuck(r, now)
		o.candidates = append(o.candidates, candidate{run: r, used: p.usedBy(r, now), stuck: stuck, large: p.isLarge(r) && !r.order.Alone})
		o.useful = o.useful || (!stuck && !r.order.Alone && r.prospect(now, speed) < contract.Useless)
	}
	o.reserved = reservation{}
	if r := o.toReserve(now, speed, p.shares.largeBehind(now)); r != nil {
		o.reserved = p.reserveSoonest(r, now)
	}
}

// isLarge reports whether a run needs clearly more than a typical one. p.mu is held.
func (p *Pool) isLarge(r *run) bool {
	return isLarge(r.order.Need.CPUMillis, p.typicalSize.CPUMillis)
}

// usedBy returns the recent work of a run's route, divided by the weight of its priority. p.mu is held.
func (p *Pool) usedBy(r *run, now time.Time) *float64 {
	key := shareKey{r.order.Route, r.order.Priority}
	used := p.shareOrder.used[key]
	if used == nil {
		used = new(float64)
		*used = p.shares.used(key.route, key.priority, now)
		p.shareOrder.used[key] = used
	}
	return used
}

// updateUsed recomputes the recent work of a route after the start of one of its tasks. p.mu is held.
func (p *Pool) updateUsed(route string, now time.Time) {
	for key, used := range p.shareOrder.used {
		if key.route == route {
			*used = p.shares.used(route, key.priority, now)
		}
	}
}

// toReserve returns the run for which a worker is kept free: the first large one in the order that can be on time, if large runs are
// behind, or the first one of all if it has waited for reserveDelay. It returns nil if there is none.
func (o *shareOrder) toReserve(now time.Time, speed float64, largeBehind bool) *run {
	if largeBehind {
		if c, class := o.first(now, speed, func(c *candidate) bool { return c.large }); c != nil && class == contract.OnTime {
			return c.run
		}
	}
	c, _ := o.first(now, speed, func(*candidate) bool { return true })
	if c != nil && !c.run.order.Alone && now.Sub(c.run.queuedAt) >= reserveDelay {
		return c.run
	}
	return nil
}

// first returns the first of some candidates in the order, and its usefulness on a worker of a given speed; nil if there is none. Runs
// that wait for one worker which takes none are left out.
func (o *shareOrder) first(
	now time.Time, speed float64, counts func(c *candidate) bool,
) (best *candidate, bestClass contract.Usefulness) {
	for i := range o.candidates {
		c := &o.candidates[i]
		if c.stuck || !counts(c) {
			continue
		}
		class := c.run.prospect(now, speed)
		if best == nil || class < bestClass || (class == bestClass && c.before(best)) {
			best, bestClass = c, class
		}
	}
	return best, bestClass
}

// prospect is usefulness with a margin for runs that take longer than expected: a job that starts at the last moment is late as
// often as not.
func (r *run) prospect(now time.Time, speed float64) contract.Usefulness {
	times := r.order.Times()
	use := times.Expect(now, r.runTime(speed))
	switch {
	case use == contract.Late && r.committed:
		return contract.OnTime
	case use != contract.Expired && times.Expect(times.Accepted, r.order.Expected) != contract.OnTime:
		// A target that could not be met from the start says nothing about the value of the answer.
		return contract.OnTime
	}
	return use
}

// shareUsed returns the recent work of the route, divided by the weight of this run: higher if its job has started.
func (c *candidate) shareUsed() float64 {
	if c.run.committed {
		return *c.used / startedWeight
	}
	return *c.used
}

// before orders runs of the same usefulness.
func (c *candidate) before(o *candidate) bool {
	switch {
	case c.shareUsed() != o.shareUsed():
		return c.shareUsed() < o.shareUsed()
	case c.run.order.Priority != o.run.order.Priority:
		return c.run.order.Priority < o.run.order.Priority
	case c.run.committed != o.run.committed:
		return c.run.committed
	case c.large != o.large:
		return c.large
	default:
		return c.run.order.Target.Before(o.run.order.Target)
	}
}

// holdsBack reports whether a run of a given usefulness does not start now on a worker that has room for it: others can still be
// of use, or a better worker is worth waiting for. p.mu is held.
func (p *Pool) holdsBack(h *ownedHost, r *run, use contract.Usefulness, now time.Time) bool {
	o := &p.shareOrder
	if use >= contract.Useless && o.useful && !r.committed {
		return true
	}
	return o.faster && p.waitsForFaster(h, r, now)
}

// bestFor returns the first run in the order that can start on a worker now; nil if there is none. p.mu is held.
func (p *Pool) bestFor(h *ownedHost, now time.Time) *run {
	o := &p.shareOrder
	free, speed := h.host.Free(), h.host.Speed()
	var best *candidate
	var bestClass contract.Usefulness
	for i := range o.candidates {
		c := &o.candidates[i]
		if c.run.state != runWaiting || !free.Fits(c.run.order.Need) {
			continue
		}
		class := c.run.prospect(now, speed)
		if p.holdsBack(h, c.run, class, now) {
			continue
		}
		if best != nil && (class > bestClass || (class == bestClass && !c.before(best))) {
			continue
		}
		if o.reserved.admits(h, c.run, now) && p.canStart(h, c.run, now) {
			best, bestClass = c, class
		}
	}
	if best == nil {
		return nil
	}
	return best.run
}
