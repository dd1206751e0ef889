package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
)

// tokenRandomRange makes it unlikely that two VMs that acquire a worker in the same millisecond use the same token.
// Tokens stay below 2^53, the limit up to which every JSON decoder reads integers exactly.
const tokenRandomRange = 1 << 12

// tokenEpoch is the origin of the time part of fencing tokens.
var tokenEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// newToken returns a fencing token for a worker that started at startTime, in milliseconds of Unix time, and whose
// clock shows the given reading. Tokens increase with the worker's own clock and across its restarts, independently of
// the clocks of the VMs: a call with the token of an earlier incarnation may have reached the new one, and must not
// lock out later owners.
func newToken(startTime int64, clock time.Duration) uint64 {
	millis := max(startTime-tokenEpoch.UnixMilli(), 0) + max(clock.Milliseconds(), 0) + 1
	return uint64(millis)*tokenRandomRange + rand.Uint64N(tokenRandomRange)
}

// lowestToken returns a fencing token for an incarnation that is higher than those of owners of earlier ones, and lower than that of
// each owner of this one. It is zero for a start time that is not known.
func lowestToken(startTime int64) uint64 {
	return uint64(max(startTime-tokenEpoch.UnixMilli(), 0)) * tokenRandomRange
}

const (
	// minTokenAdvance is added to the time part of a token after the worker has fenced one that was taken from its clock.
	minTokenAdvance = time.Second
	// maxTokenAdvance bounds it to more than the life of a worker. It keeps tokens below their limit.
	maxTokenAdvance = 1 << 12 * time.Hour
)

// nextTokenAdvance returns how far the next token is ahead of the worker's clock, given that of the fenced one. It grows by
// a quarter, since a later owner that takes its token from the clock is fenced for as long as this one is too far ahead.
func nextTokenAdvance(fenced time.Duration) time.Duration {
	return min(fenced+fenced/4+minTokenAdvance, maxTokenAdvance)
}

// startTimeOf returns the start time of a worker's incarnation, or the latest known time before it: the reply to a fenced
// poll does not contain it. p.mu is held.
func (p *Pool) startTimeOf(h *ownedHost, probed link.PollReply) int64 {
	if probed.StartTime != 0 {
		return probed.StartTime
	}
	known := int64(0)
	if p.o.LatestStart != nil {
		known = p.o.LatestStart(h.address.Worker)
	}
	return max(h.host.EarliestStart(probed.Clock, p.o.Now()), h.host.Listing.StartTime, known)
}

// tokenFor returns the token under which this VM tries to acquire a worker that has replied to a probe. It is higher than
// the last one: a worker whose time of day was set back before its restart would get a lower one from its start time.
func (p *Pool) tokenFor(h *ownedHost, probed link.PollReply) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(newToken(p.startTimeOf(h, probed), probed.Clock+h.tokenAdvance), h.lastToken+1)
}

// acquire makes this VM the owner of a worker that has replied to a probe.
func (p *Pool) acquire(ctx context.Context, h *ownedHost, probed link.PollReply) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token := p.tokenFor(h, probed)
	reply, err := p.o.Calls.Poll(callCtx, h.address, link.HostPoll{Token: token})
	if err != nil || reply.Fenced || reply.OtherWorker {
		p.o.Logger.Info("could not acquire the worker; retrying", "worker", h.address.Worker, "token", token,
			"fenced", reply.Fenced, "other_life", reply.OtherWorker, "error", err)
		if reply.Fenced {
			p.handleFencedAcquisition(h)
		}
		return false
	}
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	if h.dropped {
		p.mu.Unlock()
		return false
	}
	found := p.own(h, token, reply, now, &fx)
	p.match(now, &fx)
	p.mu.Unlock()
	p.counter(metric.PoolWorkersAcquired).Inc(1)
	p.o.Logger.Info("worker acquired", "worker", h.address.Worker, "token", token, "running", len(reply.Running),
		"ended", len(reply.Ended))
	p.apply(fx)
	p.o.Takeover(contract.Takeover{
		Worker: h.address.Worker, StartTime: reply.StartTime, Token: token, Runs: found,
	})
	return true
}

// own records that this VM has acquired a worker, and returns the runs found on it. The previous owner may have extended
// the lease just before, also that of an idle worker. p.mu is held.
func (p *Pool) own(h *ownedHost, token uint64, reply link.PollReply, now time.Time, fx *effects) []contract.RunKey {
	if reply.StartTime != h.host.StartTime {
		p.beginIncarnation(h, reply.HostReply, now, fx)
	}
	h.host.SetClock(reply.Clock, now)
	h.host.Token, h.lastToken, h.tokenAdvance, h.watch = token, token, 0, crashWatch{}
	h.ownershipLostAt, h.replaced = time.Time{}, false
	p.removeAllUnbarred(h)
	h.host.ExtendLease(p.o.Lease, now)
	found := p.adopt(h, reply, now, fx)
	if !h.restarted {
		h.takenOverAt = now
	}
	if h.restarted {
		h.restarted = false
		p.endPreviousIncarnation(h, reply, found, fx)
	}
	h.wakeDoubts()
	select {
	case <-h.restartNoticed:
	default:
	}
	return found
}

// endPreviousIncarnation ends the runs of a restarted worker that its new incarnation does not list, but for those in doubt
// whose start is repeated there. Start calls to the previous one that are delayed by the network are rejected from now on, as
// their token is lower. One that was executed before runs an earlier run of a task, which is being stopped; the present run
// ends after it. p.mu is held.
func (p *Pool) endPreviousIncarnation(h *ownedHost, reply link.PollReply, found []contract.RunKey, fx *effects) {
	for key, r := range h.runs {
		if r.state == runStarting || r.repeats() || slices.Contains(found, key) {
			continue
		}
		if !listsOtherRunOf(key, reply.Running) {
			p.finish(r, contract.RunEnded, proofRestarted, 0, fx)
		}
	}
}

