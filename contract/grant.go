package contract

import (
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// Slot is the right to run one task at a time on a worker, granted by the worker's granter for a limited time.
type Slot struct {
	Worker  machine.WorkerID
	Granter string
	Epoch   uint64
	Long    bool
	// Expires is the end of the grant on the holder's clock, counted from before the grant was asked for.
	Expires time.Time
	// Used is set by the first start; a slot returned without one is a wasted message.
	Used bool
}

// SlotGrant is a number of slots on one worker.
type SlotGrant struct {
	Service string
	Worker  machine.WorkerID
	Granter string
	Slots   int
	Epoch   uint64
	Long    bool
	TTL     time.Duration
}

// SlotReturn gives slots back to their granter.
type SlotReturn struct {
	Service string
	Worker  machine.WorkerID
	Granter string
	Slots   int
	Epoch   uint64
	Long    bool
	Unused  int
}

// SlotDemand replaces the demand that a member stated before.
type SlotDemand struct {
	Service    string
	Short      int
	Long       int
	OldestWait time.Duration
}

// Holdings are the slots that this VM holds for one service. The caller's lock guards them.
type Holdings struct {
	idle []Slot
	busy int
}

// Add puts an idle slot into the holdings.
func (h *Holdings) Add(s Slot) { h.idle = append(h.idle, s) }

// Idle returns the number of idle slots.
func (h *Holdings) Idle() int { return len(h.idle) }

// Busy returns the number of slots in use.
func (h *Holdings) Busy() int { return h.busy }

// TakeBest removes the idle slot that fits the class and has the highest score.
func (h *Holdings) TakeBest(long bool, score func(machine.WorkerID) float64) (Slot, bool) {
	best := -1
	bestScore := 0.0
	for i, s := range h.idle {
		if long && !s.Long {
			continue
		}
		v := score(s.Worker)
		if best < 0 || v > bestScore {
			best, bestScore = i, v
		}
	}
	if best < 0 {
		return Slot{}, false
	}
	s := h.idle[best]
	h.idle = append(h.idle[:best], h.idle[best+1:]...)
	h.busy++
	s.Used = true
	return s, true
}

// Release ends the use of a slot without making it idle.
func (h *Holdings) Release() { h.busy-- }

// TakeIdle removes and returns the idle slots for which drop returns true.
func (h *Holdings) TakeIdle(drop func(Slot) bool) []Slot {
	var dropped []Slot
	kept := h.idle[:0]
	for _, s := range h.idle {
		if drop(s) {
			dropped = append(dropped, s)
		} else {
			kept = append(kept, s)
		}
	}
	h.idle = kept
	return dropped
}

// HasLong reports whether an idle slot may serve long work.
func (h *Holdings) HasLong() bool {
	for _, s := range h.idle {
		if s.Long {
			return true
		}
	}
	return false
}
