package standin

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/fault"
)

// SetDelay makes the worker execute starts and stops only after a delay, and leave all calls unanswered. Zero ends this
// fault.
func (h *RunHost) SetDelay(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = d
}

// SetDelayEveryNth applies the fault of SetDelay to every nth call only. An n of 0 ends it.
func (h *RunHost) SetDelayEveryNth(n int, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delayEveryNth, h.nthDelay = n, delay
}

// SetLosingReplies makes the worker execute starts without replying, or ends that fault.
func (h *RunHost) SetLosingReplies(loses bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.losesReplies = loses
}

func (h *RunHost) isLosingReplies() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.losesReplies
}

// SetRejecting makes the worker reject all starts as unhealthy, or ends that fault.
func (h *RunHost) SetRejecting(rejects bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejects = rejects
}

// SetRefusing makes the worker refuse connections, or ends that fault. Its runs go on.
func (h *RunHost) SetRefusing(refuses bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuses = refuses
	h.notify()
}

// connectionError returns the error of a call to a worker that refuses connections.
func (h *RunHost) connectionError() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuses {
		return fault.NotListening.New("worker %s refuses connections", h.id)
	}
	return nil
}

// awaitTimeout waits until the caller gives up and returns the error of an unanswered call.
func (h *RunHost) awaitTimeout(ctx context.Context) error {
	<-ctx.Done()
	return fault.InDoubt.New("worker %s does not answer", h.id)
}

// deliver reports whether a call is executed now. Otherwise the worker is down, or a fault delays its calls: execute
// then runs after the delay, unless it is nil.
func (h *RunHost) deliver(execute func()) bool {
	h.mu.Lock()
	down, delay := h.down, h.delay
	if h.calls++; h.delayEveryNth > 0 && h.calls%h.delayEveryNth == 0 {
		delay = h.nthDelay
	}
	h.mu.Unlock()
	if down {
		return false
	}
	if delay > 0 {
		if execute != nil {
			time.AfterFunc(delay, func() {
				if !h.isDown() {
					execute()
				}
			})
		}
		return false
	}
	return true
}
