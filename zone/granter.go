package zone

import (
	"sort"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

const (
	// GrantTTL is the time within which a holder must start a task on a granted slot or report it.
	GrantTTL = 3 * time.Second
	// longShare is the largest share of a worker's slots that long work may hold.
	longShare = 0.4
)

// Allocation gives slots of one worker to a member.
type Allocation struct {
	Member string
	Worker machine.WorkerID
	Slots  int
	Epoch  uint64
	Long   bool
}

// Granter allocates the slots of the workers of one service for which this VM is the granter. Its mutex guards
// all fields.
type Granter struct {
	mu      sync.Mutex
	workers map[machine.WorkerID]*grantedWorker
	demands map[string]*demand
	epoch   uint64
}

type grantedWorker struct {
	id       machine.WorkerID
	slots    int
	speed    float64
	closed   bool
	held     map[string]heldSlots
	heldSum  int
	heldLong int
}

type heldSlots struct {
	short, long int
	renewed     time.Time
}

type demand struct {
	short, long int
	since       time.Time
}

// NewGranter returns a granter without workers. The epoch distinguishes it from the granters before it.
func NewGranter(epoch uint64) *Granter {
	return &Granter{
		workers: make(map[machine.WorkerID]*grantedWorker),
		demands: make(map[string]*demand),
		epoch:   epoch,
	}
}

// SetWorker adds a worker or updates it. Closed workers get no new work.
func (g *Granter) SetWorker(id machine.WorkerID, slots int, speed float64, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.workers[id]
	if !ok {
		w = &grantedWorker{id: id, held: make(map[string]heldSlots)}
		g.workers[id] = w
	}
	w.slots, w.speed, w.closed = slots, speed, closed
}

// Retain drops the workers for which keep returns false.
func (g *Granter) Retain(keep func(machine.WorkerID) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.workers {
		if !keep(id) {
			delete(g.workers, id)
		}
	}
}

// Demand replaces a member's demand and returns the allocations that it allows.
func (g *Granter) Demand(member string, short, long int, oldestWait time.Duration, now time.Time) []Allocation {
	g.mu.Lock()
	defer g.mu.Unlock()
	if short+long == 0 {
		delete(g.demands, member)
		return nil
	}
	g.demands[member] = &demand{short: short, long: long, since: now.Add(-oldestWait)}
	return g.allocate(now)
}

// Return takes slots back and returns the allocations that they allow.
func (g *Granter) Return(member string, worker machine.WorkerID, slots int, long bool, now time.Time) []Allocation {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.workers[worker]
	if !ok {
		return nil
	}
	w.release(member, slots, long)
	return g.allocate(now)
}

// MemberGone takes back everything that a member held.
func (g *Granter) MemberGone(member string, now time.Time) []Allocation {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.demands, member)
	for _, w := range g.workers {
		h := w.held[member]
		w.release(member, h.short, false)
		w.release(member, h.long, true)
	}
	return g.allocate(now)
}

// Free returns the number of slots that are not held.
func (g *Granter) Free() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, w := range g.workers {
		n += w.free()
	}
	return n
}

// allocate gives free slots to the members that have waited longest. It expects g.mu to be held.
func (g *Granter) allocate(now time.Time) []Allocation {
	var out []Allocation
	for {
		member, d := g.longestWaiting()
		if d == nil {
			return merge(out)
		}
		long := d.short == 0
		w := g.bestWorker(long)
		if w == nil && long {
			// Only long work waits here; a slot below the cap has to come back first.
			return merge(out)
		}
		if w == nil {
			return merge(out)
		}
		d.take(long)
		if d.short+d.long == 0 {
			delete(g.demands, member)
		}
		w.hold(member, long, now)
		out = append(out, Allocation{Member: member, Worker: w.id, Slots: 1, Epoch: g.epoch, Long: long})
	}
}

// longestWaiting expects g.mu to be held. Members with short tasks come first.
func (g *Granter) longestWaiting() (string, *demand) {
	var best *demand
	var member string
	for m, d := range g.demands {
		if best == nil || d.precedes(best) || (!best.precedes(d) && m < member) {
			best, member = d, m
		}
	}
	return member, best
}

func (d *demand) precedes(o *demand) bool {
	if (d.short > 0) != (o.short > 0) {
		return d.short > 0
	}
	return d.since.Before(o.since)
}

func (d *demand) take(long bool) {
	if long {
		d.long--
	} else {
		d.short--
	}
}

// bestWorker returns the fastest worker with a free slot for the class. It expects g.mu to be held.
func (g *Granter) bestWorker(long bool) *grantedWorker {
	var best *grantedWorker
	for _, w := range g.workers {
		if w.free() <= 0 || (long && !w.allowsLong()) {
			continue
		}
		if best == nil || w.speed > best.speed || (w.speed == best.speed && w.id < best.id) {
			best = w
		}
	}
	return best
}

func (w *grantedWorker) free() int {
	if w.closed {
		return 0
	}
	return w.slots - w.heldSum
}

func (w *grantedWorker) allowsLong() bool {
	return float64(w.heldLong+1) <= max(1, longShare*float64(w.slots))
}

func (w *grantedWorker) hold(member string, long bool, now time.Time) {
	h := w.held[member]
	if long {
		h.long++
		w.heldLong++
	} else {
		h.short++
	}
	h.renewed = now
	w.heldSum++
	w.held[member] = h
}

func (w *grantedWorker) release(member string, n int, long bool) {
	h := w.held[member]
	if long {
		n = min(n, h.long)
		h.long -= n
		w.heldLong -= n
	} else {
		n = min(n, h.short)
		h.short -= n
	}
	w.heldSum -= n
	if h.short+h.long == 0 {
		delete(w.held, member)
		return
	}
	w.held[member] = h
}

// merge joins allocations of the same worker, member and class.
func merge(in []Allocation) []Allocation {
	sort.SliceStable(in, func(i, j int) bool {
		if in[i].Member != in[j].Member {
			return in[i].Member < in[j].Member
		}
		if in[i].Worker != in[j].Worker {
			return in[i].Worker < in[j].Worker
		}
		return !in[i].Long && in[j].Long
	})
	var out []Allocation
	for _, a := range in {
		if n := len(out); n > 0 && out[n-1].Member == a.Member && out[n-1].Worker == a.Worker && out[n-1].Long == a.Long {
			out[n-1].Slots += a.Slots
			continue
		}
		out = append(out, a)
	}
	return out
}
