package zone

import (
	"math"
	"time"
)

// priorityShare is the share of the workers that a priority gets relative to the next higher one while both have work waiting.
const priorityShare = 0.5

// Backlog is the free capacity and the waiting work of all owners of a back end, by their last reports.
type Backlog struct {
	Free    int
	Slots   int
	Waiting [Priorities]time.Duration
	// least is the least waiting work for a slot of any owner, by priority.
	least [Priorities]time.Duration
}

// Backlog returns the free capacity and the waiting work of all owners of a back end that are not leaving.
func (v *CapacityView) Backlog(backend string) Backlog {
	v.mu.Lock()
	defer v.mu.Unlock()
	var b Backlog
	for _, o := range v.owners {
		if c := o.capacities[backend]; c != nil && !o.leaving && c.Slots > 0 {
			b.add(c)
		}
	}
	return b
}

func (b *Backlog) add(c *BackendCapacity) {
	for p, w := range c.Waiting {
		wait := w / time.Duration(c.Slots)
		if b.Slots == 0 || wait < b.least[p] {
			b.least[p] = wait
		}
		b.Waiting[p] += w
	}
	b.Free += c.Free
	b.Slots += c.Slots
}

// Total returns the waiting work of all priorities.
func (b Backlog) Total() time.Duration {
	sum := time.Duration(0)
	for _, w := range b.Waiting {
		sum += w
	}
	return sum
}

// Full reports whether work waits and no owner has free capacity.
func (b Backlog) Full() bool { return b.Slots > 0 && b.Free == 0 && b.Total() > 0 }

// LeastWait returns how long a task of a priority waits at the owner with the shortest queue in the best case: no task of another
// priority starts there before it.
func (b Backlog) LeastWait(priority int) time.Duration {
	if b.Free > 0 {
		return 0
	}
	return b.least[clampPriority(priority)]
}

// Drain returns the time after which the waiting work of a priority is expected to have started, if the priorities with waiting work
// share the workers by their weights and no work is added.
func (b Backlog) Drain(priority int) time.Duration {
	p := clampPriority(priority)
	if b.Slots == 0 || b.Waiting[p] == 0 {
		return 0
	}
	total := 0.0
	for q, w := range b.Waiting {
		if w > 0 {
			total += weight(q)
		}
	}
	slots := float64(b.Slots) * weight(p) / total
	// All work together takes this long, whatever its order, and nothing waits longer than that.
	longest := b.Total() / time.Duration(b.Slots)
	return min(time.Duration(float64(b.Waiting[p])/slots), longest)
}

func weight(priority int) float64 { return math.Pow(priorityShare, float64(priority)) }

func clampPriority(priority int) int { return min(max(priority, 0), Priorities-1) }
