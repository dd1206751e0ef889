package pool

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/link"
)

// pollOwned polls an owned worker, and pauses before the next poll if that is needed. It returns before the worker has replied
// if the worker is found to have been restarted, or if it was idle and another poll is due: the one under way then ends by
// itself.
func (p *Pool) pollOwned(ctx context.Context, h *ownedHost, poll link.HostPoll, idle bool) {
	var due <-chan struct{}
	if idle {
		due = h.wakeup
	}
	sent := p.o.Now()
	replied := make(chan bool, 1)
	p.spawn(func() { replied <- p.poll(ctx, h, poll) })
	select {
	case ok := <-replied:
		if d := p.pollPause(h, poll, sent, ok); d > 0 {
			pause(ctx, d, due)
		}
	case <-due:
	case <-h.restartNoticed:
	}
}

// poll makes one poll and processes its reply. It reports whether the poll succeeded.
func (p *Pool) poll(ctx context.Context, h *ownedHost, poll link.HostPoll) bool {
	sent := p.o.Now()
	callCtx, cancel := context.WithTimeout(ctx, poll.Wait+p.pollTimeout(h))
	defer cancel()
	reply, err := p.o.Calls.Poll(callCtx, h.address, poll)
	if err != nil {
		p.handlePollFailure(h, poll, sent, err)
		return false
	}
	return p.handlePollReply(h, poll.Token, sent, reply, nil)
}

// pollPause returns the pause after a poll. The first poll that fails is repeated soon, since only its connection may have
// broken.
func (p *Pool) pollPause(h *ownedHost, poll link.HostPoll, sent time.Time, ok bool) time.Duration {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(h.runs) > 0:
		if ok {
			return 0
		}
		return pollRetry
	case ok && p.hasLateStart(h):
		return lateStartPollPause - now.Sub(sent)
	case ok:
		return minIdlePollInterval - now.Sub(sent)
	case h.pollFailed && poll.Wait == 0 && p.mayHaveLateStart(h, now):
		return lateStartPollPause
	case h.pollFailed && poll.Wait == 0:
		return downPollInterval
	default:
		return pollRetry
	}
}

// pollTimeout returns how long a reply to a poll may take beyond its wait. After the first late reply the poll is
// repeated soon, since a delayed outcome delays its job and a lease may expire; later polls allow for retransmitted
// packets.
func (p *Pool) pollTimeout(h *ownedHost) time.Duration {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !h.pollFailed:
		return firstPollTimeout
	case len(h.runs) > 0 && now.Before(h.host.LeasesExpireBy()):
		return leasePollTimeout
	case p.mayHaveLateStart(h, now) && h.failedPolls%slowPollEvery == 0:
		return firstPollTimeout
	case p.mayHaveLateStart(h, now):
		return lateStartPollTimeout
	default:
		return callTimeout
	}
}

// nextPoll returns the next poll, and whether it is that of a worker without runs.
func (p *Pool) nextPoll(h *ownedHost) (poll link.HostPoll, idle bool) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	poll = h.pollWithoutLease()
	if h.pollFailed {
		// The lease is not extended while the worker does not reply: its runs end when the lease expires. It may have
		// restarted, so the outcomes with the numbers up to the last one here may be others, which nobody has read.
		return poll, false
	}
	poll.LastOutcome = h.host.LastOutcome
	if len(h.runs) == 0 {
		// Outcomes are acknowledged by the next poll of the idle worker, or by the first one of the next run.
		poll.Wait = p.pollWait(h, idlePollInterval)
		return poll, true
	}
	poll.Wait = p.pollWait(h, maxPollWait)
	if left := h.leaseLimit(now, p.o.Lease).Sub(now); left > 0 && h.needsLease() {
		poll.LeaseEnd = h.host.ExtendLease(left, now)
	}
	return poll, false
}

