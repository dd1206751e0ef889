package zone

import (
	"sort"
	"sync"
	"time"
)

const (
	// hintTTL is the age at which a granter's statement of free slots is no longer believed.
	hintTTL = time.Second
	// refreshDemand is the time after which an unmet demand is stated again, so that granters compare recent waits
	// and a lost message costs little.
	refreshDemand = 200 * time.Millisecond
	// demandFlight is the time within which a demand reaches its granter.
	demandFlight = 2 * time.Millisecond
	// answerTime is the time within which a granter with free slots answers a demand.
	answerTime = 10 * time.Millisecond
	// withdrawInterval spaces the reductions of a demand: a grant that comes too late is a wasted message.
	withdrawInterval = 5 * time.Millisecond
	// scarceShare is the share of all slots below which free ones count as scarce.
	scarceShare = 1.0 / 16
	// reaskInterval spaces changes of a demand that no granter is known to be able to serve.
	reaskInterval = 50 * time.Millisecond
)

// DemandPart is the demand to state to a granter; it replaces the one before.
type DemandPart struct {
	Granter  string
	Tasks    Count
	Received uint64
}

// DemandPlanner divides the unmet demand of one service between the granters, so that no task is asked for twice. The own
// granter is one of them. Its mutex guards all fields.
type DemandPlanner struct {
	self string

	mu       sync.Mutex
	granters map[string]*plannedGranter
}

// plannedGranter is what is known of a granter and has been asked of it.
type plannedGranter struct {
	name     string
	slots    int
	free     int
	freeAt   time.Time
	asked    Count
	askedAt  time.Time
	received uint64
}

// NewDemandPlanner returns an planner of the entry VM self that knows no granter.
func NewDemandPlanner(self string) *DemandPlanner {
	return &DemandPlanner{self: self, granters: make(map[string]*plannedGranter)}
}

// SetGranters replaces the granters; slots holds the number of slots that each one grants.
func (a *DemandPlanner) SetGranters(slots map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, n := range slots {
		a.granter(name).slots = n
	}
	for name := range a.granters {
		if _, ok := slots[name]; !ok {
			delete(a.granters, name)
		}
	}
}

// granter expects a.mu to be held.
func (a *DemandPlanner) granter(name string) *plannedGranter {
	g, ok := a.granters[name]
	if !ok {
		g = &plannedGranter{name: name}
		a.granters[name] = g
	}
	return g
}

// Hint records a granter's statement of its free slots, made in reply to a demand.
func (a *DemandPlanner) Hint(granter string, free int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, ok := a.granters[granter]; ok {
		g.free, g.freeAt = free, now
	}
}

// Overheard records a granter's statement of its free slots, made on another occasion. While a demand may still be
// under way to the granter, a statement of none says nothing about the answer, and must not move the demand.
func (a *DemandPlanner) Overheard(granter string, free int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.granters[granter]
	if !ok || (free == 0 && g.asked.Sum() > 0 && now.Sub(g.askedAt) < demandFlight) {
		return
	}
	g.free, g.freeAt = free, now
}

// Scarce reports whether the granters are known to have hardly any free slots among them.
func (a *DemandPlanner) Scarce(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	free, slots := 0, 0
	for _, g := range a.granters {
		free += g.hint(now)
		slots += g.slots
	}
	return float64(free) < scarceShare*float64(slots)
}

// Granted records a grant.
func (a *DemandPlanner) Granted(granter string, c Count, number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.granter(granter)
	g.received = number
	g.asked.Short = max(0, g.asked.Short-c.Short)
	g.asked.Long = max(0, g.asked.Long-c.Long)
}

// Received returns the number of the last grant from a granter.
func (a *DemandPlanner) Received(granter string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, ok := a.granters[granter]; ok {
		return g.received
	}
	return 0
}

// Reset forgets what was asked of a granter whose process has ended.
func (a *DemandPlanner) Reset(granter string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, ok := a.granters[granter]; ok {
		*g = plannedGranter{name: granter, slots: g.slots}
	}
}

