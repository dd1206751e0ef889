package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// idlePollInterval is the time between polls of a worker without runs. They keep the estimate of its clock current
	// and detect an unresponsive worker before tasks are lost to it.
	idlePollInterval = 500 * time.Millisecond
	// maxPollWait is how long a worker may delay its reply while no run ends. It is shorter than a third of the lease.
	maxPollWait = 250 * time.Millisecond
	// pollRetry is the pause after a failed poll.
	pollRetry = 10 * time.Millisecond
	// acquireRetry is the pause after a failed acquisition.
	acquireRetry = 50 * time.Millisecond
	// firstPollTimeout is the timeout of the first poll after a successful one; a round trip takes up to 6 ms.
	firstPollTimeout = 80 * time.Millisecond
	// reconnectDelay is the pause before acquiring a worker that was unreachable. After a partition it gives the other
	// members time to make contact, as one of them may own the worker.
	reconnectDelay = time.Second
	// reacquireDelay is the pause before a worker that was lost to another VM is acquired again, if membership still
	// assigns it to this VM.
	reacquireDelay = 500 * time.Millisecond
	// stallTimeout is the time without progress after which a run is treated as stalled. One percent of the longest tasks
	// on the slowest workers takes half a second.
	stallTimeout = 900 * time.Millisecond
	// tokenRandomRange makes two VMs that acquire a worker in the same millisecond use different tokens. Tokens stay
	// below 2^53, the limit up to which every JSON decoder reads integers exactly.
	tokenRandomRange = 1 << 12
)

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

// ownedHost is an owned worker with its runs. The pool's lock guards host, runs and dropped; the other fields belong
// to the goroutine of maintain.
type ownedHost struct {
	host            *machine.Host
	runs            map[contract.RunKey]*run
	address         link.HostAddress
	cancel          context.CancelFunc
	wakeup          chan struct{}
	dropped         bool
	ownershipLostAt time.Time
	// startTime identifies the incarnation of the worker that replied last; zero before the first reply.
	startTime int64
	// pollFailed is set when a poll gets no reply, and cleared by the next reply.
	pollFailed bool
	// unackedOutcomes is set while the worker may hold outcomes that have not been acknowledged.
	unackedOutcomes bool
}

func (t *ownedHost) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// leaseLimit returns the latest time to which the lease of a worker may be extended now. One lease covers all runs of
// a worker, so the least recently refreshed run decides. A run that no home has claimed prevents an extension: its
// home may have died, and its client may be running the job elsewhere before the lease ends.
func (t *ownedHost) leaseLimit(now time.Time, lease time.Duration) time.Time {
	limit := now.Add(lease)
	for _, r := range t.runs {
		if !r.claimed {
			return now
		}
		if end := r.refreshedAt.Add(leaseAfterRefresh); end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// maintain owns a worker until ctx ends: it acquires the worker, renews the lease of its runs and collects their
// outcomes.
func (p *Pool) maintain(ctx context.Context, t *ownedHost) {
	unreached := false
	for ctx.Err() == nil {
		if owned, wait := p.ownership(t); !owned {
			pause(ctx, wait, nil)
			if reached, err := p.probe(ctx, t); err != nil {
				unreached = true
				pause(ctx, acquireRetry+rand.N(acquireRetry), nil)
			} else if unreached {
				unreached = false
				pause(ctx, reconnectDelay, nil)
			} else if !p.acquire(ctx, t, reached) {
				pause(ctx, acquireRetry+rand.N(acquireRetry), nil)
			}
			continue
		}
		poll, due := p.nextPoll(t)
		if !due {
			pause(ctx, idlePollInterval, t.wakeup)
			poll, _ = p.nextPoll(t)
		}
		if ctx.Err() != nil {
			return
		}
		sent := p.o.Now()
		callCtx, cancel := context.WithTimeout(ctx, poll.Wait+p.pollTimeout(t))
		reply, err := p.o.Calls.Poll(callCtx, t.address, poll)
		cancel()
		if !p.handlePollReply(t, sent, reply, err) {
			pause(ctx, pollRetry, nil)
		}
	}
}

// pollTimeout returns how long a reply to a poll may take beyond its wait. After the first late reply the poll is
// repeated soon, since a delayed outcome delays its job; later polls allow for retransmitted packets.
func (p *Pool) pollTimeout(t *ownedHost) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.pollFailed {
		return callTimeout
	}
	return firstPollTimeout
}

func pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// ownership reports whether the worker is owned, and otherwise how long to wait before it is acquired again.
func (p *Pool) ownership(t *ownedHost) (bool, time.Duration) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.host.Token != 0 {
		return true, 0
	}
	if t.ownershipLostAt.IsZero() {
		return false, 0
	}
	return false, max(reacquireDelay-now.Sub(t.ownershipLostAt), 0)
}

// nextPoll returns the next poll, and whether it has to be sent at once.
func (p *Pool) nextPoll(t *ownedHost) (link.HostPoll, bool) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := link.HostPoll{Token: t.host.Token, LastOutcome: t.host.LastOutcome}
	if len(t.runs) == 0 {
		return h, t.unackedOutcomes
	}
	// The lease is not extended while the worker does not reply: its runs end when the lease expires.
	if t.pollFailed {
		return h, true
	}
	h.Wait = maxPollWait
	if left := t.leaseLimit(now, p.o.Lease).Sub(now); left > 0 {
		h.LeaseEnd = t.host.ExtendLease(left, now)
	}
	return h, true
}

