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
	// idleInterval is the time between looks at a worker without runs. They keep the estimate of its clock and find a
	// worker that does not answer before tasks are lost to it.
	idleInterval = 500 * time.Millisecond
	// holdWait is how long a worker may delay its answer while nothing ends. It is shorter than a third of the lease.
	holdWait = 250 * time.Millisecond
	// holdRetry is the pause after a failed look.
	holdRetry = 10 * time.Millisecond
	// acquireRetry is the pause after a failed acquisition.
	acquireRetry = 50 * time.Millisecond
	// firstLookTimeout is the time for the answer to a look; a round trip takes up to 6 ms.
	firstLookTimeout = 80 * time.Millisecond
	// settleDelay is the pause before a worker is acquired that could not be reached before. After a partition the other
	// members are heard within it, and the worker may have an owner among them.
	settleDelay = time.Second
	// lostRetry is the pause before a worker that another VM has taken is taken back, if membership still names this VM.
	lostRetry = 500 * time.Millisecond
	// stallTimeout is the time without progress after which a run counts as standing still. One percent of the longest
	// tasks on the slowest workers takes half a second.
	stallTimeout = 900 * time.Millisecond
	// tokenSpread makes two VMs that take a worker in the same millisecond use different tokens. Tokens stay below 2^53, up
	// to which every decoder of JSON reads numbers exactly.
	tokenSpread = 1 << 12
)

// tokenEpoch is where fencing tokens start to count.
var tokenEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// newToken returns a fencing token for a worker that started at born, in milliseconds of Unix time, and whose clock shows
// that reading. It rises with the worker's own time and over its restarts, whatever the clocks of the VMs say: a call with
// the token of an earlier life may have reached the new one, and must not keep later owners out.
func newToken(born int64, clock time.Duration) uint64 {
	millis := max(born-tokenEpoch.UnixMilli(), 0) + max(clock.Milliseconds(), 0) + 1
	return uint64(millis)*tokenSpread + rand.Uint64N(tokenSpread)
}

// ownedHost is an owned worker with its runs. The pool's lock guards host, runs and lost; the goroutine of maintain owns the
// rest.
type ownedHost struct {
	host    *machine.Host
	runs    map[contract.RunKey]*run
	address link.HostAddress
	cancel  context.CancelFunc
	kick    chan struct{}
	lost    bool
	lostAt  time.Time
	// born is the life of the worker that was last heard of; zero before the first.
	born int64
	// failing is set from a look without an answer to the next answer.
	failing bool
	// unacknowledged is set while the worker may hold ends that it has not been told to forget.
	unacknowledged bool
}

func (t *ownedHost) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// leaseLimit returns the time at which the lease of a worker may end at most, if it is extended now. One lease holds for
// all runs of a worker, so the run that was refreshed longest ago decides, and a run that no home has claimed lets the lease
// end: the home may have died, and its client may have the job run elsewhere by then.
func (t *ownedHost) leaseLimit(now time.Time, lease time.Duration) time.Time {
	limit := now.Add(lease)
	for _, r := range t.runs {
		if !r.claimed {
			return now
		}
		if end := r.refreshed.Add(refreshedLease); end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// maintain owns a worker until ctx ends: it acquires it, renews the lease of its runs and collects their ends.
func (p *Pool) maintain(ctx context.Context, t *ownedHost) {
	unreached := false
	for ctx.Err() == nil {
		if owned, wait := p.ownership(t); !owned {
			pause(ctx, wait, nil)
			if reached, err := p.look(ctx, t); err != nil {
				unreached = true
				pause(ctx, acquireRetry+rand.N(acquireRetry), nil)
			} else if unreached {
				unreached = false
				pause(ctx, settleDelay, nil)
			} else if !p.acquire(ctx, t, reached) {
				pause(ctx, acquireRetry+rand.N(acquireRetry), nil)
			}
			continue
		}
		hold, busy := p.nextHold(t)
		if !busy {
			pause(ctx, idleInterval, t.kick)
			hold, _ = p.nextHold(t)
		}
		if ctx.Err() != nil {
			return
		}
		sent := p.o.Now()
		callCtx, cancel := context.WithTimeout(ctx, hold.Wait+p.lookTimeout(t))
		reply, err := p.o.Calls.Hold(callCtx, t.address, hold)
		cancel()
		if !p.held(t, sent, reply, err) {
			pause(ctx, holdRetry, nil)
		}
	}
}

// lookTimeout returns how long an answer to a look may take beyond its wait. The first one that is late is asked for
// again soon, since the ends that it would have told delay jobs; the next ones get time for packets that are sent again.
func (p *Pool) lookTimeout(t *ownedHost) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.failing {
		return callTimeout
	}
	return firstLookTimeout
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

// ownership reports whether the worker is owned, and otherwise how long to wait before it is taken back.
func (p *Pool) ownership(t *ownedHost) (bool, time.Duration) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.host.Token != 0 {
		return true, 0
	}
	if t.lostAt.IsZero() {
		return false, 0
	}
	return false, max(lostRetry-now.Sub(t.lostAt), 0)
}

// nextHold returns the next look, and whether it has to be made now.
func (p *Pool) nextHold(t *ownedHost) (link.HostHold, bool) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := link.HostHold{Token: t.host.Token, LastSeen: t.host.LastSeen}
	if len(t.runs) == 0 {
		return h, t.unacknowledged
	}
	// The lease is not extended while the worker does not answer: its runs end when it lapses.
	if t.failing {
		return h, true
	}
	h.Wait = holdWait
	if left := t.leaseLimit(now, p.o.Lease).Sub(now); left > 0 {
		h.LeaseEnd = t.host.ExtendLease(left, now)
	}
	return h, true
}

