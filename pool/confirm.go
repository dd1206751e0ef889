package pool

import (
	"context"
	"time"
)

// maxConfirmedAge is how old the last reply of a worker may be for a task that requires a label to start there without
// another poll. A round trip takes 3 to 6 ms.
const maxConfirmedAge = 20 * time.Millisecond

// confirmIncarnation polls a worker before the start of a task that requires a label, unless it has just replied: a worker
// that has restarted since its last reply may be of another kind, and an idle one is polled only twice a second. It reports
// whether the start may be sent; otherwise the run is queued again.
func (p *Pool) confirmIncarnation(s startEffect) bool {
	if s.run.order.RequiredLabel == "" || p.recentlyReplied(s.host) {
		return true
	}
	p.mu.Lock()
	poll := s.host.pollWithoutLease()
	p.mu.Unlock()
	sent := p.o.Now()
	if poll.Token == s.token {
		ctx, cancel := context.WithTimeout(p.ctx, startTimeout)
		reply, err := p.o.Calls.Poll(ctx, s.host.address, poll)
		cancel()
		p.handlePollReply(s.host, poll.Token, sent, reply, err)
	}
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	r, h := s.run, s.host
	held := r.state == runStarting && r.host == h
	confirmed := held && h.host.Token == s.token && !h.host.Contacted().Before(sent) &&
		h.host.CanHold(r.order.Need, r.order.RequiredLabel)
	if held && !confirmed {
		p.o.Logger.Info("worker was not confirmed to be the incarnation of its entry; start not sent",
			"task", r.order.Key.String(), "worker", h.address.Worker, "label", r.order.RequiredLabel,
			"decided_for", s.workerStart, "born", h.host.StartTime)
		p.requeue(r, &fx)
		p.match(now, &fx)
	}
	p.mu.Unlock()
	p.apply(fx)
	return confirmed
}

// recentlyReplied reports whether a worker has replied within maxConfirmedAge.
func (p *Pool) recentlyReplied(h *ownedHost) bool {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(h.host.Contacted()) <= maxConfirmedAge
}