// probe reads the clock of a worker that is not owned, without affecting its owner.
func (p *Pool) probe(ctx context.Context, t *ownedHost) (link.PollReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.o.Calls.Poll(callCtx, t.address, link.HostPoll{})
	if err != nil {
		p.o.Calls.CloseIdleConnections(t.address)
	}
	return reply, err
}

// startTimeOf returns the start time of a worker's incarnation. The reply to a fenced poll does not contain it; the
// worker's listing does.
func (p *Pool) startTimeOf(t *ownedHost, probed link.PollReply) int64 {
	if probed.StartTime != 0 {
		return probed.StartTime
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(t.startTime, t.host.Listing.StartTime)
}

// acquire makes this VM the owner of a worker that has replied to a probe.
func (p *Pool) acquire(ctx context.Context, t *ownedHost, probed link.PollReply) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token := newToken(p.startTimeOf(t, probed), probed.Clock)
	reply, err := p.o.Calls.Poll(callCtx, t.address, link.HostPoll{Token: token})
	if err != nil || reply.Fenced || reply.OtherIncarnation {
		p.o.Logger.Info("worker was not acquired", "worker", t.address.Worker, "token", token, "fenced", reply.Fenced,
			"other_life", reply.OtherIncarnation, "error", err)
		return false
	}
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	if t.dropped {
		p.mu.Unlock()
		return false
	}
	if t.startTime != 0 && reply.StartTime != t.startTime {
		t.host.Restarted(reply.Clock, now, p.o.Lease)
	}
	t.startTime = reply.StartTime
	t.host.SetClock(reply.Clock, now)
	t.host.Token = token
	t.unackedOutcomes = len(reply.Ended) > 0
	found := p.adopt(t, reply, now)
	p.match(now, &fx)
	p.mu.Unlock()
	p.counter(metric.PoolWorkersAcquired).Inc(1)
	p.o.Logger.Info("worker acquired", "worker", t.address.Worker, "token", token, "running", len(reply.Running),
		"ended", len(reply.Ended))
	p.apply(fx)
	p.o.Takeover(contract.Takeover{
		Worker: t.address.Worker, StartTime: reply.StartTime, Token: token, Runs: found,
	})
	return true
}

// adopt registers the runs found on a worker, for their homes to claim. p.mu is held.
func (p *Pool) adopt(t *ownedHost, reply link.PollReply, now time.Time) []contract.RunKey {
	var found []contract.RunKey
	for _, running := range reply.Running {
		found = append(found, running.Key)
		if r, ok := p.runs[running.Key]; ok && r.host == t {
			r.token = t.host.Token
			continue
		}
		delete(p.barredRuns, running.Key)
		r := &run{
			order: contract.TaskOrder{Key: running.Key, Need: p.typicalSize}, state: runRunning, host: t,
			mayHaveRun: true, token: t.host.Token,
			queuedAt: now, startedAt: now, progress: running.Progress, progressAt: now,
		}
		t.host.Reserve(r.order.Need)
		t.runs[running.Key] = r
		p.runs[running.Key] = r
		t.host.ExtendLease(p.o.Lease, now)
	}
	for _, e := range reply.Ended {
		found = append(found, e.Key)
		t.host.LastOutcome = max(t.host.LastOutcome, e.Number)
		if _, ok := p.runs[e.Key]; ok {
			continue
		}
		p.runs[e.Key] = &run{
			order: contract.TaskOrder{Key: e.Key}, state: runFinal, endedAt: now,
			outcome: contract.RunReport{Key: e.Key, State: e.State, Worker: t.address.Worker, MayHaveStarted: true},
		}
	}
	return found
}

// loseOwnership records that another VM has acquired a worker. That VM reports its runs from now on. p.mu is held.
func (p *Pool) loseOwnership(t *ownedHost, now time.Time, fx *effects) {
	if t.host.Token == 0 {
		return
	}
	p.o.Logger.Warn("lost ownership of worker to another VM", "worker", t.address.Worker, "token", t.host.Token,
		"runs", len(t.runs))
	p.counter(metric.PoolWorkersLost).Inc(1)
	t.host.Token = 0
	t.ownershipLostAt = now
	for _, r := range t.runs {
		if r.state != runStarting {
			p.forget(r, fx)
		}
	}
}

