package pool

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// minRepeatPause and maxRepeatPause bound the pause before a start without a reply is sent again, which doubles each time.
	minRepeatPause = 20 * time.Millisecond
	maxRepeatPause = 200 * time.Millisecond
)

// repeats reports whether the start of a run in doubt is going to be repeated. A worker starts a run once, however many copies
// of its start it gets, and its next incarnation starts the same run: unlike the run after it, a copy needs no proof that the
// start before cannot be executed any more. A start whose answer cannot be relied on was answered, so it is not late.
func (r *run) repeats() bool { return r.state == runInDoubt && r.startUnanswered && !r.cancelled }

// resolveInDoubt determines what has become of a start that got no reply. A run that the worker lists continues. One that it
// does not list is started again there, until the worker answers. One that is not wanted any more is stopped, so that the
// worker rejects a start that arrives late.
func (p *Pool) resolveInDoubt(r *run) {
	wait := time.Duration(0)
	for p.ctx.Err() == nil {
		p.mu.Lock()
		h := r.host
		inDoubt, silent := r.state == runInDoubt && h != nil, h != nil && h.pollFailed
		p.mu.Unlock()
		if !inDoubt {
			return
		}
		// The polls that maintain a silent worker find out when it answers.
		answered := (!silent || wait == 0) && p.pollAtOnce(h)
		s, next := p.nextForDoubt(r, answered)
		switch next {
		case doubtOver:
			return
		case doubtStop:
			p.stop(r)
			return
		case doubtRepeat:
			p.repeat(s)
		}
		wait = min(max(2*wait, minRepeatPause), maxRepeatPause)
		pause(p.ctx, wait, r.resolve)
	}
}

// doubtStep is what to do next about a run in doubt.
type doubtStep uint8

const (
	// doubtWait means that the worker cannot be sent the start now.
	doubtWait doubtStep = iota
	doubtOver
	doubtStop
	doubtRepeat
)

// nextForDoubt decides what to do about a run in doubt, after a poll that the worker may have answered.
func (p *Pool) nextForDoubt(r *run, answered bool) (startEffect, doubtStep) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch h := r.host; {
	case r.state != runInDoubt || h == nil:
		return startEffect{}, doubtOver
	case !r.repeats() || (h.host.Token == 0 && !h.restarted):
		return startEffect{}, doubtStop
	case !answered || !p.canRepeat(r, now):
		return startEffect{}, doubtWait
	default:
		return p.repeatStart(r, now), doubtRepeat
	}
}

// canRepeat reports whether the start of a run in doubt may be sent again now. p.mu is held.
func (p *Pool) canRepeat(r *run, now time.Time) bool {
	h, o := r.host, r.order
	if h.host.Token == 0 || !h.host.Schedulable() || now.Before(h.rejectedUntil) || now.Sub(r.refreshedAt) > refreshTimeout {
		return false
	}
	if p.onWorkers[o.Key.Task()] > 1 {
		// An earlier run, whose start was executed late, is being stopped.
		return false
	}
	return p.entrySuffices(h) && h.host.CanHold(o.Need, o.RequiredLabel) && h.leaseEndsInTime(r) &&
		h.leaseLimit(now, p.o.Lease).Sub(now) >= minStartLease
}

// repeatStart returns another start call of a run in doubt, under the present token. p.mu is held.
func (p *Pool) repeatStart(r *run, now time.Time) startEffect {
	h := r.host
	s := p.startCall(r, h, now)
	s.firstLate = r.firstLate
	r.startedAt, r.progress, r.progressAt, r.token, r.workerStart = now, 0, now, h.host.Token, h.host.StartTime
	// A list with the run does not tell which of the calls has started it.
	r.repeating, r.firstLate = true, false
	return s
}

// repeat makes one more start call of a run in doubt and records its result.
func (p *Pool) repeat(s startEffect) {
	p.counter(metric.PoolStartsRepeated).Inc(1)
	verdict, reply, err := p.call(s)
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	s.run.repeating = false
	switch {
	case s.run.host != s.host:
		p.handleAbandonedStart(s, verdict, err, now, &fx)
	case err != nil:
		p.handleRepeatError(s, err, now, &fx)
	default:
		p.handleRepeatReply(s, verdict, reply, now, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
	if verdict == link.StartSuperseded && err == nil {
		p.pollAtOnce(s.host)
	}
}

// handleRepeatError processes a repeated start call without a reply. The run may have been listed meanwhile. p.mu is held.
func (p *Pool) handleRepeatError(s startEffect, err error, now time.Time, fx *effects) {
	if p.recordStartError(s, err, now) {
		s.run.firstLate = s.firstLate
		return
	}
	s.run.doubtSince = now
	if !errorx.HasTrait(err, fault.Answered) {
		p.recordLateStart(s.run, s.host, now, fx)
		s.run.firstLate = false
	}
}

// handleRepeatReply processes the reply to a repeated start call. A rejection proves nothing of the calls before, so the run
// stays in doubt on its worker. p.mu is held.
func (p *Pool) handleRepeatReply(s startEffect, verdict link.StartVerdict, reply link.HostReply, now time.Time, fx *effects) {
	r, h := s.run, s.host
	if verdict != link.StartFenced {
		h.recordReading(s.token, reply, now)
	}
	if verdict == link.StartAccepted {
		if r.state == runInDoubt {
			p.handleAccepted(s, reply, now, fx)
		}
		return
	}
	r.firstLate = s.firstLate
	p.logRejection(s, verdict)
	switch verdict {
	case link.StartSuperseded:
		p.handleSupersededRepeat(r, reply, now)
	case link.StartInvalid:
		r.cancelled = true
	default:
		p.handleRejection(s, verdict, now, fx)
	}
}

// handleSupersededRepeat records that the worker will not start a run any more, since it has ended there. The next list tells
// how. A run that is being stopped is left to its stop. p.mu is held.
func (p *Pool) handleSupersededRepeat(r *run, reply link.HostReply, now time.Time) {
	if r.state != runInDoubt || r.cancelled {
		return
	}
	r.state, r.confirmedAt, r.confirmedClock = runRunning, now, reply.Clock
	if reply.StartTime != 0 {
		r.workerStart = reply.StartTime
	}
}

// wakeDoubts makes the runs in doubt of a worker and its starts that are not barred be looked at again, once it has answered after a
// silence or has been acquired. p.mu is held.
func (h *ownedHost) wakeDoubts() {
	for _, r := range h.runs {
		if r.state == runInDoubt {
			signal(r.resolve)
		}
	}
	for _, u := range h.unbarred {
		signal(u.wakeup)
	}
}

// startCall returns a start call of a run with the values of this decision. p.mu is held.
func (p *Pool) startCall(r *run, h *ownedHost, now time.Time) startEffect {
	limit := h.leaseLimit(now, p.o.Lease)
	return startEffect{
		run: r, host: h, token: h.host.Token, domain: h.host.Listing.Zone, decidedAt: now, workerStart: h.host.StartTime,
		entryStart: h.host.Listing.StartTime,
		leaseEnd:   h.host.ExtendLease(limit.Sub(now), now), sendBy: limit.Add(-minStartLease),
	}
}

// noCopyLeft reports whether no copy of the start of a run in doubt could be executed any more when a poll was sent.
func (r *run) noCopyLeft(sent time.Time) bool {
	return r.repeats() && !r.repeating && sent.After(r.doubtSince.Add(contract.LateStartLimit))
}
