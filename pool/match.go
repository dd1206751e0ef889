package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// sizeWeight is the weight of one task in the typical size.
	sizeWeight = 0.05
	// headReserve is the wait after which the most urgent task keeps smaller ones behind it from taking the room that it
	// needs; without it large tasks starve while small ones fill each gap.
	headReserve = 150 * time.Millisecond
)

// match starts waiting tasks on workers with room, in order of urgency. p.mu is held.
func (p *Pool) match(now time.Time, fx *effects) {
	if len(p.waiting.runs) == 0 {
		return
	}
	p.waiting.sort(now)
	var reserved *tended
	for i := 0; i < len(p.waiting.runs); {
		r := p.waiting.runs[i]
		t := p.choose(r.order, reserved, now)
		if t == nil {
			if reserved == nil && now.Sub(r.queued) > headReserve {
				reserved = p.largestFree(r.order)
			}
			i++
			continue
		}
		p.waiting.remove(r)
		p.begin(r, t, now, fx)
	}
}

// choose returns the worker for a task: the fastest with room, and of equally fast ones the one that it fills best.
func (p *Pool) choose(o contract.TaskOrder, reserved *tended, now time.Time) *tended {
	var best *tended
	for _, t := range p.hosts {
		if t == reserved || !t.host.CanStart(o.Need, now) || !t.host.Listing.CanHold(o.Need, o.RequiredLabel) {
			continue
		}
		if best == nil || better(t.host, best.host, o) {
			best = t
		}
	}
	return best
}

// speedStep is the difference in speed below which two workers count as equally fast.
const speedStep = 0.15

func better(a, b *machine.Host, o contract.TaskOrder) bool {
	if o.PreferredRack != "" {
		an, bn := a.Listing.HasLabel(o.PreferredRack), b.Listing.HasLabel(o.PreferredRack)
		if an != bn {
			return an
		}
	}
	if d := a.Speed() - b.Speed(); d > speedStep || d < -speedStep {
		return d > 0
	}
	if fa, fb := a.Free().CPUMillis, b.Free().CPUMillis; fa != fb {
		return fa < fb
	}
	return a.Listing.Worker < b.Listing.Worker
}

// largestFree returns the worker that needs to free the least room for a task.
func (p *Pool) largestFree(o contract.TaskOrder) *tended {
	var best *tended
	for _, t := range p.hosts {
		if t.host.Token == 0 || t.host.Listing.Draining || !t.host.Listing.CanHold(o.Need, o.RequiredLabel) {
			continue
		}
		if best == nil || t.host.Free().CPUMillis > best.host.Free().CPUMillis {
			best = t
		}
	}
	return best
}

// begin reserves room for a run and plans its start call. p.mu is held.
func (p *Pool) begin(r *run, t *tended, now time.Time, fx *effects) {
	t.host.Reserve(r.order.Need)
	t.runs[r.order.Key] = r
	r.host, r.state, r.started, r.ran = t, runStarting, now, true
	r.progress, r.progressAt, r.token = 0, now, t.host.Token
	fx.starts = append(fx.starts, startEffect{
		run: r, host: t, token: t.host.Token, leaseEnd: t.host.ExtendLease(p.o.Lease, now),
	})
	t.wake()
}

// learnSize keeps the typical size of a task, by which room is counted in slots. p.mu is held.
func (p *Pool) learnSize(need machine.Resources) {
	if p.typical.CPUMillis == 0 {
		p.typical = need
		return
	}
	p.typical.CPUMillis += int(sizeWeight * float64(need.CPUMillis-p.typical.CPUMillis))
	p.typical.MemoryMB += int(sizeWeight * float64(need.MemoryMB-p.typical.MemoryMB))
}

// Room returns what the pool can take now.
func (p *Pool) Room() zone.BackendRoom {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var room zone.BackendRoom
	for _, t := range p.hosts {
		if !t.host.Usable(now) {
			continue
		}
		room.Slots += slotsIn(t.host.Listing.Capacity, p.typical)
		room.Free += slotsIn(t.host.Free(), p.typical)
	}
	for _, r := range p.waiting.runs {
		room.Waiting[min(max(r.order.Priority, 0), zone.Priorities-1)] += r.order.Expected
		room.Free--
	}
	room.Free = max(room.Free, 0)
	return room
}

func slotsIn(have, size machine.Resources) int {
	if size.CPUMillis <= 0 {
		return 1
	}
	n := have.CPUMillis / size.CPUMillis
	if size.MemoryMB > 0 {
		n = min(n, have.MemoryMB/size.MemoryMB)
	}
	return max(n, 0)
}
