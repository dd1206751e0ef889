package pool

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// refreshTimeout is the time without a refresh by its home after which a run is stopped. With the lease of a worker
	// it keeps the runs of a lost home shorter than the time after which a client sends its job again.
	refreshTimeout = 800 * time.Millisecond
	// refreshedLease is how long after the last refresh of a run its lease may end. Clients send a job again 1.3 s after its
	// home has died; workers' clocks are up to 2% slow.
	refreshedLease = 1200 * time.Millisecond
	// minStartLease is the least lease with which a task is started.
	minStartLease = 150 * time.Millisecond
	// finalRetention is how long the end of a run is kept for a home that does not acknowledge it.
	finalRetention = 10 * time.Second
	sweepInterval  = 100 * time.Millisecond
	// claimWindow is the time in which homes claim the runs found on a worker that has changed its owner. The home of a run
	// may have died with the last owner, and its clients send their jobs again 1.3 s later.
	claimWindow = 150 * time.Millisecond
)

// Options are the parts of a pool.
type Options struct {
	Backend string
	Calls   link.HostCalls
	// Lease is the longest lease that workers grant.
	Lease time.Duration
	// Report tells the home of a run what became of it. No lock of the pool is held meanwhile.
	Report func(home string, r contract.RunReport)
	// Takeover tells all homes that this VM owns a worker from now on.
	Takeover func(t contract.Takeover)
	Now      func() time.Time
	Logger   *slog.Logger
	Metrics  metrics.Registry
}

// Pool is the shard of one back end: the owned workers, the waiting tasks and the runs. mu guards all fields below it.
type Pool struct {
	o      Options
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex
	hosts   map[string]*ownedHost
	runs    map[contract.RunKey]*run
	waiting queue
	barred  map[contract.RunKey]barrier
	speeds  map[string]float64
	// begun says when a task of a batch has last been started here.
	begun   map[string]time.Time
	typical machine.Resources
}

// barrier keeps a run from being started that the pool does not hold. Its state is what homes are told: RunUnknown if the
// run was never here, RunLost if it may be alive on a worker that another VM has taken.
type barrier struct {
	at    time.Time
	state contract.RunState
}

// New returns a pool without workers.
func New(o Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		o: o, ctx: ctx, cancel: cancel,
		hosts: make(map[string]*ownedHost), runs: make(map[contract.RunKey]*run),
		barred: make(map[contract.RunKey]barrier), speeds: make(map[string]float64), begun: make(map[string]time.Time),
	}
	p.spawn(p.sweepPeriodically)
	return p
}

// Close ends the maintenance of all workers without stopping their runs, which lapse.
func (p *Pool) Close() {
	p.cancel()
	p.tasks.Wait()
}

func (p *Pool) spawn(f func()) {
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		f()
	}()
}

// SetHosts replaces the set of owned workers. A worker that is not owned any more is abandoned at once: its new owner
// takes its runs over. One that is listed at another address has been restarted. Whether one at the same address has been,
// its own answers say: its entry may be older or newer than the life that the runs belong to.
func (p *Pool) SetHosts(listings []machine.Listing) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	keep := make(map[string]bool, len(listings))
	for _, l := range listings {
		keep[l.Worker] = true
		t, ok := p.hosts[l.Worker]
		if ok && t.host.Listing.Address != l.Address {
			p.dropHost(t, true, &fx)
			ok = false
		}
		if !ok {
			p.addHost(l)
			continue
		}
		if l.Draining && !t.host.Listing.Draining {
			p.o.Logger.Info("worker is draining; no new tasks", "worker", l.Worker, "runs", t.host.Runs())
		}
		if l.Born != t.host.Listing.Born {
			t.wake()
		}
		t.host.Listing = l
	}
	for id, t := range p.hosts {
		if !keep[id] {
			p.dropHost(t, false, &fx)
		}
	}
	p.returnInfeasible(&fx)
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// returnInfeasible gives waiting tasks back that no worker of the pool can hold any more. p.mu is held.
func (p *Pool) returnInfeasible(fx *effects) {
	for _, r := range slices.Clone(p.waiting.runs) {
		if !p.feasible(r.order) {
			p.finish(r, contract.RunInfeasible, 0, fx)
		}
	}
}

// addHost starts to maintain a worker. p.mu is held.
func (p *Pool) addHost(l machine.Listing) {
	ctx, cancel := context.WithCancel(p.ctx)
	t := &ownedHost{
		host: machine.NewHost(l, p.speedOf(l)), kick: make(chan struct{}, 1), cancel: cancel,
		runs: make(map[contract.RunKey]*run), address: link.HostAddress{Worker: l.Worker, Address: l.Address},
	}
	p.hosts[l.Worker] = t
	p.spawn(func() { p.maintain(ctx, t) })
}

