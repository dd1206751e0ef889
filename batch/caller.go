package batch

import (
	"context"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// lookAge is the age of the last look at the callers of a job up to which no new one is made. Messages about the runs echo no contact
// later than that look, so a greater age would make them older by as much.
const lookAge = 50 * time.Millisecond

// Caller is a client that waits for the answer to a job.
type Caller interface {
	// Gone reports whether the client has left, as far as this VM can tell without waiting for messages or for other goroutines. Once
	// true it stays true. The home calls it with the lock of a shard held.
	Gone() bool
}

// waiter is a submission that waits for the answer to a job.
type waiter struct {
	// caller is nil if there is no way to look at it.
	caller Caller
	answer chan Answer
}

// gone reports whether the caller is known to have left.
func (w *waiter) gone() bool { return w.caller != nil && w.caller.Gone() }

// Submit accepts a job, or joins the one that is known under its id, and waits for its answer. When ctx ends, the
// caller has disconnected; a job without any waiting caller ends. It starts anew for the next caller, which waits until the
// runs of the earlier one are over.
func (h *Home) Submit(ctx context.Context, b contract.Batch) Answer { return h.SubmitFrom(ctx, nil, b) }

// SubmitFrom is Submit for a caller that the home can look at itself. The end of ctx may come late on a slow VM, so the home extends the
// runs of a job only as far as it has looked at its callers.
func (h *Home) SubmitFrom(ctx context.Context, c Caller, b contract.Batch) Answer {
	for {
		w := &waiter{caller: c, answer: make(chan Answer, 1)}
		answer := h.submit(ctx, w, b)
		if answer.Outcome != CallerLeft || ctx.Err() != nil || w.gone() {
			return answer
		}
	}
}

// submit makes one attempt of SubmitFrom.
func (h *Home) submit(ctx context.Context, w *waiter, b contract.Batch) Answer {
	out := h.newOutbox()
	answer, ended := h.join(b, w, h.o.Now(), out)
	out.send()
	if ended {
		return answer
	}
	select {
	case answer := <-w.answer:
		return answer
	case <-ctx.Done():
		return h.callerLeft(b.ID, w)
	case <-h.done:
		return Answer{Outcome: Abandoned, Reason: "the process ends"}
	}
}

// callerLeft removes a caller that has disconnected, and ends the job if it was the last one.
func (h *Home) callerLeft(id string, w *waiter) Answer {
	now := h.o.Now()
	out := h.newOutbox()
	s := h.shard(id)
	s.mu.Lock()
	j, ok := s.jobs[id]
	if ok {
		if i := slices.Index(j.waiters, w); i >= 0 {
			j.waiters = slices.Delete(j.waiters, i, i+1)
		}
		if len(j.waiters) == 0 && j.state == jobActive {
			h.endJob(j, CallerLeft, "caller left", now, out)
			h.advance(j, now, out)
		}
	}
	s.mu.Unlock()
	out.send()
	select {
	case answer := <-w.answer:
		return answer
	default:
		return Answer{Outcome: CallerLeft, Reason: "caller left"}
	}
}

// checkCallers looks at the callers of a job unless that was done a short time ago, and ends the job if all have left. now was read
// before the look, so that a contact which arrived by then is no later than the last caller that is there. It reports whether the job
// still has a caller. The lock of the job's shard is held.
func (h *Home) checkCallers(j *job, now time.Time, out *outbox) bool {
	if j.state != jobActive || now.Sub(j.seenAt) <= lookAge {
		return j.state == jobActive
	}
	for len(j.waiters) > 0 && h.isGone(j.waiters[0]) {
		j.waiters[0].answer <- Answer{Outcome: CallerLeft, Reason: "caller left"}
		j.waiters = j.waiters[1:]
	}
	if len(j.waiters) > 0 {
		j.seenAt = now
		return true
	}
	h.counter(metric.BatchCallersGone).Inc(1)
	h.o.Logger.Info("all callers of a job have left; ending its runs", "job", j.batch.ID, "seen_ago", now.Sub(j.seenAt))
	h.endJob(j, CallerLeft, "caller left", now, out)
	return false
}

// isGone looks at the caller of a submission.
func (h *Home) isGone(w *waiter) bool {
	if w.caller == nil {
		return false
	}
	h.counter(metric.BatchCallerLooks).Inc(1)
	return w.gone()
}
