package pool

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
)

const (
	// ownedProbeInterval is the time between probes of a worker whose present incarnation has seen a fencing token.
	ownedProbeInterval = 100 * time.Millisecond
	// probeCost is what one probe of a worker that is down takes of a core, probeShare the part of a VM's share of a core that all
	// probes together may take.
	probeCost  = 200 * time.Microsecond
	probeShare = 0.1
	// maxFenced bounds the workers that one process probes: each of them takes a goroutine and a connection.
	maxFenced     = 64
	millisPerCore = 1000
)

// FencerOptions configure a fencer.
type FencerOptions struct {
	Calls link.HostCalls
	// CPUMillis is the share of a core that the VM has, in thousandths.
	CPUMillis int
	// Fenced is called with the start time of each incarnation that has been fenced.
	Fenced  func(a link.HostAddress, startTime int64)
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Fencer makes workers that nobody owns reject starts that were sent to their earlier incarnations. A restarted worker has seen no
// fencing token, so it executes such a start until its next owner acquires it, and that takes time after the loss of a failure domain:
// its members have to return, or the others to take its workers over. A fencer takes nothing from anybody: it leaves a worker alone that
// has seen a token, and its own token is lower than that of any owner. mu guards the field below it.
type Fencer struct {
	o          FencerOptions
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// watched holds the workers that are probed, with the function that ends this.
	watched map[link.HostAddress]context.CancelFunc
}

// NewFencer returns a fencer that watches no worker.
func NewFencer(o FencerOptions) *Fencer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Fencer{o: o, ctx: ctx, cancel: cancel, watched: make(map[link.HostAddress]context.CancelFunc)}
}

// Close ends all probes.
func (f *Fencer) Close() {
	f.mu.Lock()
	f.cancel()
	f.mu.Unlock()
	f.goroutines.Wait()
}

// SetWorkers replaces the set of workers that nobody is known to own; all beyond the first maxFenced are left out.
func (f *Fencer) SetWorkers(workers []link.HostAddress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keep := make(map[link.HostAddress]bool, len(workers))
	for _, a := range workers[:min(len(workers), maxFenced)] {
		keep[a] = true
		if _, ok := f.watched[a]; ok || f.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(f.ctx)
		f.watched[a] = cancel
		f.goroutines.Go(func() { f.watch(ctx, a) })
	}
	for a, cancel := range f.watched {
		if !keep[a] {
			cancel()
			delete(f.watched, a)
		}
	}
}

// watch probes a worker until ctx ends, and fences each of its incarnations that nobody has acquired.
func (f *Fencer) watch(ctx context.Context, a link.HostAddress) {
	failed := 0
	for ctx.Err() == nil {
		if f.check(ctx, a, probeTimeout(failed)) {
			failed = 0
			pause(ctx, ownedProbeInterval, nil)
		} else {
			failed++
			pause(ctx, f.downInterval(), nil)
		}
	}
}

// check probes a worker, and fences its incarnation if nobody has acquired that. It reports whether the worker has answered.
func (f *Fencer) check(ctx context.Context, a link.HostAddress, timeout time.Duration) bool {
	reply, err := f.poll(ctx, a, 0, timeout)
	if err != nil {
		return false
	}
	token := lowestToken(reply.StartTime)
	if reply.Fenced || reply.OtherWorker || token == 0 {
		return true
	}
	return f.fence(ctx, a, token, reply.StartTime)
}

// probeTimeout returns the timeout of the next probe of a worker, given the number of those without a reply before.
func probeTimeout(failed int) time.Duration {
	if failed%slowPollEvery == 0 {
		return firstPollTimeout
	}
	return lateStartPollTimeout
}

// downInterval returns the pause after a probe without a reply.
func (f *Fencer) downInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return probeInterval(len(f.watched), f.o.CPUMillis)
}

// probeInterval returns the time between probes of each of some workers that are down. A VM whose share is not known counts as one core.
func probeInterval(workers, cpuMillis int) time.Duration {
	if cpuMillis <= 0 {
		cpuMillis = millisPerCore
	}
	share := float64(cpuMillis) / millisPerCore
	spacing := time.Duration(float64(probeCost) / (probeShare * share))
	return max(time.Duration(workers)*spacing, lateStartPollPause)
}

// fence makes an incarnation reject all calls of owners of earlier ones, and stops what they have started there. It reports whether the
// worker has answered.
func (f *Fencer) fence(ctx context.Context, a link.HostAddress, token uint64, startTime int64) bool {
	reply, err := f.poll(ctx, a, token, callTimeout)
	if err != nil {
		return false
	}
	if reply.Fenced || reply.OtherWorker || reply.StartTime != startTime {
		return true
	}
	metrics.GetOrRegisterCounter(metric.PoolWorkersFenced, f.o.Metrics).Inc(1)
	f.o.Logger.Info("fenced a restarted worker that nobody owns", "worker", a.Worker, "token", token, "born", startTime,
		"worker_clock", reply.Clock, "running", len(reply.Running))
	f.o.Fenced(a, startTime)
	for _, r := range reply.Running {
		f.stop(ctx, a, r.Key, token)
	}
	return true
}

// stop stops a run that an unowned incarnation has begun: its start was sent to an earlier one.
func (f *Fencer) stop(ctx context.Context, a link.HostAddress, key contract.RunKey, token uint64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := f.o.Calls.Stop(callCtx, a, key, token)
	f.o.Logger.Warn("stopping a run that a restarted worker without an owner has begun", "task", key.String(), "worker", a.Worker,
		"token", token, "fenced", reply.Fenced, "error", err)
}

func (f *Fencer) poll(ctx context.Context, a link.HostAddress, token uint64, timeout time.Duration) (link.PollReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := f.o.Calls.Poll(callCtx, a, link.HostPoll{Token: token})
	if err != nil {
		f.o.Calls.CloseIdleConnections(a)
	}
	return reply, err
}
