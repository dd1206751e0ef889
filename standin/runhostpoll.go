package standin

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
)

// Poll extends the lease and lists the runs. It waits up to c.Wait for a run to end if it has no ended run to report.
func (h *RunHost) Poll(ctx context.Context, c link.HostPoll) (link.PollReply, error) {
	if err := h.connectionError(); err != nil {
		return link.PollReply{}, err
	}
	if h.isReplaced() {
		return link.PollReply{HostReply: link.HostReply{OtherWorker: true}}, nil
	}
	if !h.deliver(nil) {
		return link.PollReply{}, h.awaitTimeout(ctx)
	}
	h.mu.Lock()
	h.expire()
	if !h.admit(c.Token) {
		defer h.mu.Unlock()
		// As on the platform, the answer to a fenced call contains the clock but not the start time.
		return link.PollReply{HostReply: link.HostReply{Clock: h.reply().Clock, Fenced: true}}, nil
	}
	if c.LeaseEnd > 0 {
		h.extend(c.LeaseEnd)
	}
	for len(h.endedRuns) > 0 && h.endedRuns[0].Number <= c.LastOutcome {
		h.endedRuns = h.endedRuns[1:]
	}
	if len(h.endedRuns) == 0 && c.Wait > 0 {
		if err := h.awaitChange(ctx, c.Wait); err != nil {
			return link.PollReply{}, err
		}
	}
	defer h.mu.Unlock()
	return h.list(), nil
}

// awaitChange waits for the end of a run, for a time at most. A worker that crashes meanwhile does not reply any more; its
// connections are closed once it refuses new ones. awaitChange expects h.mu to be held, and holds it again unless it returns
// an error.
func (h *RunHost) awaitChange(ctx context.Context, wait time.Duration) error {
	incarnation := h.incarnation
	over := time.After(wait)
	for {
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			over = nil
		case <-ctx.Done():
			return fault.InDoubt.New("caller of worker %s stopped waiting", h.id)
		}
		h.mu.Lock()
		switch {
		case h.incarnation == incarnation && (over == nil || len(h.endedRuns) > 0):
			h.expire()
			return nil
		case h.incarnation != incarnation && h.refuses:
			h.mu.Unlock()
			return fault.InDoubt.New("worker %s has closed the connection", h.id)
		}
	}
}

// list returns the running and ended runs. h.mu must be held.
func (h *RunHost) list() link.PollReply {
	out := link.PollReply{HostReply: h.reply()}
	for _, r := range h.running {
		progress := 0
		if !r.plan.Stalls && r.plan.Duration > 0 {
			progress = int(100 * time.Since(r.started) / r.plan.Duration)
		}
		out.Running = append(out.Running, link.RunningRun{Key: r.key, Progress: progress})
	}
	out.Ended = append(out.Ended, h.endedRuns[:min(len(h.endedRuns), maxEndedListed)]...)
	return out
}