// look reads the clock of a worker that is not owned, without effect on its owner.
func (p *Pool) look(ctx context.Context, t *ownedHost) (link.HoldReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := p.o.Calls.Hold(callCtx, t.address, link.HostHold{})
	if err != nil {
		p.o.Calls.Forget(t.address)
	}
	return reply, err
}

// bornOf returns the start of a worker's life. The answer to a look that is fenced does not say it; the worker's entry does.
func (p *Pool) bornOf(t *ownedHost, looked link.HoldReply) int64 {
	if looked.Born != 0 {
		return looked.Born
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(t.born, t.host.Listing.Born)
}

// acquire makes this VM the owner of a worker that has answered a look.
func (p *Pool) acquire(ctx context.Context, t *ownedHost, looked link.HoldReply) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	token := newToken(p.bornOf(t, looked), looked.Clock)
	reply, err := p.o.Calls.Hold(callCtx, t.address, link.HostHold{Token: token})
	if err != nil || reply.Fenced || reply.OtherLife {
		p.o.Logger.Info("worker was not acquired", "worker", t.address.Worker, "token", token, "fenced", reply.Fenced,
			"other_life", reply.OtherLife, "error", err)
		return false
	}
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	if t.lost {
		p.mu.Unlock()
		return false
	}
	if t.born != 0 && reply.Born != t.born {
		t.host.Restarted(reply.Clock, now, p.o.Lease)
	}
	t.born = reply.Born
	t.host.SetClock(reply.Clock, now)
	t.host.Token = token
	t.unacknowledged = len(reply.Ended) > 0
	found := p.adopt(t, reply, now)
	p.match(now, &fx)
	p.mu.Unlock()
	p.counter(metric.PoolWorkersAcquired).Inc(1)
	p.o.Logger.Info("worker acquired", "worker", t.address.Worker, "token", token, "running", len(reply.Running),
		"ended", len(reply.Ended))
	p.apply(fx)
	p.o.Takeover(contract.Takeover{
		Worker: t.address.Worker, Born: reply.Born, Token: token, Runs: found,
	})
	return true
}

// adopt takes over the runs found on a worker, for their homes to claim. p.mu is held.
func (p *Pool) adopt(t *ownedHost, reply link.HoldReply, now time.Time) []contract.RunKey {
	var found []contract.RunKey
	for _, running := range reply.Running {
		found = append(found, running.Key)
		if r, ok := p.runs[running.Key]; ok && r.host == t {
			r.token = t.host.Token
			continue
		}
		delete(p.barred, running.Key)
		r := &run{
			order: contract.TaskOrder{Key: running.Key, Need: p.typical}, state: runRunning, host: t, ran: true, token: t.host.Token,
			queued: now, started: now, progress: running.Progress, progressAt: now,
		}
		t.host.Reserve(r.order.Need)
		t.runs[running.Key] = r
		p.runs[running.Key] = r
		t.host.ExtendLease(p.o.Lease, now)
	}
	for _, e := range reply.Ended {
		found = append(found, e.Key)
		t.host.LastSeen = max(t.host.LastSeen, e.Number)
		if _, ok := p.runs[e.Key]; ok {
			continue
		}
		p.runs[e.Key] = &run{
			order: contract.TaskOrder{Key: e.Key}, state: runFinal, ended: now,
			outcome: contract.RunReport{Key: e.Key, State: e.State, Worker: t.address.Worker, Ran: true},
		}
	}
	return found
}

// loseOwnership records that another VM has taken a worker. Its runs are for that VM to report. p.mu is held.
func (p *Pool) loseOwnership(t *ownedHost, now time.Time, fx *effects) {
	if t.host.Token == 0 {
		return
	}
	p.o.Logger.Warn("worker has been taken by another VM", "worker", t.address.Worker, "token", t.host.Token,
		"runs", len(t.runs))
	p.counter(metric.PoolWorkersLost).Inc(1)
	t.host.Token = 0
	t.lostAt = now
	for _, r := range t.runs {
		if r.state != runStarting {
			p.forget(r, fx)
		}
	}
}

