package batch_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/pool"
	"github.com/cicadadale/cicadadale/standin"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	peakHome    = "home/1"
	peakBackend = "s"
	// peakLatency is the time that a message between members takes, peakStatusInterval the time between the statuses of an owner.
	peakLatency        = time.Millisecond
	peakStatusInterval = 20 * time.Millisecond
	// peakTaskCores is the mean size of a task. The workers have room for two or three of them.
	peakTaskCores = 16
)

// peakOwnerCount is the number of owners, peakWorkers are the cores of the workers of each. A third of the workers have room for
// three tasks, or for a large one beside another.
const peakOwnerCount = 16

var peakWorkers = []int{32, 32, 48, 32, 32, 48, 32, 32, 48, 32, 32, 48}

// peakRoute is a route of the load: its jobs have tasks of about the same run time, which varies between jobs.
type peakRoute struct {
	name     string
	priority int
	tasks    int
	run      time.Duration
	// demand is its share of the work of all routes.
	demand float64
}

// peakRoutes is a load of urgent short jobs, of pairs, and of long jobs.
var peakRoutes = []peakRoute{
	{"urgent", 0, 8, 50 * time.Millisecond, 0.18},
	{"pairs", 1, 2, 200 * time.Millisecond, 0.52},
	{"long", 2, 4, 900 * time.Millisecond, 0.30},
}

// peakResult counts the jobs of a route by what their callers got, and those of the largest tenth.
type peakResult struct {
	jobs, onTime, late, useless, refused, other int
	large, largeOnTime, largeLate               int
	// lastRefusal is the longest time to a refusal, as a multiple of the latency target.
	lastRefusal float64
}

func (r *peakResult) share() float64 { return float64(r.onTime) / float64(max(r.jobs, 1)) }

// peak is a home with owners of workers in virtual time. mu guards the fields below it.
type peak struct {
	home     *batch.Home
	capacity *zone.CapacityView
	pools    map[string]*pool.Pool
	links    map[string]chan delayed
	hosts    peakHosts
	listings map[string][]machine.Listing
	members  sync.WaitGroup
	done     chan struct{}
	random   *rand.Rand

	mu      sync.Mutex
	runs    map[string][]time.Duration
	sizes   map[string]int
	results map[string]*peakResult
}

// delayed is a message under way.
type delayed struct {
	at      time.Time
	deliver func()
}

type peakHosts map[string]*standin.RunHost

func (h peakHosts) Start(ctx context.Context, a link.HostAddress, s link.HostStart) (link.StartVerdict, link.HostReply, error) {
	return h[a.Worker].Start(ctx, s)
}

func (h peakHosts) Stop(ctx context.Context, a link.HostAddress, k contract.RunKey, token uint64) (link.HostReply, error) {
	return h[a.Worker].Stop(ctx, k, token)
}

func (h peakHosts) Poll(ctx context.Context, a link.HostAddress, p link.HostPoll) (link.PollReply, error) {
	return h[a.Worker].Poll(ctx, p)
}

func (h peakHosts) CloseIdleConnections(link.HostAddress) {}

// noObserver implements standin.RunObserver.
type noObserver struct{}

func (noObserver) Started(string, contract.RunKey)                             {}
func (noObserver) Ended(string, contract.RunKey, contract.RunState, time.Time) {}

// peakOwners passes the messages of the home to the owners.
type peakOwners struct{ p *peak }

func (o peakOwners) LastContact(_ string, limit time.Time) batch.Contact {
	if now := time.Now(); now.Before(limit) {
		limit = now
	}
	return batch.Contact{Timestamp: 1, ReceivedAt: limit}
}

func (o peakOwners) Order(owner string, order contract.TaskOrder, echo batch.Contact) {
	o.p.send("to "+owner, func() { o.p.pools[owner].Order(peakHome, order, echo.ReceivedAt) })
}

func (o peakOwners) Refresh(p batch.PoolRef, keys []contract.RunKey, echo batch.Contact) {
	o.p.send("to "+p.Owner, func() { o.p.pools[p.Owner].Refresh(peakHome, keys, echo.ReceivedAt) })
}

func (o peakOwners) Withdraw(p batch.PoolRef, keys []contract.RunKey) {
	o.p.send("to "+p.Owner, func() { o.p.pools[p.Owner].Withdraw(peakHome, keys) })
}

func (o peakOwners) Recall(p batch.PoolRef, keys []contract.RunKey) {
	o.p.send("to "+p.Owner, func() { o.p.pools[p.Owner].Recall(peakHome, keys) })
}

func (o peakOwners) JobStarted(p batch.PoolRef, keys []contract.RunKey) {
	o.p.send("to "+p.Owner, func() { o.p.pools[p.Owner].JobStarted(keys) })
}

func (o peakOwners) Acknowledge(p batch.PoolRef, keys []contract.RunKey) {
	o.p.send("to "+p.Owner, func() { o.p.pools[p.Owner].Acknowledge(keys) })
}