// handlePollReply processes the reply to a poll. It reports whether the poll succeeded.
func (p *Pool) handlePollReply(t *ownedHost, sent time.Time, reply link.PollReply, err error) bool {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		p.apply(fx)
	}()
	if t.dropped {
		return false
	}
	if err != nil {
		p.o.Calls.CloseIdleConnections(t.address)
		t.host.MarkSuspectUntil(now.Add(suspectTime))
		if t.pollFailed {
			t.host.Suspend(now)
		}
		t.pollFailed = true
		p.o.Logger.Warn("worker did not answer a poll", "worker", t.address.Worker, "runs", len(t.runs), "error", err)
		return false
	}
	t.pollFailed = false
	if reply.OtherIncarnation {
		p.handleOtherWorker(t, now, &fx)
		return false
	}
	if reply.StartTime != 0 && reply.StartTime != t.startTime {
		p.handleRestart(t, reply, now)
	}
	t.host.SetClock(reply.Clock, now)
	if reply.Fenced {
		p.loseOwnership(t, now, &fx)
		return false
	}
	p.recordOutcomes(t, reply, now, &fx)
	p.reconcileRuns(t, reply, sent, now, &fx)
	p.match(now, &fx)
	return true
}

// handleRestart records that a worker has been restarted. The lists in its reply show which runs belong to the new
// incarnation; the others have ended. p.mu is held.
func (p *Pool) handleRestart(t *ownedHost, reply link.PollReply, now time.Time) {
	p.o.Logger.Warn("worker has been restarted", "worker", t.address.Worker, "born", reply.StartTime,
		"last_born", t.startTime, "runs", len(t.runs), "running", len(reply.Running))
	t.startTime = reply.StartTime
	t.host.Restarted(reply.Clock, now, p.o.Lease)
}

// handleOtherWorker records that another worker answers at the address: no earlier run of this worker is alive. p.mu
// is held.
func (p *Pool) handleOtherWorker(t *ownedHost, now time.Time, fx *effects) {
	p.o.Logger.Warn("another worker answers at this address", "worker", t.address.Worker, "address", t.address.Address,
		"runs", len(t.runs))
	for _, r := range t.runs {
		if r.state != runStarting {
			p.finish(r, contract.RunEnded, 0, fx)
		}
	}
	t.host.Token = 0
	t.host.Suspend(now)
}

// recordOutcomes records the outcomes of runs. p.mu is held.
func (p *Pool) recordOutcomes(t *ownedHost, reply link.PollReply, now time.Time, fx *effects) {
	t.unackedOutcomes = len(reply.Ended) > 0
	for _, e := range reply.Ended {
		t.host.LastOutcome = max(t.host.LastOutcome, e.Number)
		r, ok := t.runs[e.Key]
		if !ok {
			continue
		}
		took := now.Sub(r.startedAt)
		switch e.State {
		case contract.RunDone:
			t.host.Succeeded(took, r.order.Expected)
			p.learnSpeed(t.host)
		case contract.RunFailed:
			if t.host.Failed(now) {
				p.o.Logger.Warn("worker suspended after repeated run failures", "worker", t.address.Worker)
			}
		}
		p.finish(r, e.State, took, fx)
	}
}

// learnSpeed updates the typical speed of workers of the same kind. p.mu is held.
func (p *Pool) learnSpeed(h *machine.Host) {
	if len(h.Listing.Labels) == 0 {
		return
	}
	kind := h.Listing.Labels[0]
	s, ok := p.speeds[kind]
	if !ok {
		s = 1
	}
	p.speeds[kind] = s + kindSpeedWeight*(h.Speed()-s)
}

// kindSpeedWeight is the weight of one run in the typical speed of a kind of workers.
const kindSpeedWeight = 0.05

// reconcileRuns compares the worker's list of runs with the pool's. p.mu is held.
func (p *Pool) reconcileRuns(t *ownedHost, reply link.PollReply, sent, now time.Time, fx *effects) {
	listed := make(map[contract.RunKey]int, len(reply.Running))
	for _, running := range reply.Running {
		listed[running.Key] = running.Progress
		if _, ok := t.runs[running.Key]; !ok {
			p.stopUnordered(t, running.Key, now)
		}
	}
	for key, r := range t.runs {
		progress, ok := listed[key]
		switch {
		case ok:
			p.recordProgress(r, progress, now, fx)
		case r.state == runRunning && r.startedAt.Before(sent) && !r.answeredAt.After(sent):
			// The run was confirmed before the poll was sent, and the reply lists neither the run nor its outcome.
			p.finish(r, contract.RunEnded, 0, fx)
		}
	}
}

// recordProgress records the progress of a run, and stops a run that has stalled. p.mu is held.
func (p *Pool) recordProgress(r *run, progress int, now time.Time, fx *effects) {
	if r.state == runInDoubt && !r.cancelled {
		// Replies to polls that were sent before this reply arrived prove nothing about the run.
		r.state, r.answeredAt = runRunning, now
		fx.report(r)
	}
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

// stopUnordered stops a run that this VM has not ordered: a start that was executed late. p.mu is held.
func (p *Pool) stopUnordered(t *ownedHost, key contract.RunKey, now time.Time) {
	r := &run{order: contract.TaskOrder{Key: key, Need: p.typicalSize}, state: runRunning, host: t,
		cancelled: true, queuedAt: now, startedAt: now, progressAt: now}
	t.host.Reserve(r.order.Need)
	t.runs[key] = r
	p.runs[key] = r
	p.o.Logger.Warn("worker runs a task that was not ordered; stopping it", "task", key.String(),
		"worker", t.address.Worker)
	p.spawn(func() { p.stop(r) })
}
