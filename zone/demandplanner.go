package zone

import (
	"sort"
	"sync"
	"time"
)

const (
	// freeHintTTL is the age at which an allocator's count of its free slots is ignored as stale.
	freeHintTTL = time.Second
	// demandRefreshInterval is the interval at which an unmet demand is sent again, so that allocators compare recent
	// waits and a lost message costs little.
	demandRefreshInterval = 200 * time.Millisecond
	// demandTransitTime is the time within which a demand reaches its allocator.
	demandTransitTime = 2 * time.Millisecond
	// demandReplyTime is the time within which an allocator with free slots answers a demand.
	demandReplyTime = 10 * time.Millisecond
	// withdrawInterval is the minimum interval between reductions of a demand: a grant that arrives after the reduction
	// is a wasted message.
	withdrawInterval = 5 * time.Millisecond
	// scarceShare is the share of all slots below which the free ones count as scarce.
	scarceShare = 1.0 / 16
	// demandRetryInterval is the interval at which a demand that no allocator is known to be able to serve is increased
	// or sent again.
	demandRetryInterval = 50 * time.Millisecond
)

// DemandPart is the demand to send to one allocator; it replaces the previous one.
type DemandPart struct {
	Allocator string
	Tasks     Count
	Received  uint64
}

// DemandPlanner divides the unmet demand of one service between the slot allocators, so that no task is requested
// twice. The VM's own allocator is one of them. The mutex guards all fields below it.
type DemandPlanner struct {
	self string

	mu         sync.Mutex
	allocators map[string]*allocatorState
}

// allocatorState is an allocator's last known state and the demand sent to it.
type allocatorState struct {
	name           string
	slots          int
	free           int
	freeReportedAt time.Time
	requested      Count
	requestedAt    time.Time
	received       uint64
}

// NewDemandPlanner returns a planner of the entry VM self without allocators.
func NewDemandPlanner(self string) *DemandPlanner {
	return &DemandPlanner{self: self, allocators: make(map[string]*allocatorState)}
}

// SetAllocators replaces the allocators; slots holds the number of slots that each one allocates.
func (p *DemandPlanner) SetAllocators(slots map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range slots {
		p.allocator(name).slots = n
	}
	for name := range p.allocators {
		if _, ok := slots[name]; !ok {
			delete(p.allocators, name)
		}
	}
}

// allocator expects p.mu to be held.
func (p *DemandPlanner) allocator(name string) *allocatorState {
	a, ok := p.allocators[name]
	if !ok {
		a = &allocatorState{name: name}
		p.allocators[name] = a
	}
	return a
}

// RecordReply records the number of free slots that an allocator reported in reply to a demand.
func (p *DemandPlanner) RecordReply(allocator string, free int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.allocators[allocator]; ok {
		a.free, a.freeReportedAt = free, now
	}
}

// RecordUnsolicited records the number of free slots that an allocator reported other than in reply to a demand. While
// a demand may still be in transit to the allocator, a report of zero free slots does not answer it and must not move
// the demand elsewhere.
func (p *DemandPlanner) RecordUnsolicited(allocator string, free int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.allocators[allocator]
	if !ok || (free == 0 && a.requested.Sum() > 0 && now.Sub(a.requestedAt) < demandTransitTime) {
		return
	}
	a.free, a.freeReportedAt = free, now
}

// Scarce reports whether the allocators together are known to have hardly any free slots.
func (p *DemandPlanner) Scarce(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	free, slots := 0, 0
	for _, a := range p.allocators {
		free += a.freeHint(now)
		slots += a.slots
	}
	return float64(free) < scarceShare*float64(slots)
}

// RecordGrant records a grant and subtracts it from the demand at the allocator.
func (p *DemandPlanner) RecordGrant(allocator string, c Count, number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.allocator(allocator)
	a.received = number
	a.requested.Short = max(0, a.requested.Short-c.Short)
	a.requested.Long = max(0, a.requested.Long-c.Long)
}

// Reset clears the demand and the free slots of an allocator whose process has ended.
func (p *DemandPlanner) Reset(allocator string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.allocators[allocator]; ok {
		*a = allocatorState{name: allocator, slots: a.slots}
	}
}

