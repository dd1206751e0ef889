package pool

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

// unbarredStart is a start without a reply whose run has been reported as over although the worker may still execute the start: it has
// answered no stop of the run. Until it has, no other run of the task starts on the worker, and the room of the run is kept. The end of a
// lease ends what runs, not what has yet to arrive. A fencing token bars it too, so it is dropped when the worker is acquired again.
type unbarredStart struct {
	key contract.RunKey
	// need is the room that the run takes if the start is executed.
	need  machine.Resources
	token uint64
	// withdrawn is set if the home of the run has withdrawn it.
	withdrawn bool
	// until is when the start cannot be executed any more and what it has started has ended.
	until time.Time
	// barredAt is when the worker answered a stop of the run; zero before that. A list that was asked for later shows whether the
	// start was executed before the stop.
	barredAt time.Time
	// wakeup is signalled when the worker answers again after a silence.
	wakeup chan struct{}
}

// barEffect bars a start on a worker.
type barEffect struct {
	host  *ownedHost
	start *unbarredStart
}

// finishUnbarred records that a run in doubt is over for its home, and has its start barred. p.mu is held.
func (p *Pool) finishUnbarred(r *run, proof endProof, fx *effects) {
	h := r.host
	u := &unbarredStart{
		key: r.order.Key, need: r.order.Need, token: h.host.Token, withdrawn: r.withdrawn, wakeup: make(chan struct{}, 1),
		until: machine.LeaseOverBy(r.doubtSince.Add(contract.LateStartLimit), p.o.Lease),
	}
	p.finish(r, contract.RunEnded, proof, 0, fx)
	h.unbarred[u.key] = u
	h.host.Withhold(u.need)
	p.onWorkers[u.key.Task()]++
	p.counter(metric.PoolStartsUnbarred).Inc(1)
	fx.bars = append(fx.bars, barEffect{h, u})
}

// removeUnbarred frees the room of a start and lets other runs of its task start on the worker. p.mu is held.
func (p *Pool) removeUnbarred(h *ownedHost, u *unbarredStart) {
	delete(h.unbarred, u.key)
	h.host.Restore(u.need)
	p.releaseTask(u.key)
}

// removeAllUnbarred does the same for all starts that are not barred on a worker. p.mu is held.
func (p *Pool) removeAllUnbarred(h *ownedHost) {
	for _, u := range h.unbarred {
		p.removeUnbarred(h, u)
	}
}

// expireUnbarred removes the starts that cannot be executed any more. p.mu is held.
func (p *Pool) expireUnbarred(h *ownedHost, now time.Time) {
	for _, u := range h.unbarred {
		if !now.Before(u.until) {
			p.removeUnbarred(h, u)
		}
	}
}

// reconcileUnbarred compares the worker's list of runs with the starts that are not barred. One that is listed has been executed; its
// run is held and stopped like any other from now on. p.mu is held.
func (p *Pool) reconcileUnbarred(h *ownedHost, reply link.PollReply, sent time.Time) {
	if len(h.unbarred) == 0 {
		return
	}
	for _, e := range reply.Ended {
		// A worker starts no run that has ended there.
		if u, ok := h.unbarred[e.Key]; ok {
			p.removeUnbarred(h, u)
		}
	}
	for _, running := range reply.Running {
		if _, held := h.runs[running.Key]; !held {
			continue
		}
		if u, ok := h.unbarred[running.Key]; ok {
			p.counter(metric.PoolUnbarredExecuted).Inc(1)
			p.removeUnbarred(h, u)
		}
	}
	for _, u := range h.unbarred {
		if u.barredAt.IsZero() || !sent.After(u.barredAt) || lists(reply.Running, u.key) {
			continue
		}
		p.counter(metric.PoolUnbarredStopped).Inc(1)
		p.removeUnbarred(h, u)
	}
}

// bar stops the run of a start until the worker has answered, so that it rejects the start. The next list shows whether the start was
// executed before.
func (p *Pool) bar(b barEffect) {
	wait := time.Duration(0)
	for p.ctx.Err() == nil {
		silent, unbarred := p.isUnbarred(b)
		if !unbarred {
			return
		}
		// The polls that maintain a silent worker find out when it answers.
		if !silent && p.barOnce(b) {
			p.pollAtOnce(b.host)
			return
		}
		wait = min(max(2*wait, stopRetry), maxRepeatPause)
		pause(p.ctx, wait, b.start.wakeup)
	}
}

// isUnbarred reports whether a start is still to be barred, and whether the worker is silent.
func (p *Pool) isUnbarred(b barEffect) (silent, unbarred bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, u := b.host, b.start
	return h.pollFailed, h.unbarred[u.key] == u && h.host.Token == u.token
}

// barOnce makes one stop call. It reports whether the worker has answered it.
func (p *Pool) barOnce(b barEffect) bool {
	h, u := b.host, b.start
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	reply, err := p.o.Calls.Stop(ctx, h.address, u.key, u.token)
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	answered := p.acceptStopReply(h, u.token, reply, err, now, &fx)
	if answered {
		u.barredAt = now
		p.o.Logger.Info("worker answered the stop of a run that was over; it rejects its start", "task", u.key.String(),
			"worker", h.address.Worker, "token", u.token, "worker_start", reply.StartTime)
	}
	p.mu.Unlock()
	p.apply(fx)
	return answered
}

// hasUnbarredOf reports whether a start of another run of the task is not barred on the worker.
func (h *ownedHost) hasUnbarredOf(task contract.RunKey) bool {
	for key := range h.unbarred {
		if key.Task() == task.Task() {
			return true
		}
	}
	return false
}

// recordWait records once that a queued task waits until an earlier start of it has been barred. p.mu is held.
func (p *Pool) recordWait(r *run, h *ownedHost) {
	if r.awaitsBar || h == nil || !h.hasUnbarredOf(r.order.Key) {
		return
	}
	r.awaitsBar = true
	p.counter(metric.PoolStartsAwaitStop).Inc(1)
	p.o.Logger.Info("task waits until its worker has answered the stop of an earlier run", "task", r.order.Key.String(),
		"worker", h.address.Worker, "token", h.host.Token)
}
