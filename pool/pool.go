package pool

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// refreshTimeout is the time without a refresh by its home after which a run is stopped. Together with the worker's
	// lease it ends the runs of a dead home before a client submits its job again.
	refreshTimeout = 800 * time.Millisecond
	// leaseAfterRefresh is the longest time from the last refresh of a run to the end of its lease. Clients submit a job
	// again 1.3 s after its home has died, and workers' clocks run up to 2% slow.
	leaseAfterRefresh = 1200 * time.Millisecond
	// maxOrderAge is the age up to which an order can be started on any worker: leases are so much shorter than
	// leaseAfterRefresh. Orders are as old as the owner's timestamp that they echo, which members send every 200 ms, and
	// contacts in other failure domains every 300 ms.
	maxOrderAge = 300 * time.Millisecond
	// maxLease bounds the extension of a lease, whatever workers grant.
	maxLease = leaseAfterRefresh - maxOrderAge
	// minStartLease is the shortest lease with which a task is started.
	minStartLease = 150 * time.Millisecond
	// finalRetention is how long the pool keeps the outcome of a run that its home does not acknowledge, a barred run and
	// the time of a batch's last start.
	finalRetention = 10 * time.Second
	sweepInterval  = 100 * time.Millisecond
	// claimWindow is the time for homes to claim the runs found on a worker after a change of its owner. The home of a
	// run may have died together with the previous owner, and its clients submit their jobs again 1.3 s later.
	claimWindow = 150 * time.Millisecond
)

// Options configure a pool.
type Options struct {
	Backend string
	Calls   link.HostCalls
	// Lease is the longest lease that workers grant.
	Lease time.Duration
	// CPUMillis is the share of a core that the VM has, in thousandths.
	CPUMillis int
	// AdaptStartTimeout makes the timeout of starts follow the time in which workers answer them.
	AdaptStartTimeout bool
	// Policy is what the operators say of the workers at present; see SetPolicy.
	Policy Policy
	// Report sends the state of a run to its home. It is called without holding the lock of the pool.
	Report func(home string, r contract.RunReport)
	// Takeover announces to all homes that this VM has become the owner of a worker.
	Takeover func(t contract.Takeover)
	// Crashed records the crash of a worker, or that one has been refuted, and announces it to all members.
	Crashed func(c contract.WorkerCrash)
	// Yield reports whether this VM leaves workers that it has lost to another one. It may be nil.
	Yield func() bool
	// Overload selects how the queue is ordered while there is too little room.
	Overload contract.OverloadPolicy
	// Confinement names the routes whose tasks start only on some workers.
	Confinement *contract.Confinement
	// LateStarts records the starts without a reply. All pools of a VM share it; nil means one of its own.
	LateStarts *contract.LateStartLedger
	// LateStart announces such a start to all members, WorkerReplaced that a worker cannot execute any, since another one
	// answers at its address. Both are called without holding the lock of the pool and may be nil.
	LateStart      func(s contract.LateStart)
	WorkerReplaced func(worker string)
	// LatestStart returns the start time of a worker that a member has fenced or taken over, zero if there is none. It may
	// be nil, and is called with the lock of the pool held.
	LatestStart func(worker string) int64
	// Room is called when the workers may have free capacity for runs that wait at other owners; see Offer. It is called
	// without holding the lock of the pool; nil if such runs are not wanted.
	Room    func()
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Pool is the shard of one back end: the owned workers, the queued tasks and the runs. mu guards all fields below it.
type Pool struct {
	o          Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu         sync.Mutex
	hosts      map[string]*ownedHost
	runs       map[contract.RunKey]*run
	waiting    queue
	barredRuns map[contract.RunKey]barredRun
	// onWorkers counts the runs of each task that are on workers, or whose start is under way or not barred.
	onWorkers map[contract.RunKey]int
	// speeds is the typical speed of each kind of worker, relative to the mean of the back end. The first label of a
	// listing names the kind.
	speeds map[string]float64
	// lastStarts is the time at which this pool last started a task of a batch, by batch.
	lastStarts map[string]time.Time
	// typicalSize is the moving average of the sizes of ordered tasks, zero until the first one is ordered.
	typicalSize machine.Resources
	policy      Policy
	// callTimes is how long workers take to answer starts.
	callTimes callTimes
	// evacuated is the set of policy, for checks that do not wait for mu. It is replaced under mu.
	evacuated atomic.Pointer[contract.Evacuations]
	// emptying is the worker that is kept free of other tasks for the next task that runs alone; nil if there is none.
	emptying *ownedHost
	// confinementRank ranks the workers from 0 to 1: tasks of a route that is confined to a share of the workers start on
	// those with a lower rank. It is empty while no route is confined.
	confinementRank map[*ownedHost]float64
	// shares is what each route has used lately, shareOrder the order of the queue by it.
	shares     shares
	shareOrder shareOrder
	// offeredAt is when free capacity was last offered, offerDue when offerTimer calls Options.Room; offerTimer is nil while no
	// call is due.
	offeredAt  time.Time
	offerDue   time.Time
	offerTimer *time.Timer
}

// New returns a pool without workers.
func New(o Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		o: o, ctx: ctx, cancel: cancel,
		hosts: make(map[string]*ownedHost), runs: make(map[contract.RunKey]*run),
		barredRuns: make(map[contract.RunKey]barredRun), speeds: make(map[string]float64),
		onWorkers:  make(map[contract.RunKey]int),
		lastStarts: make(map[string]time.Time), confinementRank: make(map[*ownedHost]float64), policy: o.Policy,
		shares: newShares(), shareOrder: shareOrder{used: make(map[shareKey]*float64)},
	}
	if p.o.LateStarts == nil {
		p.o.LateStarts = contract.NewLateStartLedger()
	}
	p.evacuated.Store(&o.Policy.Evacuations)
	p.spawn(p.sweepPeriodically)
	return p
}

