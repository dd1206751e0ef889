package zone

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Priorities is the number of priorities that owners report waiting work for; the last one includes all lower ones.
const Priorities = 4

// BackendCapacity is the free capacity and the queue of one owner's workers for a back end.
type BackendCapacity struct {
	// Free and Slots count tasks of typical size: those that could start now, and those that fit when all workers are
	// idle.
	Free  int
	Slots int
	// SlowFree are those of Free on slow workers. Tasks start there last.
	SlowFree int
	// Waiting is the work in the owner's queue by priority, as run time at the mean speed.
	Waiting [Priorities]time.Duration
}

// Wait estimates how long a task of a priority waits for free capacity.
func (c *BackendCapacity) Wait(priority int) time.Duration {
	if c.Slots == 0 {
		return noWorkersWait
	}
	if c.Free > 0 {
		return 0
	}
	var ahead time.Duration
	for p := 0; p <= min(priority, Priorities-1); p++ {
		ahead += c.Waiting[p]
	}
	return minFullWait + ahead/time.Duration(c.Slots)
}

const (
	// noWorkersWait is the wait assumed at an owner without workers.
	noWorkersWait = time.Hour
	// minFullWait is the minimum wait assumed at an owner without free capacity.
	minFullWait = 10 * time.Millisecond
	// sameDomainCost and otherDomainCost are the latency of an order to another VM, within the failure domain and
	// beyond.
	sameDomainCost  = time.Millisecond
	otherDomainCost = 4 * time.Millisecond
	// slowWorkerCost is what a start on a slow worker is taken to cost: more than an order to another failure domain, since the
	// run takes much longer there, and less than the wait at an owner without free capacity.
	slowWorkerCost = 5 * time.Millisecond
)

// ownerState is the last report of a member that owns workers.
type ownerState struct {
	domain     string
	leaving    bool
	capacities map[string]*BackendCapacity
	// invitations counts those that this member has sent since the report, by back end.
	invitations map[string]int
}

// CapacityView is the view that the homes of jobs have of the owners of workers and their free capacity. Its mutex
// guards the fields below it; the others are not changed.
type CapacityView struct {
	self   string
	domain string
	// avoidSlow is set if tasks are placed where they start on a worker that is not slow.
	avoidSlow bool

	mu     sync.Mutex
	owners map[string]*ownerState
}

// NewCapacityView returns an empty view for a member in a failure domain.
func NewCapacityView(self, domain string) *CapacityView {
	return &CapacityView{self: self, domain: domain, owners: make(map[string]*ownerState)}
}

// NewSpeedAwareCapacityView returns one that places tasks where they start on a worker that is not slow, in another failure
// domain if need be.
func NewSpeedAwareCapacityView(self, domain string) *CapacityView {
	v := NewCapacityView(self, domain)
	v.avoidSlow = true
	return v
}

// Update replaces the capacities that an owner has reported.
func (v *CapacityView) Update(id, domain string, leaving bool, capacities map[string]*BackendCapacity) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.owners[id] = &ownerState{domain: domain, leaving: leaving, capacities: capacities}
}

// Remove deletes an owner.
func (v *CapacityView) Remove(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.owners, id)
}

// Reserve chooses the owner at which a task is expected to start first, and counts the task there until the owner's
// next report. Owners for which exclude returns true are skipped.
func (v *CapacityView) Reserve(
	backend string, priority int, expected time.Duration, exclude func(id string) bool,
) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best, capacity, _ := v.best(backend, priority, exclude)
	if capacity == nil {
		return "", false
	}
	capacity.reserve(priority, expected)
	return best, true
}

// ReserveAt counts a task at an owner until the owner's next report. It returns false if the owner is not known to have
// workers of the back end, or is leaving.
func (v *CapacityView) ReserveAt(owner, backend string, priority int, expected time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.owners[owner]
	if o == nil || o.leaving || o.capacities[backend] == nil {
		return false
	}
	o.capacities[backend].reserve(priority, expected)
	return true
}