func (p *peak) send(link string, deliver func()) {
	p.links[link] <- delayed{time.Now().Add(peakLatency), deliver}
}

func (p *peak) addLink(name string) {
	messages := make(chan delayed, 1<<16)
	p.links[name] = messages
	p.members.Go(func() {
		for {
			select {
			case m := <-messages:
				time.Sleep(time.Until(m.at))
				m.deliver()
			case <-p.done:
				return
			}
		}
	})
}

// newPeak returns a home and owners of workers.
func newPeak(owners int, seed uint64, overload contract.OverloadPolicy) *peak {
	p := &peak{
		capacity: zone.NewCapacityView(peakHome, "z"), pools: make(map[string]*pool.Pool), links: make(map[string]chan delayed),
		hosts: make(peakHosts), listings: make(map[string][]machine.Listing), done: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1)),
		runs: make(map[string][]time.Duration), sizes: make(map[string]int), results: make(map[string]*peakResult),
	}
	for i := range owners {
		p.addOwner(fmt.Sprintf("owner-%d/1", i), overload)
	}
	for id, list := range p.listings {
		p.pools[id].SetHosts(list)
	}
	ledger := contract.NewLateStartLedger()
	p.home = batch.New(batch.Options{
		Self: peakHome, Owners: peakOwners{p}, Members: newMajority(), Capacity: p.capacity, Overload: overload,
		Crashes: contract.NewCrashLedger(), Cancels: contract.NewCancelLedger(), Held: contract.NewHeldLedger(),
		LateStarts: ledger, OwnerOf: func(string) (string, bool) { return "", false },
		Fits: func(string, machine.Resources, string) (bool, bool) { return true, true }, Now: time.Now,
		Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	time.Sleep(300 * time.Millisecond)
	return p
}

func (p *peak) addOwner(id string, overload contract.OverloadPolicy) {
	p.addLink("to " + id)
	p.addLink("from " + id)
	var list []machine.Listing
	for i, cores := range peakWorkers {
		worker := fmt.Sprintf("%s-w%d", id, i)
		capacity := machine.Resources{CPUMillis: cores * 1000}
		p.hosts[worker] = standin.NewRunHost(standin.RunHostOptions{
			ID: worker, Capacity: capacity, MaxLease: time.Second, Observer: noObserver{},
			Plan: func(k contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: p.runTime(k)} },
			Need: func(k contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: p.size(k.Batch)} },
		})
		list = append(list, machine.Listing{Worker: worker, Backend: peakBackend, Address: worker,
			StartTime: p.hosts[worker].StartTime(), Capacity: capacity})
	}
	owner := pool.New(pool.Options{
		Backend: peakBackend, Calls: p.hosts, Lease: time.Second, Policy: pool.Policy{GuardsCapacity: true, SoleBackend: true},
		Now: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(), Overload: overload,
		Confinement: contract.NewConfinement(), Crashed: func(contract.WorkerCrash) {}, Takeover: func(contract.Takeover) {},
		Report: func(_ string, r contract.RunReport) {
			p.send("from "+id, func() { p.home.Report(batch.PoolRef{Owner: id, Backend: peakBackend}, r) })
		},
	})
	p.listings[id] = list
	p.pools[id] = owner
	p.members.Go(func() {
		ticker := time.NewTicker(peakStatusInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				capacity := owner.FreeCapacity()
				p.capacity.Update(id, "z", false, map[string]*zone.BackendCapacity{peakBackend: &capacity})
			case <-p.done:
				return
			}
		}
	})
}

func (p *peak) runTime(k contract.RunKey) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[k.Batch][k.Index]
}

func (p *peak) size(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sizes[job]
}

// play submits jobs for a time, at a multiple of the work that the workers can do.
func (p *peak) play(load float64, d time.Duration) {
	const meanPacking = 0.9
	cores := 0.0
	for range p.pools {
		for _, c := range peakWorkers {
			cores += float64(c)
		}
	}
	var callers sync.WaitGroup
	var routes sync.WaitGroup
	for i, r := range peakRoutes {
		work := float64(r.tasks) * r.run.Seconds() * peakTaskCores
		rate := load * meanPacking * cores * r.demand / work
		random := rand.New(rand.NewPCG(p.random.Uint64(), uint64(i)))
		p.results[r.name] = &peakResult{}
		routes.Go(func() {
			end := time.Now().Add(d)
			for n := 0; ; n++ {
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				if !time.Now().Before(end) {
					return
				}
				b, target := p.newJob(r, n, random)
				callers.Go(func() { p.submit(b, target) })
			}
		})
	}
	routes.Wait()
	callers.Wait()
}