// Close ends the maintenance of all workers without stopping their runs, which end when their lease expires.
func (p *Pool) Close() {
	p.cancel()
	p.stopOffers()
	p.goroutines.Wait()
}

func (p *Pool) spawn(f func()) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		f()
	}()
}

// Order queues a task, unless its run is already known. The home cannot have sent the order before sentAfter: an order
// that the network has delayed for too long is rejected, since its home already treats the run as lost.
func (p *Pool) Order(home string, o contract.TaskOrder, sentAfter time.Time) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	p.order(home, o, sentAfter, now, &fx)
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

func (p *Pool) order(home string, o contract.TaskOrder, sentAfter, now time.Time, fx *effects) {
	if r, ok := p.runs[o.Key]; ok {
		if !r.claimed && r.state != runFinal && o.ClaimToken != r.token {
			// The claim answers an earlier takeover. It must not extend the lease, since the home may by now follow the run at
			// another owner.
			p.o.Logger.Info("claim of an earlier ownership ignored", "task", o.Key.String(), "home", home,
				"claim_token", o.ClaimToken, "token", r.token)
			return
		}
		if !r.claimed {
			r.refreshedAt = sentAfter
			p.o.Logger.Info("run found on a worker is claimed by its home", "task", o.Key.String(), "home", home,
				"claim", o.Claim, logattr.Since("older_than", now, sentAfter))
		}
		r.home, r.refreshedAt, r.claimed = home, later(r.refreshedAt, sentAfter), true
		if r.order.Spec == nil {
			p.completeOrder(r, o)
		}
		if r.state != runWaiting {
			fx.report(r)
		}
		return
	}
	if b, ok := p.barredRuns[o.Key]; ok || o.Claim {
		if !ok {
			// The claimed run may be alive on a worker that this VM no longer owns.
			b = barredRun{at: now, state: contract.RunLost}
			p.barredRuns[o.Key] = b
		}
		p.o.Logger.Info("order of a barred run; not started", "task", o.Key.String(), "home", home,
			"state", b.state.String(), "claim", o.Claim)
		fx.reports = append(fx.reports, report{home, p.barredReport(o.Key, b)})
		return
	}
	if now.Sub(sentAfter) > refreshTimeout {
		p.o.Logger.Warn("order was delayed by the network; rejected", "task", o.Key.String(), "home", home,
			logattr.Since("older_than", now, sentAfter))
		p.reportUnknown(home, o.Key, now, fx)
		return
	}
	if !p.feasible(o) {
		fx.reports = append(fx.reports, report{home, contract.RunReport{Key: o.Key, State: contract.RunInfeasible}})
		return
	}
	if o.OnlyWorker != "" && !p.o.LateStarts.Has(o.Key) {
		// The home knows of a late start of which this VM may not have heard.
		p.o.LateStarts.Record(contract.LateStart{Task: o.Key.Task(), Worker: o.OnlyWorker, Until: now.Add(contract.LateStartRetention)})
	}
	p.enqueue(&run{order: o, home: home, refreshedAt: sentAfter, queuedAt: now, claimed: true}, now)
}

