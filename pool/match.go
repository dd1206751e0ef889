package pool

import (
	"slices"
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

// match starts waiting tasks on workers with room. Each worker takes the most urgent task that fits, judged by its own
// speed; the fastest choose first, so that tasks that only they can end in time get them. p.mu is held.
func (p *Pool) match(now time.Time, fx *effects) {
	if len(p.waiting.runs) == 0 {
		return
	}
	var reserved *ownedHost
	for _, t := range p.withRoom(now) {
		p.waiting.sort(now, t.host.Speed())
		if reserved == nil {
			reserved = p.reserve(now)
		}
		for i := 0; i < len(p.waiting.runs) && t.host.Usable(now); {
			r := p.waiting.runs[i]
			if (t == reserved && i > 0) || !p.suits(t, r, now) {
				i++
				continue
			}
			p.waiting.remove(r)
			p.begin(r, t, now, fx)
		}
	}
}

// withRoom returns the workers on which a task may start, the fastest first and of equally fast ones the fullest.
func (p *Pool) withRoom(now time.Time) []*ownedHost {
	var hosts []*ownedHost
	for _, t := range p.hosts {
		if t.host.CanStart(machine.Resources{}, now) && t.host.Free().CPUMillis > 0 &&
			t.leaseLimit(now, p.o.Lease).Sub(now) >= minStartLease {
			hosts = append(hosts, t)
		}
	}
	slices.SortFunc(hosts, func(a, b *ownedHost) int {
		if better(a.host, b.host) {
			return -1
		}
		return 1
	})
	return hosts
}

// suits reports whether a task may start on a worker now. A task whose data are in a rack of this pool waits for that
// rack for as long as it runs.
func (p *Pool) suits(t *ownedHost, r *run, now time.Time) bool {
	o := r.order
	if now.Sub(r.refreshed) > refreshTimeout {
		// The home counts the run as lost; the next sweep ends it.
		return false
	}
	if !t.host.CanStart(o.Need, now) || !t.host.Listing.CanHold(o.Need, o.RequiredLabel) {
		return false
	}
	if o.PerWorkerLimit > 0 && t.inStep(o.Key) >= o.PerWorkerLimit {
		return false
	}
	if o.PreferredRack == "" || t.host.Listing.HasLabel(o.PreferredRack) || now.Sub(r.queued) > o.Expected {
		return true
	}
	return !p.hasRack(o.PreferredRack, now)
}

// inStep returns the number of runs of a step on the worker.
func (t *ownedHost) inStep(key contract.RunKey) int {
	n := 0
	for k := range t.runs {
		if k.InStep(key) {
			n++
		}
	}
	return n
}

// hasRack reports whether a usable worker of the pool is in a rack.
func (p *Pool) hasRack(rack string, now time.Time) bool {
	for _, t := range p.hosts {
		if t.host.Usable(now) && t.host.Listing.HasLabel(rack) {
			return true
		}
	}
	return false
}

// reserve returns the worker that is kept free for the most urgent task, if it has waited for room for long.
func (p *Pool) reserve(now time.Time) *ownedHost {
	if len(p.waiting.runs) == 0 || now.Sub(p.waiting.runs[0].queued) < headReserve {
		return nil
	}
	return p.largestFree(p.waiting.runs[0].order)
}

// speedStep is the difference in speed below which two workers count as equally fast.
const speedStep = 0.15

// better orders workers for a task: by speed, and of equally fast ones the one with less room left.
func better(a, b *machine.Host) bool {
	if sa, sb := int(a.Speed()/speedStep), int(b.Speed()/speedStep); sa != sb {
		return sa > sb
	}
	if fa, fb := a.Free().CPUMillis, b.Free().CPUMillis; fa != fb {
		return fa < fb
	}
	return a.Listing.Worker < b.Listing.Worker
}

// largestFree returns the worker that needs to free the least room for a task.
func (p *Pool) largestFree(o contract.TaskOrder) *ownedHost {
	var best *ownedHost
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
func (p *Pool) begin(r *run, t *ownedHost, now time.Time, fx *effects) {
	t.host.Reserve(r.order.Need)
	t.runs[r.order.Key] = r
	r.host, r.state, r.started, r.ran = t, runStarting, now, true
	r.progress, r.progressAt, r.token = 0, now, t.host.Token
	p.commit(r.order.Key.Batch, now)
	fx.starts = append(fx.starts, startEffect{
		run: r, host: t, token: t.host.Token,
		leaseEnd: t.host.ExtendLease(t.leaseLimit(now, p.o.Lease).Sub(now), now),
	})
	t.wake()
}

// commit marks the waiting tasks of a job of which a task is started. p.mu is held.
func (p *Pool) commit(batch string, now time.Time) {
	if _, ok := p.begun[batch]; !ok {
		for _, r := range p.waiting.runs {
			r.committed = r.committed || r.order.Key.Batch == batch
		}
	}
	p.begun[batch] = now
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
