package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// aloneShare is the largest share of the workers that is held for tasks that run alone. The others serve the rest, however
// many workers have crashed.
const aloneShare = 0.25

// hasAlone reports whether a run on the worker must not be joined by others.
func (h *ownedHost) hasAlone() bool {
	for _, r := range h.runs {
		if r.order.Alone {
			return true
		}
	}
	return false
}

// mayJoin reports whether a task may start beside the runs of a worker, and despite the confinement of its route. A task
// that runs alone needs an empty worker, and not too many may be held for such tasks. p.mu is held.
func (p *Pool) mayJoin(h *ownedHost, o contract.TaskOrder, now time.Time) bool {
	if o.Alone {
		return len(h.runs) == 0 && p.mayHoldAnother() && p.mayRunOn(h, o, now)
	}
	return h != p.emptying && !h.hasAlone() && p.mayRunOn(h, o, now)
}

// mayHoldAnother reports whether more workers may be held for tasks that run alone. p.mu is held.
func (p *Pool) mayHoldAnother() bool {
	held, serving := 0, 0
	for _, h := range p.hosts {
		if h.host.Evacuated {
			continue
		}
		serving++
		if h.hasAlone() {
			held++
		}
	}
	return held < max(int(aloneShare*float64(serving)), 1)
}

// updateEmptying chooses the worker on which no other tasks start until the most urgent task that runs alone can: without
// it such tasks starve, since a worker hardly ever becomes empty by itself. p.mu is held.
func (p *Pool) updateEmptying(now time.Time) {
	r := p.nextAlone(now)
	if r == nil || !p.mayHoldAnother() {
		p.emptying = nil
		return
	}
	if h := p.emptying; h != nil && p.hosts[h.address.Worker] == h && p.canEmpty(h, r, now) {
		return
	}
	p.emptying = nil
	for _, h := range p.hosts {
		if p.canEmpty(h, r, now) && (p.emptying == nil || emptiesSooner(h, p.emptying)) {
			p.emptying = h
		}
	}
}

// nextAlone returns the most urgent waiting task that runs alone and may start somewhere. p.mu is held.
func (p *Pool) nextAlone(now time.Time) *run {
	var next *run
	for _, r := range p.waiting.runs {
		if r.order.Alone && now.Sub(r.refreshedAt) <= refreshTimeout && !p.stuck(r, now) &&
			(next == nil || r.order.Deadline.Before(next.order.Deadline)) {
			next = r
		}
	}
	return next
}

func (p *Pool) canEmpty(h *ownedHost, r *run, now time.Time) bool {
	if r.onlyWorker != "" && r.onlyWorker != h.address.Worker {
		return false
	}
	return h.host.Usable(now) && h.host.CanHold(r.order.Need, r.order.RequiredLabel) && !h.hasAlone() &&
		p.mayRunOn(h, r.order, now) && !p.waitsForFaster(h, r, now)
}

// emptiesSooner orders workers by the time at which the last of their runs is expected to end.
func emptiesSooner(a, b *ownedHost) bool {
	if ea, eb := a.expectedEnd(), b.expectedEnd(); !ea.Equal(eb) {
		return ea.Before(eb)
	}
	return a.address.Worker < b.address.Worker
}

func (h *ownedHost) expectedEnd() time.Time {
	var end time.Time
	for _, r := range h.runs {
		if e := r.startedAt.Add(time.Duration(float64(r.order.Expected) / max(h.host.Speed(), minMatchSpeed))); e.After(end) {
			end = e
		}
	}
	return end
}