func (c *BackendCapacity) reserve(priority int, expected time.Duration) {
	if c.Free > 0 {
		c.Free--
		c.SlowFree = min(c.SlowFree, c.Free)
		return
	}
	c.Waiting[min(max(priority, 0), Priorities-1)] += expected
}

// Wait returns the shortest expected wait of a task of that priority. It returns false if no owner has workers of the
// back end.
func (v *CapacityView) Wait(backend string, priority int) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, capacity, wait := v.best(backend, priority, func(string) bool { return false })
	return wait, capacity != nil
}

// ShouldMove decides whether a task that waits at an owner moves to another one with free capacity. All homes see the same
// free capacity, so each lets only such a share of its tasks move that together they fill it: a task that finds the
// capacity taken has cost its messages in vain.
func (v *CapacityView) ShouldMove(backend, owner string, expected time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	free := 0
	var waiting time.Duration
	for id, o := range v.owners {
		capacity := o.capacities[backend]
		if capacity == nil || o.leaving {
			continue
		}
		waiting += capacity.allWaiting()
		if id != owner {
			free += capacity.Free
		}
	}
	if free == 0 {
		return false
	}
	tasks := int(waiting / max(expected, time.Millisecond))
	return tasks <= free || rand.IntN(tasks) < free
}

// best returns an owner with the lowest sum of expected wait and message cost. It expects v.mu to be held.
//
// Of several owners with free capacity and the same cost, each is chosen with a probability proportional to its free
// capacity: homes have the same, slightly old view, and would all place their tasks at the same owner.
func (v *CapacityView) best(
	backend string, priority int, exclude func(id string) bool,
) (string, *BackendCapacity, time.Duration) {
	var bestID string
	var bestCapacity *BackendCapacity
	var bestWait time.Duration
	bestCost, free := time.Duration(-1), 0
	for id, o := range v.owners {
		capacity := o.capacities[backend]
		if o.leaving || capacity == nil || capacity.Slots == 0 || exclude(id) {
			continue
		}
		wait := capacity.Wait(priority)
		first, _ := v.freeFirst(capacity)
		cost := wait + v.orderCost(id, o, capacity)
		better := bestCost < 0 || cost < bestCost
		switch {
		case better:
			free = first
		case cost > bestCost:
			continue
		case first > 0:
			free += first
			better = rand.IntN(free) < first
		default:
			better = preferred(capacity, bestCapacity, id, bestID)
		}
		if better {
			bestID, bestCapacity, bestWait, bestCost = id, capacity, wait, cost
		}
	}
	return bestID, bestCapacity, bestWait
}

// freeFirst returns the slots in which the next tasks start: the free ones on workers that are not slow, or those on slow
// workers if there are no others.
func (v *CapacityView) freeFirst(c *BackendCapacity) (slots int, slow bool) {
	if !v.avoidSlow {
		return c.Free, false
	}
	if fast := c.Free - c.SlowFree; fast > 0 {
		return fast, false
	}
	return c.Free, c.Free > 0
}

// preferred breaks ties between full owners by their size, so that owners of equal cost get queues in proportion to it.
func preferred(a, b *BackendCapacity, aID, bID string) bool {
	if a.Slots != b.Slots {
		return a.Slots > b.Slots
	}
	return aID < bID
}

// orderCost returns what an order to an owner costs beside the wait there. v.mu is held.
func (v *CapacityView) orderCost(id string, o *ownerState, c *BackendCapacity) time.Duration {
	cost := v.messageCost(id, o)
	if _, slow := v.freeFirst(c); slow {
		cost += slowWorkerCost
	}
	return cost
}

func (v *CapacityView) messageCost(id string, o *ownerState) time.Duration {
	switch {
	case id == v.self:
		return 0
	case o.domain == v.domain:
		return sameDomainCost
	default:
		return otherDomainCost
	}
}