// Plan divides the demand and returns the parts to send. Parts whose reply is due stay at their allocators, then known
// free slots are used, then older parts stay, and the rest is divided in proportion to slots. The VM's own allocator is
// called directly and needs no message, so a change of its part is never delayed.
func (p *DemandPlanner) Plan(need Count, now time.Time) []DemandPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	if need.Sum() == 0 && !p.hasDemand() {
		return nil
	}
	order := p.order(now)
	target := make([]Count, len(order))
	left := need
	p.retain(order, target, &left, func(a *allocatorState) bool {
		return now.Sub(a.requestedAt) < demandReplyTime && a.freeHint(now) > 0
	})
	for i, a := range order {
		free := max(0, a.freeHint(now)-target[i].Sum())
		s := min(left.Short, free)
		l := min(left.Long, free-s)
		target[i].Short += s
		target[i].Long += l
		left.Short -= s
		left.Long -= l
	}
	p.retain(order, target, &left, func(*allocatorState) bool { return true })
	spreadBySlots(order, target, left)
	var parts []DemandPart
	for i, a := range order {
		if a.needsUpdate(target[i], need, now, a.name == p.self) {
			a.requested, a.requestedAt = target[i], now
			parts = append(parts, DemandPart{Allocator: a.name, Tasks: target[i], Received: a.received})
		}
	}
	return parts
}

// hasDemand expects p.mu to be held.
func (p *DemandPlanner) hasDemand() bool {
	for _, a := range p.allocators {
		if a.requested.Sum() > 0 {
			return true
		}
	}
	return false
}

// order returns the allocators, the VM's own one first, then by descending free slots. It expects p.mu to be held.
func (p *DemandPlanner) order(now time.Time) []*allocatorState {
	order := make([]*allocatorState, 0, len(p.allocators))
	for _, a := range p.allocators {
		order = append(order, a)
	}
	sort.Slice(order, func(i, j int) bool {
		x, y := order[i], order[j]
		if (x.name == p.self) != (y.name == p.self) {
			return x.name == p.self
		}
		if hx, hy := x.freeHint(now), y.freeHint(now); hx != hy {
			return hx > hy
		}
		if x.slots != y.slots {
			return x.slots > y.slots
		}
		return x.name < y.name
	})
	return order
}

// freeHint is the number of slots that the allocator can probably grant immediately.
func (a *allocatorState) freeHint(now time.Time) int {
	if now.Sub(a.freeReportedAt) > freeHintTTL {
		return 0
	}
	return a.free
}

// retain leaves the parts of the demand at the allocators that hold them if kept returns true. Moving a part costs
// messages, and a grant for it may be in transit.
func (p *DemandPlanner) retain(order []*allocatorState, target []Count, left *Count, kept func(*allocatorState) bool) {
	for i, a := range order {
		if a.name == p.self || !kept(a) {
			// The VM's own part is recomputed each time: if kept, it would grow beyond its share.
			continue
		}
		s := min(left.Short, max(0, a.requested.Short-target[i].Short))
		l := min(left.Long, max(0, a.requested.Long-target[i].Long))
		target[i].Short += s
		target[i].Long += l
		left.Short -= s
		left.Long -= l
	}
}

// spreadBySlots divides the remaining demand in proportion to the allocators' slots.
func spreadBySlots(order []*allocatorState, target []Count, left Count) {
	slots := 0
	for _, a := range order {
		slots += a.slots
	}
	for i, a := range order {
		if a.slots == 0 {
			continue
		}
		// Rounding up and dividing the rest by the remaining slots assigns every task to exactly one allocator.
		s := (left.Short*a.slots + slots - 1) / slots
		l := (left.Long*a.slots + slots - 1) / slots
		target[i].Short += s
		target[i].Long += l
		left.Short -= s
		left.Long -= l
		slots -= a.slots
	}
}

// needsUpdate reports whether a new demand has to be sent now.
func (a *allocatorState) needsUpdate(target, need Count, now time.Time, own bool) bool {
	since := now.Sub(a.requestedAt)
	switch {
	case own:
		return target != a.requested || (target.Sum() > 0 && since >= demandRetryInterval)
	case target == a.requested:
		return target.Sum() > 0 && since >= demandRefreshInterval
	case need.Sum() == 0 || target.Sum() == 0:
		return true
	case target.Sum() > a.requested.Sum():
		// An increase is sent immediately if the allocator has free slots or the demand has at least doubled.
		return a.freeHint(now) > 0 || target.Sum() >= 2*a.requested.Sum() || since >= demandRetryInterval
	default:
		return since >= withdrawInterval
	}
}

// Free returns the number of slots that other allocators are known to have free.
func (p *DemandPlanner) Free(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for name, a := range p.allocators {
		if name != p.self {
			n += a.freeHint(now)
		}
	}
	return n
}
