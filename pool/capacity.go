package pool

import (
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// Policy is what the operators say of the workers of a pool: by the desired state, but for the evacuations.
type Policy struct {
	// GuardsCapacity is set if the workers reject tasks that exceed their capacity.
	GuardsCapacity bool
	// SoleBackend is set if the desired state names no other back end to which a worker may belong.
	SoleBackend bool
	// Evacuations are the failure domains on whose workers no task may start.
	Evacuations contract.Evacuations
}

// slowSpeed is the speed, relative to the mean of the back end, below which a worker counts as slow.
const slowSpeed = 0.75

// SetPolicy applies a newer policy. Queued tasks that no worker may start any more go back to their homes, and workers that may
// start tasks again do so at once.
func (p *Pool) SetPolicy(policy Policy) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	p.policy = policy
	p.evacuated.Store(&policy.Evacuations)
	for _, h := range p.hosts {
		h.host.Evacuated = policy.Evacuations.Contains(h.host.Listing.Zone)
	}
	p.returnInfeasible(&fx)
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// entrySuffices reports whether enough is known of a worker to start tasks that require no label. Until the entry of a new
// incarnation has been read, its back end is known only if there is no other, and its capacity matters only if it does not
// guard that itself. p.mu is held.
func (p *Pool) entrySuffices(h *ownedHost) bool {
	return h.host.EntryCurrent() || (p.policy.GuardsCapacity && p.policy.SoleBackend)
}

// ReservedCPU returns the CPU that is reserved for runs on each worker, in thousandths of a core, without idle
// workers.
func (p *Pool) ReservedCPU() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make(map[string]int)
	for id, h := range p.hosts {
		if used := h.host.Listing.Capacity.CPUMillis - h.host.Free().CPUMillis; used != 0 {
			held[id] = used
		}
	}
	return held
}

// FreeCapacity returns the slots of the pool, the free ones among them, and the work queued for them.
func (p *Pool) FreeCapacity() zone.BackendCapacity {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var capacity zone.BackendCapacity
	for _, h := range p.hosts {
		if !h.host.Usable(now) || !p.entrySuffices(h) {
			continue
		}
		capacity.Slots += slotsIn(h.host.Listing.Capacity, p.typicalSize)
		if h == p.emptying || h.hasAlone() {
			continue
		}
		free := slotsIn(h.host.Free(), p.typicalSize)
		capacity.Free += free
		if h.host.Speed() < slowSpeed {
			capacity.SlowFree += free
		}
	}
	for _, r := range p.waiting.runs {
		if p.stuck(r, now) {
			continue
		}
		capacity.Waiting[min(max(r.order.Priority, 0), zone.Priorities-1)] += r.order.Expected
		capacity.Free--
	}
	capacity.Free = max(capacity.Free, 0)
	capacity.SlowFree = min(capacity.SlowFree, capacity.Free)
	return capacity
}

func slotsIn(have, size machine.Resources) int {
	if size.CPUMillis <= 0 {
		// The typical size is unknown until the first task is ordered.
		return 1
	}
	n := have.CPUMillis / size.CPUMillis
	if size.MemoryMB > 0 {
		n = min(n, have.MemoryMB/size.MemoryMB)
	}
	return max(n, 0)
}