// newJob returns a job of a route and its latency target.
func (p *peak) newJob(r peakRoute, n int, random *rand.Rand) (contract.Batch, time.Duration) {
	const (
		jobSpread, taskSpread = 0.4, 0.15
		minCores, maxCores    = 4, 24
		sizeSpread            = 0.2
	)
	id := fmt.Sprintf("%s-%d", r.name, n)
	run := r.run.Seconds() * math.Exp(jobSpread*random.NormFloat64()-jobSpread*jobSpread/2)
	cores := min(max(peakTaskCores*(1+sizeSpread*random.NormFloat64()), minCores), maxCores)
	var runs []time.Duration
	longest := time.Duration(0)
	for range r.tasks {
		t := time.Duration(run * max(1+taskSpread*random.NormFloat64(), 0.1) * float64(time.Second))
		runs = append(runs, t)
		longest = max(longest, t)
	}
	target := time.Duration(1.6*float64(longest)) + 60*time.Millisecond
	p.mu.Lock()
	p.runs[id], p.sizes[id] = runs, int(cores*1000)
	p.mu.Unlock()
	now := time.Now()
	return contract.Batch{
		ID: id, Route: r.name, Backend: peakBackend, Attempts: 2, Priority: r.priority, TargetFactor: 1.6,
		TargetSlack: 60 * time.Millisecond, Accepted: now, Deadline: now.Add(max(1500*time.Millisecond, 4*target)),
		Steps: []contract.Step{{Count: r.tasks, Need: machine.Resources{CPUMillis: int(cores * 1000)},
			Estimate: time.Duration(run * 1.25 * float64(time.Second))}},
	}, target
}

func (p *peak) submit(b contract.Batch, target time.Duration) {
	answer := p.home.Submit(context.Background(), b)
	took := time.Since(b.Accepted)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.results[b.Route]
	// A tenth of the tasks are larger than this.
	large := b.Steps[0].Need.CPUMillis > 20_000
	r.jobs++
	if large {
		r.large++
	}
	switch {
	case answer.Outcome == batch.Refused:
		r.refused++
		r.lastRefusal = max(r.lastRefusal, took.Seconds()/target.Seconds())
	case answer.Outcome != batch.Completed:
		r.other++
	case took <= target:
		r.onTime++
		if large {
			r.largeOnTime++
		}
	case took <= 3*target:
		r.late++
		if large {
			r.largeLate++
		}
	default:
		r.useless++
	}
}

func (p *peak) close() {
	p.home.Close()
	close(p.done)
	for _, owner := range p.pools {
		owner.Close()
	}
	p.members.Wait()
}

// playPeak plays a load for six seconds.
func playPeak(t *testing.T, load float64, seed uint64, overload contract.OverloadPolicy) map[string]*peakResult {
	t.Helper()
	var results map[string]*peakResult
	synctest.Test(t, func(*testing.T) {
		p := newPeak(peakOwnerCount, seed, overload)
		defer p.close()
		p.play(load, 6*time.Second)
		results = p.results
	})
	for _, r := range peakRoutes {
		got := results[r.name]
		t.Logf("load %.2f, shed %v, %s: %.2f on time, %+v", load, overload.Shed, r.name, got.share(), *got)
	}
	return results
}

// Guards against a peak in which workers run jobs whose answer is of no use, callers hear late that their job is refused, the route of
// the lowest priority or the large jobs hardly run, and against all that being bought with less work that is answered on time. The
// demand is 1.4 times what the workers can do.
func TestSheddingAtPeak(t *testing.T) {
	off := playPeak(t, 1.4, 1, contract.OverloadPolicy{})
	on := playPeak(t, 1.4, 1, contract.OverloadPolicy{Shed: true})
	best, worst := 0.0, 1.0
	for _, route := range peakRoutes {
		r := on[route.name]
		best, worst = max(best, r.share()), min(worst, r.share())
		require.LessOrEqual(t, r.useless+r.other, r.jobs/50, "%s: jobs that end when it is of no use", route.name)
		require.Less(t, r.lastRefusal, 2.0, "%s: the latest refusal, as a multiple of the target", route.name)
		served, servedLarge := r.onTime+r.late, r.largeOnTime+r.largeLate
		others := float64(served-servedLarge) / float64(r.jobs-r.large)
		require.Greater(t, float64(servedLarge)/float64(r.large), others/2, "%s: large jobs", route.name)
	}
	require.Greater(t, worst, best/2, "shares of the routes on time")
	require.Greater(t, workOnTime(on), workOnTime(off))
}

// workOnTime returns the expected work of the jobs that were answered on time.
func workOnTime(results map[string]*peakResult) float64 {
	sum := 0.0
	for _, r := range peakRoutes {
		sum += float64(results[r.name].onTime*r.tasks) * r.run.Seconds()
	}
	return sum
}

// Guards against a refusal while there is room: the demand is less than the workers can do.
func TestNothingIsShedInCalm(t *testing.T) {
	on := playPeak(t, 0.7, 1, contract.OverloadPolicy{Shed: true})
	for _, route := range peakRoutes {
		require.Zero(t, on[route.name].refused, route.name)
		require.Greater(t, on[route.name].share(), 0.95, route.name)
	}
}
