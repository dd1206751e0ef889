package zone

import (
	"container/heap"
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// selfPreference is added to the wait of the VM's own tasks when members are compared, because a grant to the VM itself
// needs no message.
const selfPreference = 5 * time.Millisecond

type slotClass uint8

const (
	shortClass slotClass = iota
	longClass
)

// grantedWorker is a worker with the slots that each member holds of it.
type grantedWorker struct {
	id     machine.WorkerID
	slots  int
	speed  float64
	closed bool
	// pending is set until the members have reported what they hold.
	pending bool
	// withheld counts slots that the worker refused to serve, which means that another allocator has granted them.
	withheld    int
	withheldAt  time.Time
	held        map[string]heldSlots
	sum         Count
	countedFree int    // the worker's contribution to SlotAllocator.free
	heapIndex   [2]int // the position in the heap of each class, -1 if not in it
}

type heldSlots struct {
	Count
	renewed time.Time
}

func newGrantedWorker(id machine.WorkerID) *grantedWorker {
	return &grantedWorker{id: id, held: make(map[string]heldSlots), heapIndex: [2]int{-1, -1}}
}

func (w *grantedWorker) free() int {
	if w.closed || w.pending {
		return 0
	}
	return max(0, w.slots-w.sum.Sum()-w.withheld)
}

func (w *grantedWorker) allowsLong() bool {
	return w.free() > 0 && float64(w.sum.Long+1) <= max(1, maxLongShare*float64(w.slots))
}

func (w *grantedWorker) withhold(n int, now time.Time) {
	w.withheld = min(w.slots, w.withheld+n)
	w.withheldAt = now
}

// consistent reports whether the sum matches the slots held by the members.
func (w *grantedWorker) consistent() bool {
	var sum Count
	for _, h := range w.held {
		if h.Short < 0 || h.Long < 0 {
			return false
		}
		sum.Short += h.Short
		sum.Long += h.Long
	}
	return sum == w.sum
}

// update restores the heaps and the free count after a change of w. It expects a.mu to be held.
func (a *SlotAllocator) update(w *grantedWorker) {
	free := w.free()
	a.free += free - w.countedFree
	w.countedFree = free
	a.short.set(w, free > 0)
	a.long.set(w, w.allowsLong())
}

// drop removes a worker; closing it first takes it out of the heaps and the free count. It expects a.mu to be held.
func (a *SlotAllocator) drop(w *grantedWorker) {
	w.closed = true
	a.update(w)
	delete(a.workers, w.id)
}

// setHeld replaces the number of slots that a member holds of w; GrantTTL counts from renewed. It expects a.mu to be
// held.
func (a *SlotAllocator) setHeld(w *grantedWorker, member string, c Count, renewed time.Time) {
	old, ok := w.held[member]
	if !ok && c.Sum() == 0 {
		return
	}
	w.sum.Short += c.Short - old.Short
	w.sum.Long += c.Long - old.Long
	if c.Sum() == 0 {
		delete(w.held, member)
	} else {
		w.held[member] = heldSlots{Count: c, renewed: renewed}
	}
	a.update(w)
}

// release takes back at most the slots that the member holds. The slot of a task that was reclassified as long may be
// returned as long before the report of the reclassification. It expects a.mu to be held.
func (a *SlotAllocator) release(w *grantedWorker, member string, c Count) {
	h := w.held[member]
	c.Short += max(0, c.Long-h.Long)
	left := Count{Short: h.Short - min(c.Short, h.Short), Long: h.Long - min(c.Long, h.Long)}
	a.setHeld(w, member, left, h.renewed)
}

// allocate grants free slots to the members whose tasks have waited longest. It expects a.mu to be held.
func (a *SlotAllocator) allocate(now time.Time) []Allocation {
	var out []Allocation
	for a.short.Len() > 0 {
		name, m := a.longestWaiting(shortClass)
		if m == nil {
			break
		}
		m.need.Short--
		out = a.grant(out, a.short.workers[0], name, Count{Short: 1}, now)
	}
	for a.long.Len() > 0 {
		name, m := a.longestWaiting(longClass)
		if m == nil {
			break
		}
		m.need.Long--
		out = a.grant(out, a.long.workers[0], name, Count{Long: 1}, now)
	}
	if len(out) == 0 {
		return nil
	}
	return a.assignNumbers(merge(out), now)
}

// grant expects a.mu to be held.
func (a *SlotAllocator) grant(out []Allocation, w *grantedWorker, name string, c Count, now time.Time) []Allocation {
	h := w.held[name]
	a.setHeld(w, name, Count{Short: h.Short + c.Short, Long: h.Long + c.Long}, now)
	a.check(w.sum.Sum()+w.withheld <= w.slots)
	if c.Long > 0 {
		a.check(float64(w.sum.Long) <= max(1, maxLongShare*float64(w.slots)))
	}
	return append(out, Allocation{Member: name, Worker: w.id, Slots: c, Epoch: a.epoch})
}

// assignNumbers sets the grant number of the allocations of one decision, one number per member. It expects a.mu to
// be held.
func (a *SlotAllocator) assignNumbers(out []Allocation, now time.Time) []Allocation {
	for i := range out {
		grant := &out[i]
		m := a.member(grant.Member)
		if i == 0 || out[i-1].Member != grant.Member {
			m.number++
			if grant.Member == a.self {
				a.undelivered++
			}
		}
		grant.Number = m.number
		if grant.Member != a.self {
			m.unacked = append(m.unacked, unackedGrant{
				number: grant.Number, worker: grant.Worker, slots: grant.Slots, sent: now,
			})
		}
	}
	return out
}

// longestWaiting returns the member whose task of the class has waited longest. It expects a.mu to be held.
func (a *SlotAllocator) longestWaiting(class slotClass) (string, *grantee) {
	var name string
	var best *grantee
	var bestSince time.Time
	for n, m := range a.members {
		wanted, since := m.need.Short, m.shortSince
		if class == longClass {
			wanted, since = m.need.Long, m.longSince
		}
		if wanted <= 0 {
			continue
		}
		if n == a.self {
			since = since.Add(-selfPreference)
		}
		if best == nil || since.Before(bestSince) || (since.Equal(bestSince) && n < name) {
			name, best, bestSince = n, m, since
		}
	}
	return name, best
}

// merge combines allocations of the same member and worker.
func merge(in []Allocation) []Allocation {
	sort.SliceStable(in, func(i, j int) bool {
		if in[i].Member != in[j].Member {
			return in[i].Member < in[j].Member
		}
		return in[i].Worker < in[j].Worker
	})
	out := in[:1]
	for _, a := range in[1:] {
		last := &out[len(out)-1]
		if last.Member == a.Member && last.Worker == a.Worker {
			last.Slots.Short += a.Slots.Short
			last.Slots.Long += a.Slots.Long
			continue
		}
		out = append(out, a)
	}
	return out
}

// workerHeap orders the workers that may grant a slot of a class: the fastest first for short work; the slowest first
// for long work, which leaves the fast workers to short work.
type workerHeap struct {
	class   slotClass
	workers []*grantedWorker
}

// set adds, moves or removes a worker.
func (h *workerHeap) set(w *grantedWorker, eligible bool) {
	at := w.heapIndex[h.class]
	switch {
	case eligible && at < 0:
		heap.Push(h, w)
	case eligible:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

// Len implements heap.Interface.
func (h *workerHeap) Len() int { return len(h.workers) }

// Less implements heap.Interface.
func (h *workerHeap) Less(i, j int) bool {
	a, b := h.workers[i], h.workers[j]
	if a.speed != b.speed {
		return (a.speed > b.speed) == (h.class == shortClass)
	}
	return a.id < b.id
}

// Swap implements heap.Interface.
func (h *workerHeap) Swap(i, j int) {
	h.workers[i], h.workers[j] = h.workers[j], h.workers[i]
	h.workers[i].heapIndex[h.class] = i
	h.workers[j].heapIndex[h.class] = j
}

// Push implements heap.Interface.
func (h *workerHeap) Push(x any) {
	w := x.(*grantedWorker)
	w.heapIndex[h.class] = len(h.workers)
	h.workers = append(h.workers, w)
}

// Pop implements heap.Interface.
func (h *workerHeap) Pop() any {
	n := len(h.workers) - 1
	w := h.workers[n]
	h.workers[n] = nil
	h.workers = h.workers[:n]
	w.heapIndex[h.class] = -1
	return w
}
