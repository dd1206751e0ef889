package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	// idlePollInterval is how long a worker without runs may delay its reply to a poll. A poll is always open there: its
	// connection breaks when the process of the worker ends, so that a restart is noticed at once. The replies keep the
	// estimate of the worker's clock current and show an unresponsive worker before tasks are lost to it.
	idlePollInterval = 500 * time.Millisecond
	// minIdlePollInterval is the shortest time between two polls of a worker without runs, in case it does not wait.
	minIdlePollInterval = 100 * time.Millisecond
	// downPollInterval is the pause after a failed poll of a worker without runs.
	downPollInterval = 100 * time.Millisecond
	// maxPollWait is how long a worker may delay its reply while no run ends. It is shorter than a third of the lease.
	maxPollWait = 250 * time.Millisecond
	// pollRetry is the pause after a failed poll.
	pollRetry = 10 * time.Millisecond
	// acquireRetry is the pause after a failed acquisition.
	acquireRetry = 50 * time.Millisecond
	// firstPollTimeout is the timeout of the first poll after a successful one; a round trip takes up to 6 ms.
	firstPollTimeout = 80 * time.Millisecond
	// leasePollTimeout is the timeout of later polls while runs have a lease that can still be extended. After a lost poll
	// it leaves time for two more before the lease expires, so that a worker that was silent for half a second keeps its
	// runs.
	leasePollTimeout = 150 * time.Millisecond
	// reconnectDelay is the pause before acquiring a worker that was unreachable. After a partition it gives the other
	// members time to make contact, as one of them may own the worker.
	reconnectDelay = time.Second
	// reacquireDelay is the pause before a worker that was lost to another VM is acquired again, if membership still
	// assigns it to this VM.
	reacquireDelay = 500 * time.Millisecond
	// yieldTime is the same pause while this VM is cut off from a majority of the members. It ends in case the other VM was on
	// the same side of the cut and has given the worker up.
	yieldTime = 10 * time.Second
)

// ownedHost is a worker that this VM owns or tries to acquire, with its runs. address, assignedAt, cancel and the channels do not change;
// the pool's lock guards all other fields.
type ownedHost struct {
	host *machine.Host
	runs map[contract.RunKey]*run
	// leftAt holds when each run left runs, for longer than an answer to a poll may take. An answer to a poll that was sent
	// before is no news of such a run.
	leftAt map[contract.RunKey]time.Time
	// unbarred holds the starts of runs that are over which the worker may still execute.
	unbarred    map[contract.RunKey]*unbarredStart
	address     link.HostAddress
	addressHash uint64
	// assignedAt is when the worker was assigned to this VM.
	assignedAt time.Time
	cancel     context.CancelFunc
	wakeup     chan struct{}
	// restartReply is the reply that has shown a restart, until the worker is acquired from it.
	restartReply *link.PollReply
	// restartNoticed is signalled when a reply shows that the worker has been restarted.
	restartNoticed  chan struct{}
	dropped         bool
	ownershipLostAt time.Time
	// rejectedUntil is when a task may be sent again to a worker that has rejected one as unhealthy.
	rejectedUntil time.Time
	// takenOverAt is when the worker was acquired, unless it had only been restarted under this owner.
	takenOverAt time.Time
	// replaced is set once another worker answers at the address, until this one is acquired again.
	replaced bool
	// restarted is set from the restart of the worker until its new incarnation has been acquired. Until then runs may hold
	// runs of the previous incarnation.
	restarted bool
	// lastToken is the highest token under which this VM has owned the worker.
	lastToken uint64
	// tokenAdvance is how far the next token is ahead of the worker's clock; zero unless the worker has fenced one.
	tokenAdvance time.Duration
	// ignored is a listing that seems to be that of an earlier incarnation; nil if there is none.
	ignored *machine.Listing
	// pollFailed is set when a poll gets no reply, and cleared by the next reply. failedPolls counts those without a reply
	// since the last one.
	pollFailed  bool
	failedPolls int
	// lastFailure is when the last poll without a reply was given up. Polls that were sent before may fail for the same cause.
	lastFailure time.Time
	watch       crashWatch
	// offer is the last offer of the free capacity to other owners.
	offer gapOffer
}

func (h *ownedHost) wake() { signal(h.wakeup) }

// signal sends to a channel with a buffer of one, unless it holds a signal already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// forgetLeft drops the runs that left so long ago that each poll sent before has been answered or given up.
func (h *ownedHost) forgetLeft(now time.Time) {
	for key, at := range h.leftAt {
		if now.Sub(at) > idlePollInterval+callTimeout {
			delete(h.leftAt, key)
		}
	}
}

// maintain owns a worker until ctx ends: it acquires the worker, renews the lease of its runs and collects their
// outcomes.
func (p *Pool) maintain(ctx context.Context, h *ownedHost) {
	var a acquisition
	for ctx.Err() == nil {
		if owned, wait := p.ownership(h); !owned {
			pause(ctx, wait, nil)
			p.tryAcquire(ctx, h, &a)
			continue
		}
		poll, idle := p.nextPoll(h)
		p.pollOwned(ctx, h, poll, idle)
	}
}

// acquisition is the progress of the acquisition of a worker.
type acquisition struct {
	// unreached is set once a probe has had no reply, failed counts those since the last reply.
	unreached bool
	failed    int
}

