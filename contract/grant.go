package contract

import (
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// Slot is the right to run one task at a time on a worker, leased by the worker's slot allocator for a limited time.
type Slot struct {
	Worker machine.WorkerID
	// Epoch is the allocator's incarnation.
	Epoch uint64
	Long  bool
	// Expires is the end of the grant on the holder's clock. Renewals extend it.
	Expires time.Time
	// IdleSince is the time at which the slot became idle.
	IdleSince time.Time
	// Used is set by the first start; the grant of a slot that is returned unused was a wasted message.
	Used bool
}

// SlotGrant is a number of slots on one worker.
type SlotGrant struct {
	Service string
	Worker  machine.WorkerID
	Short   int
	Long    int
	Epoch   uint64
	TTL     time.Duration
}

// SlotReturn returns slots of one worker to its allocator.
type SlotReturn struct {
	Service string
	Worker  machine.WorkerID
	Short   int
	Long    int
	// Unused counts slots on which no task was started.
	Unused int
	// Rejected means that the worker had no free slot, because more slots were granted than it has, or that the worker
	// is leaving. The allocator then withholds the slots.
	Rejected bool
}

// SlotDemand replaces the previous demand of a service scheduler. Version orders the demands of a scheduler.
type SlotDemand struct {
	Service   string
	Version   uint64
	Short     int
	Long      int
	ShortWait time.Duration
	LongWait  time.Duration
}

// HeldSlots is the number of slots that this VM holds of one worker.
type HeldSlots struct {
	Worker machine.WorkerID
	Short  int
	Long   int
}

// Holdings are the slots that this VM holds for one service. Idle slots are indexed by class and by the speed of
// their worker, so that the cost of a choice does not depend on the number of workers. The caller's lock guards them.
type Holdings struct {
	idle    [2]slotBuckets
	workers map[machine.WorkerID]*heldWorker
	idleSum int
	sum     int
}

type heldWorker struct {
	HeldSlots
	speed float64
	// renewed is the expiry set by the last renewal.
	renewed time.Time
}

// Add adds a granted slot to the holdings.
func (h *Holdings) Add(s Slot, speed float64) {
	if h.workers == nil {
		h.workers = make(map[machine.WorkerID]*heldWorker)
	}
	w, ok := h.workers[s.Worker]
	if !ok {
		w = &heldWorker{HeldSlots: HeldSlots{Worker: s.Worker}}
		h.workers[s.Worker] = w
	}
	w.speed = speed
	w.add(s.Long, 1)
	h.sum++
	h.makeIdle(s, w)
}

func (w *heldWorker) add(long bool, n int) {
	if long {
		w.Long += n
	} else {
		w.Short += n
	}
}

func (h *Holdings) makeIdle(s Slot, w *heldWorker) {
	h.idle[classIndex(s.Long)].push(s, w.speed)
	h.idleSum++
}

func classIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// Idle returns the number of idle slots.
func (h *Holdings) Idle() int { return h.idleSum }

// IdleLong returns the number of idle slots that may serve long work.
func (h *Holdings) IdleLong() int { return h.idle[1].length }

// Busy returns the number of slots in use.
func (h *Holdings) Busy() int { return h.sum - h.idleSum }

// TakeShort takes the idle slot on the fastest worker into use. At equal speed it prefers short slots and leaves
// those for long work.
func (h *Holdings) TakeShort() (Slot, bool) {
	b := &h.idle[0]
	if h.idle[1].fastest() > b.fastest() {
		b = &h.idle[1]
	}
	return h.take(b, b.fastest())
}

// TakeLong takes the idle slot for long work on the slowest worker into use.
func (h *Holdings) TakeLong() (Slot, bool) {
	b := &h.idle[1]
	return h.take(b, b.slowest())
}

func (h *Holdings) take(b *slotBuckets, bucket int) (Slot, bool) {
	if bucket < 0 {
		return Slot{}, false
	}
	s := b.pop(bucket)
	h.idleSum--
	s.Used = true
	return s, true
}

// Release makes a slot idle again when its task has ended.
func (h *Holdings) Release(s Slot, speed float64, now time.Time) {
	w, ok := h.workers[s.Worker]
	if !ok {
		return
	}
	w.speed = speed
	s.IdleSince = now
	h.makeIdle(s, w)
}

// Expires returns the expiry of a slot's grant.
func (h *Holdings) Expires(s Slot) time.Time {
	if w, ok := h.workers[s.Worker]; ok && w.renewed.After(s.Expires) {
		return w.renewed
	}
	return s.Expires
}

// Drop removes a slot that is not idle: one in use, or one that was already taken from the idle slots.
func (h *Holdings) Drop(s Slot) {
	w, ok := h.workers[s.Worker]
	if !ok {
		return
	}
	w.add(s.Long, -1)
	h.sum--
	if w.Short+w.Long == 0 {
		delete(h.workers, s.Worker)
	}
}

// DropIdle removes and returns the idle slots for which drop returns true.
func (h *Holdings) DropIdle(drop func(Slot) bool) []Slot {
	var dropped []Slot
	for i := range h.idle {
		dropped = h.idle[i].remove(dropped, drop)
	}
	h.idleSum -= len(dropped)
	for _, s := range dropped {
		h.Drop(s)
	}
	return dropped
}

// Renew extends the grants of the workers for which renewed returns true.
func (h *Holdings) Renew(until time.Time, renewed func(machine.WorkerID) bool) {
	for id, w := range h.workers {
		if renewed(id) {
			w.renewed = until
		}
	}
}

// Held returns the slots held of each worker.
func (h *Holdings) Held() []HeldSlots {
	held := make([]HeldSlots, 0, len(h.workers))
	for _, w := range h.workers {
		held = append(held, w.HeldSlots)
	}
	return held
}

// Consistent reports whether the counts per worker match the sums.
func (h *Holdings) Consistent() bool {
	sum := 0
	for _, w := range h.workers {
		if w.Short < 0 || w.Long < 0 {
			return false
		}
		sum += w.Short + w.Long
	}
	return sum == h.sum && h.idleSum == h.idle[0].length+h.idle[1].length && h.idleSum <= h.sum
}
