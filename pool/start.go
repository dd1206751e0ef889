package pool

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// callTimeout bounds a call that the worker answers at once; a round trip between zones takes 3 to 6 ms, and a lost
	// packet is retransmitted after 200 ms.
	callTimeout = 300 * time.Millisecond
	// startTimeout bounds a start call; see also callTimes. It may be short: if no reply has arrived by then, a poll determines whether the
	// run has started.
	startTimeout = 150 * time.Millisecond
	// startReportDelay is how long a start call may take until the home is told of its worker: if this VM is lost then, the
	// home knows which worker may still execute the start.
	startReportDelay = 10 * time.Millisecond
	// suspectTime is how long a worker gets no tasks after a call without a reply, unless it replies to the next one. A
	// single lost reply says little about the worker: on a lossy network it happens to all workers several times a
	// second.
	suspectTime = 400 * time.Millisecond
	// capacityRetry is how long a worker gets no tasks after it has rejected a start for lack of capacity.
	capacityRetry = 50 * time.Millisecond
)

// start makes one start call and records its result.
func (p *Pool) start(s startEffect) {
	if !p.confirmIncarnation(s) {
		return
	}
	verdict, reply, err := p.call(s)
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	switch {
	case s.run.state != runStarting || s.run.host != s.host:
		p.handleAbandonedStart(s, verdict, err, now, &fx)
	case err != nil:
		p.handleStartError(s, err, now, &fx)
	default:
		p.handleStartReply(s, verdict, reply, now, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// call sends a start.
func (p *Pool) call(s startEffect) (link.StartVerdict, link.HostReply, error) {
	p.counter(metric.PoolStarts).Inc(1)
	p.o.Logger.Info("sending a start", "task", s.run.order.Key.String(), "worker", s.host.address.Worker,
		"token", s.token, "worker_start", s.workerStart, "entry_start", s.entryStart, "label", s.run.order.RequiredLabel,
		"lease_end", s.leaseEnd, "decided", p.o.Now().Sub(s.decidedAt))
	ctx, cancel := context.WithTimeout(p.ctx, p.startTimeout())
	defer cancel()
	report := time.AfterFunc(startReportDelay, func() { p.reportUnanswered(s) })
	defer report.Stop()
	return p.o.Calls.Start(ctx, s.host.address, link.HostStart{
		Key: s.run.order.Key, Spec: s.run.order.Spec, LeaseEnd: s.leaseEnd, Token: s.token,
		Valid: func() bool { return p.o.Now().Before(s.sendBy) && !p.evacuated.Load().Contains(s.domain) },
	})
}

// reportUnanswered reports a run whose start call has had no reply for startReportDelay.
func (p *Pool) reportUnanswered(s startEffect) {
	var fx effects
	p.mu.Lock()
	if r := s.run; r.host == s.host && (r.state == runStarting || r.state == runInDoubt) {
		r.reportedUnanswered = true
		fx.report(r)
	}
	p.mu.Unlock()
	p.apply(fx)
}

// handleAbandonedStart processes the result of a start call whose run has been given up meanwhile. p.mu is held.
func (p *Pool) handleAbandonedStart(s startEffect, verdict link.StartVerdict, err error, now time.Time, fx *effects) {
	p.o.Logger.Warn("start returned after its run had been given up", "task", s.run.order.Key.String(),
		"worker", s.host.address.Worker, "token", s.token, "verdict", verdict.String(), "error", err)
	switch {
	case err == nil:
		p.callTimes.record(now.Sub(s.decidedAt))
	case !errorx.HasTrait(err, fault.ProvenNotStarted) && !errorx.HasTrait(err, fault.Answered):
		p.callTimes.recordUnanswered()
		p.recordLateStart(s.run, s.host, now, fx)
	}
}

// handleStartReply processes the reply to the first start call of a run. p.mu is held.
func (p *Pool) handleStartReply(s startEffect, verdict link.StartVerdict, reply link.HostReply, now time.Time, fx *effects) {
	r, h := s.run, s.host
	if verdict != link.StartFenced {
		h.recordReading(s.token, reply, now)
	}
	if verdict == link.StartAccepted {
		p.handleAccepted(s, reply, now, fx)
		return
	}
	p.logRejection(s, verdict)
	switch verdict {
	case link.StartSuperseded:
		r.mayHaveRun = false
		p.finish(r, contract.RunEnded, proofNotStarted, 0, fx)
		return
	case link.StartInvalid:
		r.mayHaveRun = false
		p.finish(r, contract.RunFailed, proofNotStarted, 0, fx)
		return
	}
	p.handleRejection(s, verdict, now, fx)
	p.requeue(r, fx)
}

// handleAccepted records that a worker has started a run. p.mu is held.
func (p *Pool) handleAccepted(s startEffect, reply link.HostReply, now time.Time, fx *effects) {
	r, h := s.run, s.host
	r.state, r.confirmedAt, r.confirmedClock, r.begun = runRunning, now, reply.Clock, true
	if reply.StartTime != 0 {
		r.workerStart = reply.StartTime
	}
	metric.Histogram(metric.PoolQueueTime, p.o.Metrics).Update(r.startedAt.Sub(r.queuedAt).Microseconds())
	metric.Histogram(metric.PoolCallTime, p.o.Metrics).Update(now.Sub(r.startedAt).Microseconds())
	p.callTimes.record(now.Sub(r.startedAt))
	p.o.Logger.Info("run started", "task", r.order.Key.String(), "worker", h.host.Listing.Worker, "token", s.token,
		"queued_for", r.startedAt.Sub(r.queuedAt), "call_took", now.Sub(r.startedAt), "home", r.home)
	switch {
	case h.host.Token == 0 && !h.restarted:
		// Another VM has acquired the worker after the start; it reports the run from now on.
		p.forget(r, leftNotOwned, fx)
	case r.cancelled:
		fx.stops = append(fx.stops, r)
	default:
		fx.report(r)
	}
}

func (p *Pool) logRejection(s startEffect, verdict link.StartVerdict) {
	p.o.Logger.Info("worker rejected a start", "task", s.run.order.Key.String(), "worker", s.host.host.Listing.Worker,
		"verdict", verdict.String(), "token", s.token)
}

// handleRejection records what the rejection of a start says of the worker. p.mu is held.
func (p *Pool) handleRejection(s startEffect, verdict link.StartVerdict, now time.Time, fx *effects) {
	h := s.host
	switch verdict {
	case link.StartFenced:
		if h.host.Token == s.token {
			p.loseOwnership(h, now, fx)
		}
	case link.StartNoCapacity:
		h.host.MarkFullUntil(now.Add(capacityRetry))
		h.wake()
	case link.StartUnhealthy:
		h.host.Failed(now)
		h.rejectedUntil = now.Add(unhealthyRetry)
	case link.StartOtherWorker:
		h.host.Suspend(now)
	}
}

// recordReading records the clock in the reply to a call that was made under a fencing token. Under another token than the
// present one the reply may come from an earlier incarnation, whose clock differs. The rejections of an unhealthy worker may
// have no clock, and those of another worker at the address have that of its own. p.mu is held.
func (h *ownedHost) recordReading(token uint64, reply link.HostReply, now time.Time) {
	if h.host.Token == token && !reply.OtherWorker && reply.Clock > 0 {
		h.host.SetClock(reply.Clock, now)
	}
}

// handleStartError processes the first start call of a run without a reply. p.mu is held.
func (p *Pool) handleStartError(s startEffect, err error, now time.Time, fx *effects) {
	r, h := s.run, s.host
	if p.recordStartError(s, err, now) {
		p.requeue(r, fx)
		return
	}
	if h.replaced {
		p.finish(r, contract.RunEnded, proofOtherWorker, 0, fx)
		return
	}
	r.state, r.doubtSince, r.resolve = runInDoubt, now, make(chan struct{}, 1)
	if r.startUnanswered = !errorx.HasTrait(err, fault.Answered); r.startUnanswered {
		p.recordLateStart(r, h, now, fx)
	}
	fx.inDoubt = append(fx.inDoubt, r)
}

// recordStartError records a start call without a reply. It reports whether the error proves that nothing has been started.
// p.mu is held.
func (p *Pool) recordStartError(s startEffect, err error, now time.Time) bool {
	h := s.host
	p.o.Calls.CloseIdleConnections(h.address)
	h.host.MarkSuspectUntil(now.Add(suspectTime))
	notStarted := errorx.HasTrait(err, fault.ProvenNotStarted)
	p.o.Logger.Warn("worker did not answer a start", "task", s.run.order.Key.String(), "worker", h.host.Listing.Worker,
		"token", s.token, "not_sent", notStarted, "error", err)
	if !notStarted {
		p.counter(metric.PoolStartsInDoubt).Inc(1)
	}
	if !notStarted && !errorx.HasTrait(err, fault.Answered) {
		p.callTimes.recordUnanswered()
	}
	return notStarted
}

// pollAtOnce polls an owned worker beside the polls that maintain it. It reports whether the worker has replied.
func (p *Pool) pollAtOnce(h *ownedHost) bool {
	p.mu.Lock()
	poll := h.pollWithoutLease()
	p.mu.Unlock()
	if poll.Token == 0 {
		return false
	}
	sent := p.o.Now()
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	reply, err := p.o.Calls.Poll(ctx, h.address, poll)
	return p.handlePollReply(h, poll.Token, sent, reply, err)
}