// listsOtherRunOf reports whether a worker lists another run of the same task as running.
func listsOtherRunOf(key contract.RunKey, running []link.RunningRun) bool {
	return slices.ContainsFunc(running, func(r link.RunningRun) bool { return r.Key != key && r.Key.Task() == key.Task() })
}

// handleFencedAcquisition makes the next token higher. It forgets the runs of a restarted worker whose new incarnation
// another VM has acquired.
func (p *Pool) handleFencedAcquisition(h *ownedHost) {
	var fx effects
	p.mu.Lock()
	h.tokenAdvance = nextTokenAdvance(h.tokenAdvance)
	if h.restarted {
		h.restarted, h.ownershipLostAt = false, p.o.Now()
		p.loseOwnership(h, h.ownershipLostAt, &fx)
	}
	p.mu.Unlock()
	p.apply(fx)
}

// adopt registers the runs found on a worker, for their homes to claim. p.mu is held.
func (p *Pool) adopt(h *ownedHost, reply link.PollReply, now time.Time, fx *effects) []contract.RunKey {
	var found []contract.RunKey
	for _, running := range reply.Running {
		found = append(found, running.Key)
		p.listedRunning(running.Key, h)
		if r, ok := p.runs[running.Key]; ok && r.host == h {
			r.token, r.workerStart, r.listedBy, r.begun = h.host.Token, h.host.StartTime, h.host.StartTime, true
			r.confirmedClock = reply.Clock
			p.resolveListed(r, now, fx)
			continue
		}
		over, laterRun := p.isOver(running.Key), p.laterRun(running.Key)
		p.o.Logger.Info("run found on an acquired worker", "task", running.Key.String(), "worker", h.address.Worker,
			"token", h.host.Token, "worker_start", h.host.StartTime, "lease_end", h.host.LeaseEnd(),
			"worker_clock", reply.Clock, "ended_here", over, "later_run", laterRun)
		delete(p.barredRuns, running.Key)
		r := &run{
			order: contract.TaskOrder{Key: running.Key, Need: p.typicalSize}, state: runRunning, host: h,
			mayHaveRun: true, begun: true, token: h.host.Token, workerStart: h.host.StartTime, listedBy: h.host.StartTime,
			queuedAt: now, startedAt: now, progress: running.Progress, progressAt: now,
		}
		h.host.Reserve(r.order.Need)
		p.addToHost(r, h)
		p.runs[running.Key] = r
		if over || laterRun != 0 {
			// A start has been executed late. No home claims the run, and a later run of the task may start at any time.
			r.cancelled = true
			fx.stops = append(fx.stops, r)
		}
	}
	for _, e := range reply.Ended {
		found = append(found, e.Key)
		h.host.LastOutcome = max(h.host.LastOutcome, e.Number)
		p.listedEnded(e.Key, h)
		if r, ok := p.runs[e.Key]; ok {
			p.adoptEnd(h, r, e, fx)
			continue
		}
		p.o.Logger.Info("end of a run found on an acquired worker", "task", e.Key.String(), "worker", h.address.Worker,
			"state", e.State.String(), "token", h.host.Token, "worker_start", h.host.StartTime, "worker_clock", reply.Clock)
		// What was reported under an earlier token would be repeated once the outcome is acknowledged.
		delete(p.barredRuns, e.Key)
		p.runs[e.Key] = &run{
			order: contract.TaskOrder{Key: e.Key}, state: runFinal, endedAt: now, mayHaveRun: true,
			outcome: contract.RunReport{Key: e.Key, State: e.State, Worker: h.address.Worker, Token: h.host.Token,
				MayHaveStarted: true},
		}
	}
	return found
}

// laterRun returns the number of a later run of a task that this pool has or has had, zero if there is none. A home orders a run
// only when the earlier ones are over, so it proves that they are. One that was barred without being known proves nothing: an
// earlier home of the job may have used higher numbers. p.mu is held.
func (p *Pool) laterRun(key contract.RunKey) uint64 {
	last := uint64(0)
	later := func(k contract.RunKey) {
		if k.Run > last && k.Run > key.Run && k.Task() == key.Task() {
			last = k.Run
		}
	}
	for k := range p.runs {
		later(k)
	}
	for k, b := range p.barredRuns {
		if b.state != contract.RunUnknown {
			later(k)
		}
	}
	return last
}

// adoptEnd records that an acquired worker lists the end of a run that this pool knows. A home may claim the run under the
// token of the acquisition, and takes no end under an earlier one. p.mu is held.
func (p *Pool) adoptEnd(h *ownedHost, r *run, e link.EndedRun, fx *effects) {
	switch {
	case r.state == runFinal && r.outcome.Worker == h.address.Worker:
		r.outcome.Token = h.host.Token
	case r.host == h:
		r.token = h.host.Token
		p.finish(r, e.State, proofListed, 0, fx)
	}
}

// loseOwnership records that another VM has acquired a worker. That VM reports its runs from now on, and extends their
// lease. A run with a start call in progress is left to the result of that call. p.mu is held.
func (p *Pool) loseOwnership(h *ownedHost, now time.Time, fx *effects) {
	if h.host.Token != 0 {
		p.o.Logger.Warn("lost ownership of worker to another VM", "worker", h.address.Worker, "token", h.host.Token,
			"runs", len(h.runs))
		p.counter(metric.PoolWorkersLost).Inc(1)
		h.host.Token = 0
		h.ownershipLostAt = now
	}
	for _, r := range h.runs {
		if r.state != runStarting {
			p.forget(r, leftFenced, fx)
		}
	}
	p.removeAllUnbarred(h)
}
