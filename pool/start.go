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
	// packet is sent again after 200 ms.
	callTimeout = 300 * time.Millisecond
	// startTimeout bounds a start. A start that takes longer is looked for in the worker's list, which does no harm.
	startTimeout = 150 * time.Millisecond
	// suspectTime is how long a worker gets no tasks after a call without an answer, unless it answers the next one. One
	// lost answer says little of the worker: where orders get lost, it happens to all workers several times a second.
	suspectTime = 400 * time.Millisecond
	// roomRetry is the time for which a worker that has less room than known gets no task.
	roomRetry = 50 * time.Millisecond
	// stopRetry is the pause between stop calls that are not answered.
	stopRetry = 50 * time.Millisecond
)

// start makes one start call and records its outcome.
func (p *Pool) start(s startEffect) {
	p.counter(metric.PoolStarts).Inc(1)
	ctx, cancel := context.WithTimeout(p.ctx, startTimeout)
	verdict, reply, err := p.o.Calls.Start(ctx, s.host.address, link.HostStart{
		Key: s.run.order.Key, Spec: s.run.order.Spec, LeaseEnd: s.leaseEnd, Token: s.token,
	})
	cancel()
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	if s.run.state == runStarting && s.run.host == s.host {
		p.started(s, verdict, reply, err, now, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// started records the answer to a start call. p.mu is held.
func (p *Pool) started(
	s startEffect, verdict link.StartVerdict, reply link.HostReply, err error, now time.Time, fx *effects,
) {
	r, t := s.run, s.host
	if err != nil {
		p.startFailed(s, err, now, fx)
		return
	}
	t.host.SetClock(reply.Clock, now)
	if verdict == link.StartAccepted {
		r.state, r.answered = runRunning, now
		metric.Histogram(metric.PoolQueueTime, p.o.Metrics).Update(r.started.Sub(r.queued).Microseconds())
		metric.Histogram(metric.PoolCallTime, p.o.Metrics).Update(now.Sub(r.started).Microseconds())
		p.o.Logger.Info("run started", "task", r.order.Key.String(), "worker", t.host.Listing.Worker, "token", s.token,
			"queued_for", r.started.Sub(r.queued), "call_took", now.Sub(r.started), "home", r.home)
		if r.unwanted {
			fx.stops = append(fx.stops, r)
			return
		}
		fx.report(r)
		return
	}
	p.o.Logger.Info("worker rejected a start", "task", r.order.Key.String(), "worker", t.host.Listing.Worker,
		"verdict", verdict.String(), "token", s.token)
	switch verdict {
	case link.StartSuperseded:
		r.ran = false
		p.finish(r, contract.RunEnded, 0, fx)
		return
	case link.StartInvalid:
		r.ran = false
		p.finish(r, contract.RunFailed, 0, fx)
		return
	case link.StartFenced:
		p.loseOwnership(t, now, fx)
	case link.StartNoRoom:
		t.host.RejectedAsFull(now.Add(roomRetry))
		t.wake()
	case link.StartUnhealthy:
		t.host.Failed(now)
	case link.StartOtherLife:
		t.host.Stalled(now)
	}
	p.requeue(r, fx)
}

// startFailed records a start call without an answer. p.mu is held.
func (p *Pool) startFailed(s startEffect, err error, now time.Time, fx *effects) {
	r, t := s.run, s.host
	p.o.Calls.Forget(t.address)
	t.host.Unanswered(now.Add(suspectTime))
	proven := errorx.HasTrait(err, fault.ProvenNotStarted)
	p.o.Logger.Warn("start was not answered", "task", r.order.Key.String(), "worker", t.host.Listing.Worker,
		"not_sent", proven, "error", err)
	if proven {
		p.requeue(r, fx)
		return
	}
	p.counter(metric.PoolStartsInDoubt).Inc(1)
	r.state = runDoubtful
	fx.doubts = append(fx.doubts, r)
}

// resolve finds out what became of a start that was not answered. A run that the worker lists goes on; one that it does
// not list is stopped, which bars a start that arrives late.
func (p *Pool) resolve(r *run) {
	p.mu.Lock()
	t := r.host
	if r.state != runDoubtful || t == nil {
		p.mu.Unlock()
		return
	}
	hold := link.HostHold{Token: t.host.Token, LastSeen: t.host.LastSeen}
	p.mu.Unlock()
	sent := p.o.Now()
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	reply, err := p.o.Calls.Hold(ctx, t.address, hold)
	cancel()
	p.held(t, sent, reply, err)
	p.mu.Lock()
	doubtful := r.state == runDoubtful
	p.mu.Unlock()
	if doubtful {
		p.stop(r)
	}
}

// stop ends a run at its worker, or bars it there. It tries until the worker answers, the lease has lapsed or another
// decision has ended the run.
func (p *Pool) stop(r *run) {
	for {
		p.mu.Lock()
		t := r.host
		if r.state == runFinal || t == nil {
			p.mu.Unlock()
			return
		}
		address, token := t.address, t.host.Token
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		reply, err := p.o.Calls.Stop(ctx, address, r.order.Key, token)
		cancel()
		if p.stopped(r, t, reply, err) {
			return
		}
		select {
		case <-time.After(stopRetry):
		case <-p.ctx.Done():
			return
		}
	}
}

// stopped records the answer to a stop call. It reports whether nothing is left to be done.
func (p *Pool) stopped(r *run, t *ownedHost, reply link.HostReply, err error) bool {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		p.apply(fx)
	}()
	if r.state == runFinal || r.host != t {
		return true
	}
	if err != nil {
		p.o.Calls.Forget(t.address)
		return false
	}
	t.host.SetClock(reply.Clock, now)
	if reply.Fenced {
		p.loseOwnership(t, now, &fx)
		return true
	}
	// The run is over once its end is listed, or once a later look lists neither the run nor an end: then it was never
	// there, and is barred now.
	r.state, r.answered, r.unwanted = runRunning, now, true
	t.wake()
	p.match(now, &fx)
	return true
}