// speedOf predicts the speed of a worker from others with the same first label, which names its kind. p.mu is held.
func (p *Pool) speedOf(l machine.Listing) float64 {
	if len(l.Labels) > 0 {
		if s, ok := p.speeds[l.Labels[0]]; ok {
			return s
		}
	}
	return 1
}

// dropHost stops maintaining a worker. The runs of a life that has ended are over; the others are for the worker's next
// owner, and their homes learn of them from it. p.mu is held.
func (p *Pool) dropHost(t *ownedHost, lifeEnded bool, fx *effects) {
	t.cancel()
	t.lost = true
	delete(p.hosts, t.host.Listing.Worker)
	for _, r := range t.runs {
		if lifeEnded {
			p.finish(r, contract.RunEnded, 0, fx)
			continue
		}
		p.forget(r, fx)
	}
}

// forget drops a run whose fate another owner decides. p.mu is held.
func (p *Pool) forget(r *run, fx *effects) {
	worker := r.host.host.Listing.Worker
	p.detach(r)
	delete(p.runs, r.order.Key)
	p.barred[r.order.Key] = barrier{at: p.o.Now(), state: contract.RunLost}
	fx.reports = append(fx.reports, report{r.home, contract.RunReport{
		Key: r.order.Key, State: contract.RunLost, Worker: worker, Ran: r.ran,
	}})
}

// Order queues a task, unless its run is known already. fresh is a time before which the home cannot have sent the order:
// one that the network has delayed is not carried out, since the home counts the run as lost by then.
func (p *Pool) Order(home string, o contract.TaskOrder, fresh time.Time) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	p.order(home, o, fresh, now, &fx)
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

func (p *Pool) order(home string, o contract.TaskOrder, fresh, now time.Time, fx *effects) {
	if r, ok := p.runs[o.Key]; ok {
		if !r.claimed {
			r.refreshed = fresh
		}
		r.home, r.refreshed, r.claimed = home, later(r.refreshed, fresh), true
		if r.order.Spec == nil {
			p.describe(r, o)
		}
		if r.state != runWaiting {
			fx.report(r)
		}
		return
	}
	if b, ok := p.barred[o.Key]; ok || o.Claim {
		if !ok {
			// The claimed run may be alive on a worker that this VM does not own any more.
			b = barrier{at: now, state: contract.RunLost}
			p.barred[o.Key] = b
		}
		fx.reports = append(fx.reports, report{home, contract.RunReport{Key: o.Key, State: b.state}})
		return
	}
	if now.Sub(fresh) > refreshTimeout {
		p.o.Logger.Warn("order was delayed by the network; not carried out", "task", o.Key.String(), "home", home,
			"older_than", now.Sub(fresh))
		p.reportUnknown(home, o.Key, now, fx)
		return
	}
	if !p.feasible(o) {
		fx.reports = append(fx.reports, report{home, contract.RunReport{Key: o.Key, State: contract.RunInfeasible}})
		return
	}
	r := &run{order: o, home: home, refreshed: fresh, queued: now, claimed: true}
	_, r.committed = p.begun[o.Key.Batch]
	r.veryLate = o.Accepted.Add(veryLateFactor * o.Target.Sub(o.Accepted))
	p.runs[o.Key] = r
	p.waiting.push(r)
	p.learnSize(o.Need)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// describe completes a run that was found on a worker with what its home says of it. p.mu is held.
func (p *Pool) describe(r *run, o contract.TaskOrder) {
	if r.host != nil {
		r.host.host.Release(r.order.Need)
		r.host.host.Reserve(o.Need)
	}
	r.order = o
}

// feasible reports whether a worker of the pool can ever hold the task. p.mu is held.
func (p *Pool) feasible(o contract.TaskOrder) bool {
	for _, t := range p.hosts {
		if !t.host.Listing.Draining && t.host.Listing.CanHold(o.Need, o.RequiredLabel) {
			return true
		}
	}
	return false
}

// Refresh keeps runs alive that the home wanted at a time after fresh. For a run that the pool does not know it reports
// so, and never starts it later.
func (p *Pool) Refresh(home string, keys []contract.RunKey, fresh time.Time) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	for _, k := range keys {
		r, ok := p.runs[k]
		if !ok {
			p.reportUnknown(home, k, now, &fx)
			continue
		}
		r.refreshed = later(r.refreshed, fresh)
		if r.state == runFinal {
			fx.report(r)
		}
	}
	p.mu.Unlock()
	p.apply(fx)
}