// enqueue queues a new run. p.mu is held.
func (p *Pool) enqueue(r *run, now time.Time) {
	o := r.order
	_, started := p.lastStarts[o.Key.Batch]
	r.committed = started || o.JobStarted
	p.runs[o.Key] = r
	p.waiting.push(r)
	p.shares.count(p.isLarge(r), false, now)
	p.recordSuggested(r.home, o)
	p.learnSize(o.Need)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// completeOrder fills in the order of a run that was found on a worker from the claim of its home. p.mu is held.
func (p *Pool) completeOrder(r *run, o contract.TaskOrder) {
	if r.host != nil {
		r.host.host.Release(r.order.Need)
		r.host.host.Reserve(o.Need)
	}
	r.order = o
}

// feasible reports whether a worker of the pool can hold the task once it is idle, by what is known of its present
// incarnation. A task that has to start on one worker waits for it, whatever that worker can hold now. p.mu is held.
func (p *Pool) feasible(o contract.TaskOrder) bool {
	if o.OnlyWorker != "" {
		return p.hosts[o.OnlyWorker] != nil
	}
	for _, h := range p.hosts {
		if h.host.Schedulable() && h.host.CanHold(o.Need, o.RequiredLabel) {
			return true
		}
	}
	return false
}

// Refresh keeps runs alive that their home confirmed later than sentAfter. A run that the pool does not know is
// reported as unknown and never started later.
func (p *Pool) Refresh(home string, keys []contract.RunKey, sentAfter time.Time) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	for _, k := range keys {
		r, ok := p.runs[k]
		if !ok {
			p.reportUnknown(home, k, now, &fx)
			continue
		}
		r.refreshedAt = later(r.refreshedAt, sentAfter)
		if r.state == runFinal {
			// Its claim may have been lost, so the run may not know its home.
			fx.answer(home, r)
		}
	}
	p.mu.Unlock()
	p.apply(fx)
}

// reportUnknown reports a run that the pool does not hold, and bars its start. p.mu is held.
func (p *Pool) reportUnknown(home string, k contract.RunKey, now time.Time, fx *effects) {
	b, ok := p.barredRuns[k]
	if !ok {
		b.state = contract.RunUnknown
		p.o.Logger.Info("run is not known; barring it", "task", k.String(), "home", home)
	}
	b.at = now
	p.barredRuns[k] = b
	fx.reports = append(fx.reports, report{home, p.barredReport(k, b)})
}

// barredReport returns the report of a barred run. p.mu is held.
func (p *Pool) barredReport(k contract.RunKey, b barredRun) contract.RunReport {
	return contract.RunReport{Key: k, State: b.state, Token: b.token}
}

// Withdraw ends runs. Queued runs never start; running ones are stopped.
func (p *Pool) Withdraw(home string, keys []contract.RunKey) { p.withdrawAll(home, keys, false) }

// Recall ends queued runs. Those that have started continue.
func (p *Pool) Recall(home string, keys []contract.RunKey) { p.withdrawAll(home, keys, true) }

