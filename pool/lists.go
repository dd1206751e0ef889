package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
)

// stallTimeout is the time without progress after which a run is treated as stalled. One percent of the longest tasks
// on the slowest workers takes half a second.
const stallTimeout = 900 * time.Millisecond

// recordOutcomes records the outcomes of runs. p.mu is held.
func (p *Pool) recordOutcomes(h *ownedHost, reply link.PollReply, now time.Time, fx *effects) {
	for _, e := range reply.Ended {
		listedBefore := e.Number <= h.host.LastOutcome
		h.host.LastOutcome = max(h.host.LastOutcome, e.Number)
		p.listedEnded(e.Key, h)
		r, ok := h.runs[e.Key]
		if !ok {
			if !listedBefore {
				p.o.Logger.Info("worker lists the end of a run that is not held here", "task", e.Key.String(),
					"worker", h.address.Worker, "state", e.State.String(), "worker_start", h.host.StartTime,
					"worker_clock", reply.Clock)
			}
			continue
		}
		took := now.Sub(r.startedAt)
		switch e.State {
		case contract.RunDone:
			h.host.Succeeded(took, r.order.Expected)
			p.learnSpeed(h.host)
		case contract.RunFailed:
			if h.host.Failed(now) {
				p.o.Logger.Warn("worker suspended after repeated run failures", "worker", h.address.Worker)
			}
		}
		p.finish(r, e.State, proofListed, took, fx)
	}
}

// reconcileRuns compares the worker's list of runs with the pool's. p.mu is held.
func (p *Pool) reconcileRuns(h *ownedHost, reply link.PollReply, sent, now time.Time, fx *effects) {
	listed := make(map[contract.RunKey]int, len(reply.Running))
	for _, running := range reply.Running {
		listed[running.Key] = running.Progress
		p.listedRunning(running.Key, h)
		_, held := h.runs[running.Key]
		if !held && !h.leftAt[running.Key].After(sent) {
			p.stopUnordered(h, running.Key, now)
		}
	}
	for key, r := range h.runs {
		progress, ok := listed[key]
		switch {
		case ok:
			r.workerStart, r.listedBy, r.listedAt, r.begun = h.host.StartTime, h.host.StartTime, now, true
			r.confirmedClock = max(r.confirmedClock, reply.Clock)
			p.recordProgress(r, progress, now, fx)
		case r.workerStart == h.host.StartTime && reply.Clock <= r.confirmedClock:
			// The list may be from before the run, whenever its poll was sent. The next one decides.
		case r.state == runRunning && r.startedAt.Before(sent) && !r.confirmedAt.After(sent):
			// The run was confirmed before the poll was sent, and the reply lists neither the run nor its outcome. The next run of
			// the task may be ordered once it is reported as ended.
			if listsOtherRunOf(key, reply.Running) {
				continue
			}
			p.finish(r, contract.RunEnded, r.unlistedProof(), 0, fx)
		case r.endedInDoubt(sent, now, p.o.Lease):
			p.finishUnbarred(r, proofDoubtUnlisted, fx)
		case r.noCopyLeft(sent):
			p.finish(r, contract.RunEnded, r.unlistedProof(), 0, fx)
		}
	}
}

// recordProgress records the progress of a run, and stops a run that has stalled. p.mu is held.
func (p *Pool) recordProgress(r *run, progress int, now time.Time, fx *effects) {
	p.resolveListed(r, now, fx)
	if progress != r.progress {
		r.progress, r.progressAt = progress, now
		return
	}
	if r.state != runRunning || r.cancelled || now.Sub(r.progressAt) < stallTimeout {
		return
	}
	p.o.Logger.Warn("run makes no progress; stopping it", "task", r.order.Key.String(), "worker", r.host.address.Worker,
		"progress", progress, "since_progress", now.Sub(r.progressAt))
	p.counter(metric.PoolRunsStalled).Inc(1)
	r.cancelled = true
	r.host.host.Suspend(now)
	fx.stops = append(fx.stops, r)
}

// resolveListed records that the start of a run in doubt has been executed, as the worker lists the run. p.mu is held.
func (p *Pool) resolveListed(r *run, now time.Time, fx *effects) {
	if r.state != runInDoubt || r.cancelled {
		return
	}
	// Replies to polls that were sent before this reply arrived prove nothing about the run.
	r.state, r.confirmedAt = runRunning, now
	p.o.Logger.Info("worker lists a run whose start had no reply", "task", r.order.Key.String(),
		"worker", r.host.address.Worker, "token", r.token, "worker_start", r.workerStart)
	fx.report(r)
}

// stopUnordered stops a run that this VM has not ordered: a start that was executed late. p.mu is held.
func (p *Pool) stopUnordered(h *ownedHost, key contract.RunKey, now time.Time) {
	over := p.isOver(key)
	need, withdrawn := p.typicalSize, false
	if u, ok := h.unbarred[key]; ok {
		need, withdrawn = u.need, u.withdrawn
	}
	r := &run{order: contract.TaskOrder{Key: key, Need: need}, state: runRunning, host: h,
		cancelled: true, withdrawn: withdrawn, executedLate: true, listedAt: now, queuedAt: now, startedAt: now, progressAt: now,
		token: h.host.Token, workerStart: h.host.StartTime}
	h.host.Reserve(r.order.Need)
	p.addToHost(r, h)
	p.runs[key] = r
	p.o.Logger.Warn("worker runs a task that was not ordered; stopping it", "task", key.String(),
		"worker", h.address.Worker, "token", h.host.Token, "worker_start", h.host.StartTime, "ended_here", over)
	p.spawn(func() { p.stop(r) })
}
