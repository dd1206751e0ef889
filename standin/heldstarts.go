package standin

import (
	"slices"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
)

// heldStarts are starts that are under way to a worker for as long as a test wants, also beyond its restart. The mutex of
// the worker guards it.
type heldStarts struct {
	// everyNth holds every nth start; zero holds none.
	everyNth int
	calls    int
	// notify is called for each start that is held; it may be nil.
	notify func(contract.RunKey)
	starts []link.HostStart
}

// SetHoldingStarts makes every nth start get no answer and stay under way until DeliverHeld is called. An n of 0 ends this;
// what is held stays under way.
func (h *RunHost) SetHoldingStarts(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.everyNth, h.held.calls = n, 0
}

// NotifyHeld makes f be called for each start that is held, with the worker's mutex held.
func (h *RunHost) NotifyHeld(f func(contract.RunKey)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.notify = f
}

// holds reports whether a start is held.
func (h *RunHost) holds(s link.HostStart) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down || h.held.everyNth == 0 {
		return false
	}
	h.held.calls++
	if h.held.calls%h.held.everyNth != 0 {
		return false
	}
	h.held.starts = append(h.held.starts, s)
	if h.held.notify != nil {
		h.held.notify(s.Key)
	}
	return true
}

// Held returns the starts that are held.
func (h *RunHost) Held() []link.HostStart {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.held.starts)
}

// DeliverHeld executes the held starts on the present incarnation of the worker, whichever they were sent to, and returns
// how many of them have begun a run. They are lost if the worker is down.
func (h *RunHost) DeliverHeld() int {
	starts, begun := h.DiscardHeld(), 0
	if h.isDown() {
		return 0
	}
	for _, s := range starts {
		if verdict, _ := h.start(s); verdict == link.StartAccepted {
			begun++
		}
	}
	return begun
}

// DiscardHeld loses the held starts, and returns them.
func (h *RunHost) DiscardHeld() []link.HostStart {
	h.mu.Lock()
	defer h.mu.Unlock()
	starts := h.held.starts
	h.held.starts = nil
	return starts
}
