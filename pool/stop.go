package pool

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
)

// stopRetry is the pause between stop calls that get no reply.
const stopRetry = 50 * time.Millisecond

// stop ends a run on its worker. If the run has not started there, the worker rejects a start of it that arrives later.
// stop retries until the worker replies, the lease expires, the run has ended otherwise or another VM owns the worker.
func (p *Pool) stop(r *run) {
	for {
		p.mu.Lock()
		h := r.host
		if r.state == runFinal || h == nil {
			p.mu.Unlock()
			return
		}
		if h.host.Token == 0 && !h.restarted {
			var fx effects
			p.forget(r, leftNotOwned, &fx)
			p.mu.Unlock()
			p.apply(fx)
			return
		}
		key, token := r.order.Key, h.host.Token
		p.mu.Unlock()
		if token != 0 && p.stopOnce(r, key, h, token) {
			p.pollAfterStop(r, h)
			return
		}
		select {
		case <-time.After(stopRetry):
		case <-p.ctx.Done():
			return
		}
	}
}

// pollAfterStop polls a worker that has answered the stop of a run which it is not known to have started: a list without the
// run proves at once that it never starts.
func (p *Pool) pollAfterStop(r *run, h *ownedHost) {
	p.mu.Lock()
	barred := r.state == runRunning && r.host == h && !r.begun
	p.mu.Unlock()
	if barred {
		p.pollAtOnce(h)
	}
}

// stopOnce makes one stop call. It reports whether nothing is left to do.
func (p *Pool) stopOnce(r *run, key contract.RunKey, h *ownedHost, token uint64) bool {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	reply, err := p.o.Calls.Stop(ctx, h.address, key, token)
	return p.handleStopReply(r, h, token, reply, err)
}

// handleStopReply processes the reply to a stop call that was made under a fencing token. It reports whether nothing is
// left to do.
func (p *Pool) handleStopReply(r *run, h *ownedHost, token uint64, reply link.HostReply, err error) bool {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		p.apply(fx)
	}()
	if r.state == runFinal || r.host != h {
		return true
	}
	if !p.acceptStopReply(h, token, reply, err, now, &fx) {
		// The run is left to the next owner if the stop was fenced.
		return r.host != h
	}
	// The run has ended once its outcome is listed, or once a later poll lists neither the run nor an outcome: then it
	// never started there, and the worker rejects a start that arrives late.
	r.state, r.confirmedAt, r.confirmedClock, r.cancelled, r.stopAnswered = runRunning, now, reply.Clock, true, true
	p.o.Logger.Info("worker answered a stop", "task", r.order.Key.String(), "worker", h.address.Worker, "token", token,
		"worker_start", reply.StartTime)
	h.wake()
	p.match(now, &fx)
	return true
}

// acceptStopReply records the reply to a stop call that was made under a fencing token, and reports whether the worker has carried out
// the stop under the present token. p.mu is held.
func (p *Pool) acceptStopReply(
	h *ownedHost, token uint64, reply link.HostReply, err error, now time.Time, fx *effects,
) bool {
	if err != nil {
		p.o.Calls.CloseIdleConnections(h.address)
		return false
	}
	if h.host.Token != token || reply.OtherWorker {
		// The stop was made under the token of an earlier ownership, and may have been answered by an earlier incarnation, or
		// another worker is at the address, which the next poll shows.
		return false
	}
	if reply.Fenced {
		p.loseOwnership(h, now, fx)
		return false
	}
	h.recordReading(token, reply, now)
	return true
}
