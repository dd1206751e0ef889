package standin

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
)

// LateOrders says which starts and stops a worker leaves without an answer, and after which delays it executes them. The lease
// of such a start is as long as it was when it was sent, counted from its execution. Polls are answered.
type LateOrders struct {
	StartDelay time.Duration
	StopDelay  time.Duration
	// Of selects the runs whose starts and stops are late; nil selects all.
	Of func(contract.RunKey) bool
}

// lateOrders is the present fault, and the orders that have become late by it. The mutex of the worker guards it.
type lateOrders struct {
	// fault is nil while no orders are late.
	fault *LateOrders
	// delayed counts the starts and stops that were left without an answer, begun the late starts that have begun a run.
	delayed, begun int
}

// SetLateOrders begins the fault, or changes it for the orders from now on.
func (h *RunHost) SetLateOrders(o LateOrders) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late.fault = &o
}

// EndLateOrders ends the fault. The orders that are late stay so.
func (h *RunHost) EndLateOrders() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late.fault = nil
}

// LateOrderCounts returns how many starts and stops were left without an answer, and how many of the starts have begun a run.
func (h *RunHost) LateOrderCounts() (delayed, begun int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.late.delayed, h.late.begun
}

// delaysStart reports whether a start is late, and lets it be executed after its delay.
func (h *RunHost) delaysStart(s link.HostStart) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isLate(s.Key) {
		return false
	}
	lease := s.LeaseEnd - h.clock()
	time.AfterFunc(h.late.fault.StartDelay, func() { h.startLate(s, lease) })
	return true
}

// startLate executes a late start whose lease has a given length.
func (h *RunHost) startLate(s link.HostStart, lease time.Duration) {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	_, running := h.running[s.Key]
	s.LeaseEnd = h.clock() + lease
	h.mu.Unlock()
	verdict, _ := h.start(s)
	if verdict != link.StartAccepted || running {
		return
	}
	h.mu.Lock()
	h.late.begun++
	h.mu.Unlock()
}

// delaysStop reports whether a stop is late, and lets it be executed after its delay.
func (h *RunHost) delaysStop(key contract.RunKey, token uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isLate(key) {
		return false
	}
	time.AfterFunc(h.late.fault.StopDelay, func() {
		if !h.isDown() {
			h.stop(key, token)
		}
	})
	return true
}

// isLate reports whether an order of a run is late, and counts it. h.mu must be held.
func (h *RunHost) isLate(key contract.RunKey) bool {
	o := h.late.fault
	if o == nil || h.down || (o.Of != nil && !o.Of(key)) {
		return false
	}
	h.late.delayed++
	return true
}
