package edge

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/standin"
)

// workerNetwork is the network between the daemons and the workers: calls take time, overtake each other, are executed
// late or get no reply. A worker answers only at its own address. mu guards all fields below it.
type workerNetwork struct {
	d *deployment
	// lateSurvives makes late calls reach the worker that has been restarted under the same id since they were sent.
	lateSurvives bool

	mu  sync.Mutex
	rng *rand.Rand
	// at maps an address to the worker that listens there. A worker that is down listens nowhere.
	at map[string]string
	// latePercent and lostPercent are the shares of calls that are executed late, and of replies that are lost.
	latePercent, lostPercent int
	// frozen maps a VM whose processes are suspended to a channel that is closed when they continue.
	frozen map[string]chan struct{}
}

func newWorkerNetwork(seed uint64, lateSurvives bool) *workerNetwork {
	return &workerNetwork{
		rng: rand.New(rand.NewPCG(seed, 4)), lateSurvives: lateSurvives, at: make(map[string]string),
		frozen: make(map[string]chan struct{}),
	}
}

// awaitRunning returns once the processes of a VM are not suspended.
func (w *workerNetwork) awaitRunning(vm string) {
	for {
		w.mu.Lock()
		frozen := w.frozen[vm]
		w.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// now returns the clock of a VM. While the VM is suspended, no process there reads it. Links read it with a lock held,
// which would block virtual time; while a VM is suspended, their data is delayed anyway.
func (w *workerNetwork) now(vm string) func() time.Time {
	return func() time.Time {
		if pc, _, _, ok := runtime.Caller(1); !ok || !strings.Contains(runtime.FuncForPC(pc).Name(), "/link.") {
			w.awaitRunning(vm)
		}
		return time.Now()
	}
}

// setListening lets a worker listen at an address; an empty worker leaves the address unused.
func (w *workerNetwork) setListening(address, worker string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.at, address)
	if worker != "" {
		w.at[address] = worker
	}
}

// callFate is what happens to one call.
type callFate struct {
	way, back, late time.Duration
	lost            bool
}

func (w *workerNetwork) fate() callFate {
	w.mu.Lock()
	defer w.mu.Unlock()
	latency := func() time.Duration {
		if w.rng.IntN(20) == 0 {
			return time.Duration(w.rng.IntN(70_000)) * time.Microsecond
		}
		return time.Duration(300+w.rng.IntN(4000)) * time.Microsecond
	}
	f := callFate{way: latency(), back: latency(), lost: w.rng.IntN(100) < w.lostPercent}
	if w.rng.IntN(100) < w.latePercent {
		f.late = 500*time.Millisecond + time.Duration(w.rng.Int64N(int64(maxLateness-500*time.Millisecond)))
	}
	return f
}

// faultyCalls are the calls to workers as one VM makes them over a workerNetwork.
type faultyCalls struct {
	w  *workerNetwork
	vm string
}

// exchange makes a call. execute runs it on the worker; its result is returned if its reply arrives before ctx ends.
func exchange[R any](
	ctx context.Context, c faultyCalls, a link.HostAddress, otherWorker R, execute func(context.Context, *standin.RunHost) (R, error),
) (R, error) {
	var none R
	inDoubt := fault.InDoubt.New("worker %s does not answer", a.Worker)
	c.w.awaitRunning(c.vm)
	if ctx.Err() != nil {
		return none, inDoubt
	}
	f := c.w.fate()
	time.Sleep(f.way)
	if c.w.d.net.isCut(c.vm, a.Worker) {
		<-ctx.Done()
		return none, inDoubt
	}
	c.w.mu.Lock()
	worker := c.w.at[a.Address]
	c.w.mu.Unlock()
	h := c.w.d.hosts[a.Worker]
	switch {
	case worker == "":
		return none, fault.NotStarted.New("worker %s refuses connections", a.Worker)
	case worker != a.Worker:
		return otherWorker, nil
	}
	born := h.StartTime()
	if f.late > 0 {
		time.AfterFunc(f.late, func() {
			c.w.mu.Lock()
			listening := c.w.at[a.Address] == a.Worker
			c.w.mu.Unlock()
			if listening && (c.w.lateSurvives || h.StartTime() == born) {
				late, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				_, _ = execute(late, h)
			}
		})
		<-ctx.Done()
		return none, inDoubt
	}
	reply, err := execute(ctx, h)
	if err == nil {
		time.Sleep(f.back)
	}
	lost := f.lost || c.w.d.net.isCut(c.vm, a.Worker) || c.w.d.net.isCut(a.Worker, c.vm)
	c.w.awaitRunning(c.vm)
	if err != nil || lost || ctx.Err() != nil {
		<-ctx.Done()
		return none, inDoubt
	}
	return reply, nil
}

type startReply struct {
	verdict link.StartVerdict
	reply   link.HostReply
}

func (c faultyCalls) Start(
	ctx context.Context, a link.HostAddress, s link.HostStart,
) (link.StartVerdict, link.HostReply, error) {
	r, err := exchange(ctx, c, a, startReply{verdict: link.StartOtherWorker, reply: link.HostReply{OtherWorker: true}},
		func(ctx context.Context, h *standin.RunHost) (startReply, error) {
			verdict, reply, err := h.Start(ctx, s)
			return startReply{verdict, reply}, err
		})
	return r.verdict, r.reply, err
}

func (c faultyCalls) Stop(
	ctx context.Context, a link.HostAddress, key contract.RunKey, token uint64,
) (link.HostReply, error) {
	ctx, cancel := c.w.d.awaitStop(ctx)
	defer cancel()
	return exchange(ctx, c, a, link.HostReply{OtherWorker: true},
		func(ctx context.Context, h *standin.RunHost) (link.HostReply, error) { return h.Stop(ctx, key, token) })
}

func (c faultyCalls) Poll(ctx context.Context, a link.HostAddress, poll link.HostPoll) (link.PollReply, error) {
	return exchange(ctx, c, a, link.PollReply{HostReply: link.HostReply{OtherWorker: true}},
		func(ctx context.Context, h *standin.RunHost) (link.PollReply, error) {
			born := h.StartTime()
			reply, err := h.Poll(ctx, poll)
			if err == nil && !reply.Fenced && reply.StartTime != born {
				return reply, fault.InDoubt.New("worker %s has crashed", a.Worker)
			}
			reply.Running, reply.Ended = slices.Clone(reply.Running), slices.Clone(reply.Ended)
			return reply, err
		})
}

func (c faultyCalls) CloseIdleConnections(link.HostAddress) {}