// reportUnknown answers for a run that the pool does not hold, and bars its start. p.mu is held.
func (p *Pool) reportUnknown(home string, k contract.RunKey, now time.Time, fx *effects) {
	b, ok := p.barred[k]
	if !ok {
		b.state = contract.RunUnknown
	}
	b.at = now
	p.barred[k] = b
	fx.reports = append(fx.reports, report{home, contract.RunReport{Key: k, State: b.state}})
}

// Withdraw ends runs. Those that wait never start; those that run are stopped.
func (p *Pool) Withdraw(home string, keys []contract.RunKey) { p.end(home, keys, false) }

// Recall ends runs that wait. Those that have started go on.
func (p *Pool) Recall(home string, keys []contract.RunKey) { p.end(home, keys, true) }

func (p *Pool) end(home string, keys []contract.RunKey, onlyWaiting bool) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	for _, k := range keys {
		r, ok := p.runs[k]
		if !ok {
			p.reportUnknown(home, k, now, &fx)
			continue
		}
		if onlyWaiting && r.state != runWaiting {
			fx.report(r)
			continue
		}
		p.withdraw(r, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// withdraw ends one run. p.mu is held.
func (p *Pool) withdraw(r *run, fx *effects) {
	switch r.state {
	case runWaiting:
		p.waiting.remove(r)
		p.finish(r, contract.RunEnded, 0, fx)
	case runStarting, runDoubtful:
		// The start's own goroutine stops the run once its call has returned.
		r.unwanted = true
	case runRunning:
		r.unwanted = true
		fx.stops = append(fx.stops, r)
	case runFinal:
		fx.report(r)
	}
}

// Acknowledge releases the ends of runs.
func (p *Pool) Acknowledge(keys []contract.RunKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		if r, ok := p.runs[k]; ok && r.state == runFinal {
			delete(p.runs, k)
		}
	}
}

// HomeGone ends all runs of a home that is not heard any more. Their ends are kept: the home may only have stood still, and
// must not take what has run for what has not.
func (p *Pool) HomeGone(home string) {
	now := p.o.Now()
	var fx effects
	p.mu.Lock()
	ended := 0
	for _, r := range p.runs {
		if r.home != home || r.state == runFinal {
			continue
		}
		ended++
		p.withdraw(r, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	if ended > 0 {
		p.o.Logger.Info("home is gone; its runs are stopped", "home", home, "runs", ended)
	}
	p.apply(fx)
}

// Idle reports whether nothing waits or runs.
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

// sweep ends what nobody wants any more and forgets what is old.
func (p *Pool) sweep(now time.Time) {
	var fx effects
	p.mu.Lock()
	for k, b := range p.barred {
		if now.Sub(b.at) > finalRetention {
			delete(p.barred, k)
		}
	}
	for batch, at := range p.begun {
		if now.Sub(at) > finalRetention {
			delete(p.begun, batch)
		}
	}
	for k, r := range p.runs {
		switch {
		case r.state == runFinal && now.Sub(r.ended) > finalRetention:
			delete(p.runs, k)
		case r.state == runFinal || r.unwanted:
		case !r.claimed && now.Sub(r.queued) > claimWindow, r.claimed && now.Sub(r.refreshed) > refreshTimeout:
			p.o.Logger.Info("run is not wanted any more", "task", k.String(), "home", r.home, "claimed", r.claimed,
				"since_refresh", now.Sub(r.refreshed))
			p.counter(metric.PoolRunsUnwanted).Inc(1)
			p.withdraw(r, &fx)
		}
	}
	for _, t := range p.hosts {
		p.sweepHost(t, now, &fx)
	}
	p.match(now, &fx)
	p.mu.Unlock()
	p.apply(fx)
}

// sweepHost ends the runs of a worker that has not answered for so long that their lease has lapsed. p.mu is held.
func (p *Pool) sweepHost(t *ownedHost, now time.Time, fx *effects) {
	if len(t.runs) == 0 || now.Before(t.host.LapsedBy()) {
		return
	}
	p.o.Logger.Warn("worker does not answer; its runs have lapsed", "worker", t.host.Listing.Worker, "runs", len(t.runs),
		"since_contact", now.Sub(t.host.Contacted()))
	for _, r := range t.runs {
		if r.state == runStarting {
			continue
		}
		p.finish(r, contract.RunEnded, 0, fx)
	}
	t.host.Stalled(now)
}

// Owned returns the workers whose ownership this VM has acquired and not lost.
func (p *Pool) Owned() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, t := range p.hosts {
		if t.host.Token != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Occupied returns the processor time, in thousandths of a core, that the runs on each worker hold, without the idle
// workers.
func (p *Pool) Occupied() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make(map[string]int)
	for id, t := range p.hosts {
		if used := t.host.Listing.Capacity.CPUMillis - t.host.Free().CPUMillis; used != 0 {
			held[id] = used
		}
	}
	return held
}
