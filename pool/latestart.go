package pool

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// lateStartPollInterval is how long a worker may delay its reply to a poll while it may execute a late start. A restart that
	// closes no connection is noticed by the next poll.
	lateStartPollInterval = 100 * time.Millisecond
	// lateStartPollTimeout bounds polls of such a worker that does not reply, lateStartPollPause is the pause between them. Each
	// slowPollEvery-th has the timeout of first polls, in case replies take longer.
	lateStartPollTimeout = 25 * time.Millisecond
	lateStartPollPause   = 10 * time.Millisecond
	slowPollEvery        = 10
	// unhealthyRetry is the pause after a worker has rejected a start as unhealthy before a task that starts nowhere else is
	// sent to it again.
	unhealthyRetry = 200 * time.Millisecond
	// returnDelay is how long a task that can start on no worker of the pool is held before it goes back to its home. A home
	// that does not know the reason could order it again here at once, without end.
	returnDelay = 20 * time.Millisecond
)

// recordLateStart records a start call of a run that got no reply. Its worker may execute it later, also as another
// incarnation, which knows of no stop and has seen no fencing token. p.mu is held.
func (p *Pool) recordLateStart(r *run, h *ownedHost, now time.Time, fx *effects) {
	if h.replaced {
		return
	}
	key, worker := r.order.Key, h.address.Worker
	r.firstLate = !slices.Contains(p.o.LateStarts.Workers(key), worker)
	s := contract.LateStart{Task: key.Task(), Worker: worker, Until: now.Add(contract.LateStartRetention)}
	p.o.LateStarts.Record(s)
	fx.lateStarts = append(fx.lateStarts, s)
}

// listedRunning drops the record of a start that got no reply, once its worker lists the run: that start has been executed. It is
// kept if another start of the task may still be executed there, and of a run that was reported as over: the next one could start
// elsewhere beside it. p.mu is held.
func (p *Pool) listedRunning(key contract.RunKey, h *ownedHost) {
	if r, ok := p.runs[key]; ok && r.state != runFinal {
		p.dropLateStart(r, h)
	}
}

// listedEnded does the same once the worker lists the end of the run. p.mu is held.
func (p *Pool) listedEnded(key contract.RunKey, h *ownedHost) {
	if r, ok := p.runs[key]; ok {
		p.dropLateStart(r, h)
	}
}

// dropLateStart drops the record of the start of a run if it is the only one of the task at the worker. p.mu is held.
func (p *Pool) dropLateStart(r *run, h *ownedHost) {
	if r.firstLate && r.sentTo == h.address.Worker {
		r.firstLate = false
		p.o.LateStarts.Executed(r.order.Key, h.address.Worker)
	}
}

// bindWaiting determines for each queued task the only worker on which it may start, if an earlier start of it may still be
// executed. A restart that lets that worker execute the earlier start ends the next run first. A task that cannot start on
// any worker of this pool is returned to its home, after a pause. p.mu is held.
func (p *Pool) bindWaiting(now time.Time, fx *effects) {
	var unbound []*run
	noRecords := p.o.LateStarts.Empty()
	for _, r := range p.waiting.runs {
		if noRecords && r.order.OnlyWorker == "" {
			r.onlyWorker, r.unplaceable = "", false
			continue
		}
		worker, ok := p.onlyWorkerOf(r.order)
		// The record of the home has ended by then, so that it may order the task anywhere.
		expired := r.order.OnlyWorker != "" && now.Sub(r.queuedAt) > contract.LateStartRetention
		r.onlyWorker, r.unplaceable = worker, !ok || expired
		p.recordWait(r, p.hosts[worker])
		if r.unplaceable && now.Sub(r.queuedAt) >= returnDelay {
			unbound = append(unbound, r)
		}
	}
	for _, r := range unbound {
		p.counter(metric.PoolReturnedLate).Inc(1)
		p.o.Logger.Info("earlier starts of a task leave no worker of this VM to start it on; returning it", "task",
			r.order.Key.String(), "earlier_at", p.o.LateStarts.Workers(r.order.Key), "only_worker", r.order.OnlyWorker)
		p.finish(r, contract.RunEnded, proofNotStarted, 0, fx)
	}
}