// pollWait returns how long a worker may delay its reply to a poll. p.mu is held.
func (p *Pool) pollWait(h *ownedHost, longest time.Duration) time.Duration {
	if p.hasLateStart(h) {
		return lateStartPollInterval
	}
	return longest
}

// pollWithoutLease returns a poll that extends no lease, does not wait and acknowledges no outcome. The pool's lock is held.
func (h *ownedHost) pollWithoutLease() link.HostPoll { return link.HostPoll{Token: h.host.Token} }

// probe reads the clock of a worker that is not owned, without affecting its owner.
func (p *Pool) probe(ctx context.Context, h *ownedHost, timeout time.Duration) (link.PollReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := p.o.Calls.Poll(callCtx, h.address, link.HostPoll{})
	if err != nil {
		p.o.Calls.CloseIdleConnections(h.address)
	}
	return reply, err
}

// handlePollFailure records that a poll got no reply. A connection that breaks before the worker owed a reply says nothing
// about the time before.
func (p *Pool) handlePollFailure(h *ownedHost, poll link.HostPoll, sent time.Time, err error) {
	now := p.o.Now()
	failingSince := sent
	if now.Before(sent.Add(poll.Wait)) {
		failingSince = now
	}
	var fx effects
	p.mu.Lock()
	if !h.dropped && poll.Token != 0 && h.host.Token == poll.Token {
		p.recordPollFailure(h, sent, failingSince, now, err, &fx)
	}
	p.mu.Unlock()
	p.apply(fx)
}

// recordPollFailure records a poll without a reply, and since when the worker may have failed to reply. p.mu is held.
func (p *Pool) recordPollFailure(h *ownedHost, sent, failingSince, now time.Time, err error, fx *effects) {
	p.o.Calls.CloseIdleConnections(h.address)
	h.host.MarkSuspectUntil(now.Add(suspectTime))
	if h.pollFailed && !sent.Before(h.lastFailure) && !h.host.Suspended(now) {
		h.host.Suspend(now)
	}
	h.pollFailed, h.lastFailure = true, now
	h.failedPolls++
	p.watchFailure(h, sent, failingSince, now, err, fx)
	if h.failedPolls%slowPollEvery == 1 {
		p.o.Logger.Warn("worker did not answer a poll", "worker", h.address.Worker, "runs", len(h.runs),
			"failed_polls", h.failedPolls, "error", err)
	}
}

// handlePollReply processes the reply to a poll that was made under a fencing token. It reports whether the poll
// succeeded.
func (p *Pool) handlePollReply(h *ownedHost, token uint64, sent time.Time, reply link.PollReply, err error) bool {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		p.apply(fx)
	}()
	if h.dropped || token == 0 || h.host.Token != token {
		// A worker delays its reply until a run ends, so this one may have been admitted before this VM lost the worker. It
		// lists runs of the next owner, which must not be stopped or ended here.
		return false
	}
	if err != nil {
		p.recordPollFailure(h, sent, sent, now, err, &fx)
		return false
	}
	if h.pollFailed {
		h.wakeDoubts()
	}
	h.pollFailed, h.failedPolls = false, 0
	if reply.OtherWorker {
		p.handleOtherWorker(h, now, &fx)
		return false
	}
	if reply.StartTime != 0 && reply.StartTime != h.host.StartTime {
		p.handleRestart(h, reply, now, &fx)
		return false
	}
	p.watchReply(h, reply.StartTime, &fx)
	if reply.Fenced {
		// The clock may be that of another incarnation, which the reply does not name.
		p.loseOwnership(h, now, &fx)
		return false
	}
	h.host.SetClock(reply.Clock, now)
	p.o.LateStarts.Listed(h.address.Worker, sent)
	p.recordOutcomes(h, reply, now, &fx)
	p.reconcileRuns(h, reply, sent, now, &fx)
	p.reconcileUnbarred(h, reply, sent)
	p.match(now, &fx)
	return true
}