// Plan divides the demand and returns the statements to send. The own granter is told directly and needs no
// message, so that its part is always stated.
func (a *DemandPlanner) Plan(need Count, now time.Time) []DemandPart {
	a.mu.Lock()
	defer a.mu.Unlock()
	if need.Sum() == 0 && !a.asking() {
		return nil
	}
	order := a.order(now)
	target := make([]Count, len(order))
	left := need
	a.keep(order, target, &left, func(g *plannedGranter) bool {
		return now.Sub(g.askedAt) < answerTime && g.hint(now) > 0
	})
	for i, g := range order {
		free := max(0, g.hint(now)-target[i].Sum())
		s := min(left.Short, free)
		l := min(left.Long, free-s)
		target[i].Short += s
		target[i].Long += l
		left.Short -= s
		left.Long -= l
	}
	a.keep(order, target, &left, func(*plannedGranter) bool { return true })
	spread(order, target, left)
	var asks []DemandPart
	for i, g := range order {
		if g.due(target[i], need, now, g.name == a.self) {
			g.asked, g.askedAt = target[i], now
			asks = append(asks, DemandPart{Granter: g.name, Tasks: target[i], Received: g.received})
		}
	}
	return asks
}

// asking expects a.mu to be held.
func (a *DemandPlanner) asking() bool {
	for _, g := range a.granters {
		if g.asked.Sum() > 0 {
			return true
		}
	}
	return false
}

// order returns the granters, the own one first, then by their free slots. It expects a.mu to be held.
func (a *DemandPlanner) order(now time.Time) []*plannedGranter {
	order := make([]*plannedGranter, 0, len(a.granters))
	for _, g := range a.granters {
		order = append(order, g)
	}
	sort.Slice(order, func(i, j int) bool {
		x, y := order[i], order[j]
		if (x.name == a.self) != (y.name == a.self) {
			return x.name == a.self
		}
		if hx, hy := x.hint(now), y.hint(now); hx != hy {
			return hx > hy
		}
		if x.slots != y.slots {
			return x.slots > y.slots
		}
		return x.name < y.name
	})
	return order
}

// hint is the number of slots that the granter can probably grant at once.
func (g *plannedGranter) hint(now time.Time) int {
	if now.Sub(g.freeAt) > hintTTL {
		return 0
	}
	return g.free
}

// keep leaves the parts of the demand where they have been stated before, at the granters for which stays returns true.
// A part that moves costs messages, and a grant for it may be under way.
func (a *DemandPlanner) keep(order []*plannedGranter, target []Count, left *Count, stays func(*plannedGranter) bool) {
	for i, g := range order {
		if g.name == a.self || !stays(g) {
			// The own part is divided anew each time: left here it would grow beyond its share.
			continue
		}
		s := min(left.Short, max(0, g.asked.Short-target[i].Short))
		l := min(left.Long, max(0, g.asked.Long-target[i].Long))
		target[i].Short += s
		target[i].Long += l
		left.Short -= s
		left.Long -= l
	}
}

// spread divides what is left in proportion to the granters' slots.
func spread(order []*plannedGranter, target []Count, left Count) {
	slots := 0
	for _, g := range order {
		slots += g.slots
	}
	for i, g := range order {
		if g.slots == 0 {
			continue
		}
		// Rounding up for each and dividing the rest by what remains gives every task to exactly one granter.
		s := (left.Short*g.slots + slots - 1) / slots
		l := (left.Long*g.slots + slots - 1) / slots
		target[i].Short += s
		target[i].Long += l
		left.Short -= s
		left.Long -= l
		slots -= g.slots
	}
}

// due reports whether a new demand has to be stated now.
func (g *plannedGranter) due(target, need Count, now time.Time, own bool) bool {
	since := now.Sub(g.askedAt)
	switch {
	case own:
		return target != g.asked || (target.Sum() > 0 && since >= reaskInterval)
	case target == g.asked:
		return target.Sum() > 0 && since >= refreshDemand
	case need.Sum() == 0 || target.Sum() == 0:
		return true
	case target.Sum() > g.asked.Sum():
		// More is asked at once of a granter with free slots, and of any if it is much more.
		return g.hint(now) > 0 || target.Sum() >= 2*g.asked.Sum() || since >= reaskInterval
	default:
		return since >= withdrawInterval
	}
}

// Free returns the number of slots that other granters are known to have free.
func (a *DemandPlanner) Free(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for name, g := range a.granters {
		if name != a.self {
			n += g.hint(now)
		}
	}
	return n
}