func (p *Pool) withdrawAll(home string, keys []contract.RunKey, onlyWaiting bool) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	for _, k := range keys {
		r, ok := p.runs[k]
		if !ok {
			p.reportUnknown(home, k, now, &fx)
			continue
		}
		switch {
		case r.state == runFinal:
			fx.answer(home, r)
		case onlyWaiting && r.state != runWaiting:
			fx.report(r)
		default:
			r.withdrawn = true
			p.withdraw(r, &fx)
		}
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// withdraw ends one run that is not over. p.mu is held.
func (p *Pool) withdraw(r *run, fx *effects) {
	switch r.state {
	case runWaiting:
		p.waiting.remove(r)
		p.finish(r, contract.RunEnded, proofNotStarted, 0, fx)
	case runStarting, runInDoubt:
		// The goroutine that makes the start calls stops the run once the present one has returned.
		r.cancelled = true
		signal(r.resolve)
	case runRunning:
		r.cancelled = true
		fx.stops = append(fx.stops, r)
	}
}

// Acknowledge discards the outcomes of runs. That a run which may yet be started late is over is kept.
func (p *Pool) Acknowledge(keys []contract.RunKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		if r, ok := p.runs[k]; ok && r.state == runFinal {
			delete(p.runs, k)
			if state := r.outcome.State; r.mayHaveRun && (state == contract.RunEnded || state == contract.RunCrashed) {
				p.barredRuns[k] = barredRun{at: p.o.Now(), state: state, token: r.outcome.Token}
			}
		}
	}
}

// HomeUnreachable ends all runs of a home that is no longer reachable. Their outcomes are retained: the home may only
// have been paused, and must not treat a run that took place as one that did not.
func (p *Pool) HomeUnreachable(home string) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	var ended []string
	for _, r := range p.runs {
		if r.home != home || r.state == runFinal {
			continue
		}
		ended = append(ended, r.order.Key.String())
		p.withdraw(r, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	for tasks := range slices.Chunk(ended, logattr.TasksPerLine) {
		p.o.Logger.Info("home is unreachable; stopping its runs", "home", home, "runs", len(ended), "tasks", tasks)
	}
	p.apply(fx)
}

// Idle reports whether no task is queued or running.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.state != runFinal {
			return false
		}
	}
	return true
}

func (p *Pool) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, p.o.Metrics)
}

func (p *Pool) sweepPeriodically() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sweep(p.o.Now())
		case <-p.ctx.Done():
			return
		}
	}
}

// sweep ends runs that were not refreshed or claimed in time, and drops expired records.
func (p *Pool) sweep(now time.Time) {
	var fx effects
	p.mu.Lock()
	p.dropExpired(now)
	for k, r := range p.runs {
		switch {
		case r.state == runFinal && now.Sub(r.endedAt) > finalRetention && !p.o.LateStarts.Has(k):
			delete(p.runs, k)
		case r.state == runFinal || r.cancelled:
		case !r.claimed && now.Sub(r.queuedAt) > claimWindow, r.claimed && now.Sub(r.refreshedAt) > refreshTimeout:
			p.o.Logger.Info("run was not refreshed or claimed; stopping it", "task", k.String(), "home", r.home,
				"claimed", r.claimed, logattr.Since("since_refresh", now, r.refreshedAt))
			p.counter(metric.PoolRunsAbandoned).Inc(1)
			p.withdraw(r, &fx)
		}
	}
	for _, h := range p.hosts {
		h.forgetLeft(now)
		p.sweepHost(h, now, &fx)
		p.expireUnbarred(h, now)
		p.applyIgnored(h, now, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// dropExpired drops records that are not needed any more. p.mu is held.
func (p *Pool) dropExpired(now time.Time) {
	p.o.LateStarts.Expire(now)
	p.shares.dropUnused(now)
	for k, b := range p.barredRuns {
		if now.Sub(b.at) > finalRetention && !p.o.LateStarts.Has(k) {
			delete(p.barredRuns, k)
		}
	}
	for batch, at := range p.lastStarts {
		if now.Sub(at) > finalRetention {
			delete(p.lastStarts, batch)
		}
	}
}
