package pool

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/metric"
)

// maxConfirmedAge is how old the last reply of a worker may be for a start that depends on the worker's incarnation to be
// sent without another poll. A round trip takes 3 to 6 ms.
const maxConfirmedAge = 20 * time.Millisecond

// needsConfirmation reports whether a worker has to be polled before a start. It may have restarted since its last reply, and a
// restart that breaks no connection is noticed only by the next poll. The new incarnation may be of another kind than a label
// requires. It grants the longest lease, since the end of the lease in the start is a time on the clock of the earlier one: only
// a run that was refreshed a short time ago may live that long.
func (p *Pool) needsConfirmation(s startEffect) bool {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.o.LateStarts.Has(s.run.order.Key) {
		// A later incarnation may run an earlier run of the task.
		return true
	}
	if now.Sub(s.host.host.Contacted()) <= maxConfirmedAge {
		return false
	}
	return s.run.order.RequiredLabel != "" || now.Add(p.o.Lease).After(s.run.refreshedAt.Add(leaseAfterRefresh))
}

// confirmIncarnation reports whether a start may be sent: the worker is still owned under the token for which the start was
// decided, so that no later incarnation is known, has not been evacuated, and has replied to a poll if the start needs it.
// Otherwise the run is queued again.
func (p *Pool) confirmIncarnation(s startEffect) bool {
	answered := true
	if p.needsConfirmation(s) {
		p.counter(metric.PoolStartsConfirmed).Inc(1)
		answered = p.pollBeforeStart(s)
	}
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	r, h := s.run, s.host
	held := r.state == runStarting && r.host == h
	// The poll may have shown an earlier run of the task, whose start was executed late.
	alone := p.onWorkers[r.order.Key.Task()] <= 1
	confirmed := held && answered && alone && h.host.Token == s.token && !h.host.Evacuated &&
		h.host.CanHold(r.order.Need, r.order.RequiredLabel)
	if held && !confirmed {
		p.o.Logger.Info("worker was not confirmed to be the incarnation of its entry, is evacuated or runs an earlier start; start not sent",
			"task", r.order.Key.String(), "worker", h.address.Worker, "label", r.order.RequiredLabel, "evacuated", h.host.Evacuated,
			"decided_for", s.workerStart, "born", h.host.StartTime)
		p.requeue(r, &fx)
		p.match(now, &fx)
	}
	p.mu.Unlock()
	p.apply(fx)
	return confirmed
}

// pollBeforeStart polls the worker of a start, and reports whether the worker has answered this poll: an answer to another
// call that arrives meanwhile may be older. Several starts may wait for a worker that is silent at once, so a missing
// reply only makes the worker suspect: the polls that maintain it decide on its suspension.
func (p *Pool) pollBeforeStart(s startEffect) bool {
	h := s.host
	p.mu.Lock()
	poll := h.pollWithoutLease()
	p.mu.Unlock()
	if poll.Token != s.token {
		return false
	}
	sent := p.o.Now()
	ctx, cancel := context.WithTimeout(p.ctx, startTimeout)
	reply, err := p.o.Calls.Poll(ctx, h.address, poll)
	cancel()
	if err == nil {
		return p.handlePollReply(h, poll.Token, sent, reply, nil)
	}
	p.o.Calls.CloseIdleConnections(h.address)
	p.mu.Lock()
	h.host.MarkSuspectUntil(p.o.Now().Add(suspectTime))
	p.mu.Unlock()
	p.o.Logger.Warn("worker did not answer a poll before a start", "worker", h.address.Worker, "error", err)
	return false
}