// tryAcquire makes one attempt to acquire a worker, and pauses before the next one. After a time without contact a worker that has seen
// a token is left to its owner for a while, in case that is only not in contact yet. One that has seen none belongs to nobody, and
// executes starts that were sent to its earlier incarnations until it is acquired.
func (p *Pool) tryAcquire(ctx context.Context, h *ownedHost, a *acquisition) {
	if p.yields(h) {
		pause(ctx, reacquireDelay, nil)
		return
	}
	if p.acquireRestarted(ctx, h) {
		return
	}
	probed, err := p.probe(ctx, h, p.acquireTimeout(h, a.failed))
	switch {
	case err != nil:
		a.unreached = true
		a.failed++
		pause(ctx, p.acquirePause(h), nil)
	case a.unreached && probed.Fenced && !p.hasRestarted(h):
		*a = acquisition{}
		pause(ctx, reconnectDelay, nil)
	case !p.acquire(ctx, h, probed):
		a.failed = 0
		pause(ctx, acquireRetry+rand.N(acquireRetry), nil)
	default:
		*a = acquisition{}
	}
}

// acquireTimeout returns the timeout of the next probe of a worker that is not acquired, given the number of those without a reply. The
// first one allows for a slow reply: a worker without one is left to its owner for a while.
func (p *Pool) acquireTimeout(h *ownedHost, failed int) time.Duration {
	if failed == 0 || p.o.Now().Sub(h.assignedAt) >= contract.LateStartLimit {
		return callTimeout
	}
	return probeTimeout(failed)
}

// acquirePause returns the pause after a probe without a reply. A worker that was assigned not long ago may execute starts of its last
// owner once it answers.
func (p *Pool) acquirePause(h *ownedHost) time.Duration {
	if p.o.Now().Sub(h.assignedAt) >= contract.LateStartLimit {
		return acquireRetry + rand.N(acquireRetry)
	}
	return probeInterval(p.notAcquired(), p.o.CPUMillis)
}

// notAcquired returns the number of workers that are assigned and not acquired.
func (p *Pool) notAcquired() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		if h.host.Token == 0 {
			n++
		}
	}
	return n
}

// acquireRestarted acquires a worker from the reply that has shown its restart, if there is one. Until then the new incarnation
// executes late starts.
func (p *Pool) acquireRestarted(ctx context.Context, h *ownedHost) bool {
	p.mu.Lock()
	reply := h.restartReply
	h.restartReply = nil
	p.mu.Unlock()
	return reply != nil && p.acquire(ctx, h, *reply)
}

// hasRestarted reports whether this VM owned the previous incarnation of a worker that it has not acquired since.
func (p *Pool) hasRestarted(h *ownedHost) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.restarted
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
func (p *Pool) ownership(h *ownedHost) (bool, time.Duration) {
	now := p.o.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.host.Token != 0 {
		return true, 0
	}
	if h.ownershipLostAt.IsZero() {
		return false, 0
	}
	return false, max(reacquireDelay-now.Sub(h.ownershipLostAt), 0)
}

// yields reports whether a worker that was lost to another VM is left to that one for now: of two sides that both reach the
// worker, the one that is cut off gives way, or the worker would change hands twice a second and lose its runs each time.
func (p *Pool) yields(h *ownedHost) bool {
	now := p.o.Now()
	p.mu.Lock()
	lost := !h.ownershipLostAt.IsZero() && now.Sub(h.ownershipLostAt) < yieldTime
	p.mu.Unlock()
	return lost && p.o.Yield != nil && p.o.Yield()
}

// handleRestart records that a worker has been restarted, and gives it up until its new incarnation is acquired under a
// higher token. The new incarnation has seen no token and knows none of the runs that were stopped on the previous one:
// a start call that is delivered late would run a task there again. p.mu is held.
func (p *Pool) handleRestart(h *ownedHost, reply link.PollReply, now time.Time, fx *effects) {
	p.recordCrash(h, h.watch.endedBy(now), "has been restarted", reply.Running, fx)
	h.watch = crashWatch{}
	p.o.Logger.Warn("worker has been restarted; acquiring it under a new token", "worker", h.address.Worker,
		"born", reply.StartTime, "last_born", h.host.StartTime, "runs", len(h.runs), "running", len(reply.Running),
		"token", h.host.Token, logattr.Since("since_contact", now, h.host.Contacted()))
	p.beginIncarnation(h, reply.HostReply, now, fx)
	h.host.Token, h.restartReply = 0, &reply
	signal(h.restartNoticed)
}

// handleOtherWorker records that another worker answers at the address: no earlier run of this worker is alive, since all
// were started at this address, where the worker has answered under the present token. Whatever entry has named it, the process
// that was there has ended. A run with a start call in progress is left to the result of that call. p.mu is held.
func (p *Pool) handleOtherWorker(h *ownedHost, now time.Time, fx *effects) {
	p.recordCrash(h, h.watch.endedBy(now), "has been replaced", nil, fx)
	h.watch = crashWatch{}
	p.o.Logger.Warn("another worker answers at this address; the runs of the owned worker have ended",
		"worker", h.address.Worker, "address", h.address.Address, "runs", len(h.runs))
	for _, r := range h.runs {
		if r.state != runStarting {
			p.finish(r, contract.RunEnded, proofOtherWorker, 0, fx)
		}
	}
	h.replaced = true
	p.removeAllUnbarred(h)
	p.o.LateStarts.Replaced(h.address.Worker)
	fx.replaced = append(fx.replaced, h.address.Worker)
	h.host.Token = 0
	h.host.Suspend(now)
}