// held records the answer to a look. It reports whether the worker answered.
func (p *Pool) held(t *ownedHost, sent time.Time, reply link.HoldReply, err error) bool {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		p.apply(fx)
	}()
	if t.lost {
		return false
	}
	if err != nil {
		p.o.Calls.Forget(t.address)
		t.host.Unanswered(now.Add(suspectTime))
		if t.failing {
			t.host.Stalled(now)
		}
		t.failing = true
		p.o.Logger.Warn("worker did not answer a look", "worker", t.address.Worker, "runs", len(t.runs), "error", err)
		return false
	}
	t.failing = false
	if reply.OtherLife {
		p.lifeEnded(t, now, &fx)
		return false
	}
	if reply.Born != 0 && reply.Born != t.born {
		p.restarted(t, reply, now)
	}
	t.host.SetClock(reply.Clock, now)
	if reply.Fenced {
		p.loseOwnership(t, now, &fx)
		return false
	}
	p.takeEnds(t, reply, now, &fx)
	p.compareRunning(t, reply, sent, now, &fx)
	p.match(now, &fx)
	return true
}

// restarted records that a worker has begun a new life. Its lists tell which of the runs were started in it; the others are
// over. p.mu is held.
func (p *Pool) restarted(t *ownedHost, reply link.HoldReply, now time.Time) {
	p.o.Logger.Warn("worker has been restarted", "worker", t.address.Worker, "born", reply.Born, "last_born", t.born,
		"runs", len(t.runs), "running", len(reply.Running))
	t.born = reply.Born
	t.host.Restarted(reply.Clock, now, p.o.Lease)
}

// lifeEnded records that another worker answers at the address: nothing that was ordered before runs any more. p.mu is held.
func (p *Pool) lifeEnded(t *ownedHost, now time.Time, fx *effects) {
	p.o.Logger.Warn("another worker answers at the address", "worker", t.address.Worker, "address", t.address.Address,
		"runs", len(t.runs))
	for _, r := range t.runs {
		if r.state != runStarting {
			p.finish(r, contract.RunEnded, 0, fx)
		}
	}
	t.host.Token = 0
	t.host.Stalled(now)
}

// takeEnds records the ends of runs. p.mu is held.
func (p *Pool) takeEnds(t *ownedHost, reply link.HoldReply, now time.Time, fx *effects) {
	t.unacknowledged = len(reply.Ended) > 0
	for _, e := range reply.Ended {
		t.host.LastSeen = max(t.host.LastSeen, e.Number)
		r, ok := t.runs[e.Key]
		if !ok {
			continue
		}
		took := now.Sub(r.started)
		switch e.State {
		case contract.RunDone:
			t.host.Succeeded(took, r.order.Expected)
			p.learnSpeed(t.host)
		case contract.RunFailed:
			if t.host.Failed(now) {
				p.o.Logger.Warn("worker fails what it starts; suspended", "worker", t.address.Worker)
			}
		}
		p.finish(r, e.State, took, fx)
	}
}

// learnSpeed keeps the typical speed of workers of the same kind. p.mu is held.
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

// compareRunning checks the worker's list of runs against ours. p.mu is held.
func (p *Pool) compareRunning(t *ownedHost, reply link.HoldReply, sent, now time.Time, fx *effects) {
	listed := make(map[contract.RunKey]int, len(reply.Running))
	for _, running := range reply.Running {
		listed[running.Key] = running.Progress
		if _, ok := t.runs[running.Key]; !ok {
			p.stopStray(t, running.Key, now)
		}
	}
	for key, r := range t.runs {
		progress, ok := listed[key]
		switch {
		case ok:
			p.observe(r, progress, now, fx)
		case r.state == runRunning && r.started.Before(sent) && !r.answered.After(sent):
			// The worker knew the run before the look and lists neither the run nor its end.
			p.finish(r, contract.RunEnded, 0, fx)
		}
	}
}

// observe records the progress of a run, and gives up a run that stands still. p.mu is held.
func (p *Pool) observe(r *run, progress int, now time.Time, fx *effects) {
	if r.state == runDoubtful && !r.unwanted {
		// Looks that were sent before this one was answered prove nothing about the run.
		r.state, r.answered = runRunning, now
		fx.report(r)
	}
	if progress != r.progress {
		r.progress, r.progressAt = progress, now
		return
	}
	if r.state != runRunning || r.unwanted || now.Sub(r.progressAt) < stallTimeout {
		return
	}
	p.o.Logger.Warn("run stands still; stopping it", "task", r.order.Key.String(), "worker", r.host.address.Worker,
		"progress", progress, "since_progress", now.Sub(r.progressAt))
	p.counter(metric.PoolRunsStalled).Inc(1)
	r.unwanted = true
	r.host.host.Stalled(now)
	fx.stops = append(fx.stops, r)
}

// stopStray stops a run that nobody of this VM has ordered: a start that was carried out late. p.mu is held.
func (p *Pool) stopStray(t *ownedHost, key contract.RunKey, now time.Time) {
	r := &run{order: contract.TaskOrder{Key: key, Need: p.typical}, state: runRunning, host: t,
		unwanted: true, queued: now, started: now, progressAt: now}
	t.host.Reserve(r.order.Need)
	t.runs[key] = r
	p.runs[key] = r
	p.o.Logger.Warn("worker runs a task that was not ordered; stopping it", "task", key.String(),
		"worker", t.address.Worker)
	p.spawn(func() { p.stop(r) })
}