// onlyWorkerOf returns the only worker on which a task may start, empty for any. It reports false if there is no such worker
// in the pool. p.mu is held.
func (p *Pool) onlyWorkerOf(o contract.TaskOrder) (string, bool) {
	only := o.OnlyWorker
	for _, worker := range p.o.LateStarts.Workers(o.Key) {
		if only == "" {
			only = worker
		}
		if worker != only {
			return "", false
		}
	}
	return only, only == "" || p.hosts[only] != nil
}

// startBound starts the queued tasks that have to run on one worker. Its suspension does not matter, since no other worker
// takes them. p.mu is held.
func (p *Pool) startBound(now time.Time, fx *effects) {
	for i := 0; i < len(p.waiting.runs); {
		r := p.waiting.runs[i]
		if r.onlyWorker == "" || r.unplaceable || !p.canStartBound(p.hosts[r.onlyWorker], r, now) {
			i++
			continue
		}
		p.waiting.remove(r)
		p.assign(r, p.hosts[r.onlyWorker], now, fx)
	}
}

// canStartBound reports whether a task may start now on the only worker that may run it. p.mu is held.
func (p *Pool) canStartBound(h *ownedHost, r *run, now time.Time) bool {
	return p.entrySuffices(h) && h.leaseLimit(now, p.o.Lease).Sub(now) >= minStartLease && !now.Before(h.rejectedUntil) &&
		h.host.CanStartSuspended(r.order.Need, now) && p.admits(h, r, now)
}

// stuck reports whether a queued task waits for the end of an earlier run or for a worker that takes no task now or cannot hold this
// one, or to be returned to its home. p.mu is held.
func (p *Pool) stuck(r *run, now time.Time) bool {
	h := p.hosts[r.onlyWorker]
	if p.onWorkers[r.order.Key.Task()] > 0 {
		return true
	}
	return r.unplaceable || (h != nil && (!h.host.Usable(now) || !h.host.CanHold(r.order.Need, r.order.RequiredLabel)))
}

// logLateStarts records that a task starts that has an earlier start which may still be executed. p.mu is held.
func (p *Pool) logLateStarts(r *run, h *ownedHost) {
	if !p.o.LateStarts.Has(r.order.Key) {
		return
	}
	p.counter(metric.PoolStartsWhereLate).Inc(1)
	p.o.Logger.Info("starting a task that has an earlier start which may still be executed", "task", r.order.Key.String(),
		"worker", h.address.Worker, "earlier_at", p.o.LateStarts.Workers(r.order.Key))
}

// completeReports adds to reports which workers may still execute a start of their tasks. No lock is held.
func (p *Pool) completeReports(reports []report) {
	if len(reports) == 0 || p.o.LateStarts.Empty() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range reports {
		r := &reports[i].RunReport
		workers := p.o.LateStarts.Workers(r.Key)
		r.MayStartLate = len(workers) == 1 && p.hosts[workers[0]] != nil
		r.LateWorkers = append(workers, r.LateWorkers...)
		slices.Sort(r.LateWorkers)
		r.LateWorkers = slices.Compact(r.LateWorkers)
	}
}

// hasLateStart reports whether a worker may execute a late start.
func (p *Pool) hasLateStart(h *ownedHost) bool { return p.o.LateStarts.HasWorker(h.address.Worker) }

// mayHaveLateStart also reports that of a worker whose last owner may have left a start without a reply. p.mu is held.
func (p *Pool) mayHaveLateStart(h *ownedHost, now time.Time) bool {
	return p.hasLateStart(h) || now.Sub(h.takenOverAt) < contract.LateStartLimit
}
