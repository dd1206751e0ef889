package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	// stopGrace is the time from a stop call until the run has ended.
	stopGrace = 20 * time.Millisecond
	// maxEndedListed bounds the ended runs in one reply.
	maxEndedListed = 500
)

// RunPlan is the planned course of a run: how long it takes, and whether it fails or never ends by itself.
type RunPlan struct {
	Duration time.Duration
	Fails    bool
	Stalls   bool
	// CrashesFor is how long the worker refuses connections after the run has crashed it at the end of Duration; zero for a
	// run that does not crash it. Afterwards it runs again, under another id if Replaced is set.
	CrashesFor time.Duration
	Replaced   bool
}

// RunObserver is notified of the starts and ends of runs on all workers. Its methods are called with the worker's mutex
// held.
type RunObserver interface {
	Started(worker string, key contract.RunKey)
	// Ended is called with the time at which the run ended. For an expired lease it may be earlier than the call.
	Ended(worker string, key contract.RunKey, state contract.RunState, at time.Time)
}

// RunHost is a stand-in for a worker of the users' platform: it checks fencing tokens, runs tasks under a lease and
// lists ended runs. mu guards all fields below it.
type RunHost struct {
	id       string
	capacity machine.Resources
	maxLease time.Duration
	plan     func(key contract.RunKey) RunPlan
	need     func(key contract.RunKey) machine.Resources
	observer RunObserver

	mu        sync.Mutex
	startTime time.Time
	fence     uint64        // highest fencing token
	leaseEnd  time.Duration // end of the lease on the worker's clock
	used      machine.Resources
	running   map[contract.RunKey]*hostRun
	// superseded maps a task to its last run that was stopped or has ended. This run and earlier ones cannot start.
	superseded map[contract.RunKey]uint64
	endedRuns  []link.EndedRun
	endedCount uint64
	// changed is closed and replaced when a run ends, the worker crashes or refuses connections.
	changed    chan struct{}
	leaseTimer *time.Timer
	down       bool
	// incarnation counts the crashes.
	incarnation int
	// refuses is set while the worker refuses connections, and those of a crashed process are closed; replaced once a worker
	// with another id answers at its address.
	refuses  bool
	replaced bool
	// delay is the time after which starts and stops are executed. While it is set, no call is answered. Zero disables
	// the delay.
	delay time.Duration
	// delayEveryNth delays every nth call by nthDelay; zero disables this.
	delayEveryNth int
	nthDelay      time.Duration
	calls         int
	// losesReplies makes the worker execute starts without replying.
	losesReplies bool
	// rejects makes the worker reject every start as unhealthy.
	rejects bool
	held    heldStarts
	late    lateOrders
	// unguarded makes the worker start tasks for which it has no capacity left; overfilled counts these.
	unguarded  bool
	overfilled int
}

// hostRun is a run on a RunHost.
type hostRun struct {
	key     contract.RunKey
	started time.Time
	plan    RunPlan
	timer   *time.Timer
	// stopping is true after a stop call. The run still uses capacity until it ends.
	stopping bool
}

// RunHostOptions configures a RunHost. Plan returns the course of a run, Need the resources that it uses.
type RunHostOptions struct {
	ID       string
	Capacity machine.Resources
	MaxLease time.Duration
	Plan     func(key contract.RunKey) RunPlan
	Need     func(key contract.RunKey) machine.Resources
	Observer RunObserver
	// Unguarded is set for a worker that starts whatever it is told to start.
	Unguarded bool
}

// NewRunHost returns a worker without runs.
func NewRunHost(o RunHostOptions) *RunHost {
	return &RunHost{
		id: o.ID, capacity: o.Capacity, maxLease: o.MaxLease, plan: o.Plan, need: o.Need, observer: o.Observer,
		unguarded: o.Unguarded, startTime: time.Now(), running: make(map[contract.RunKey]*hostRun),
		superseded: make(map[contract.RunKey]uint64), changed: make(chan struct{}),
	}
}

// StartTime returns the start time of the worker's current incarnation, in Unix milliseconds.
func (h *RunHost) StartTime() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.startTime.UnixMilli()
}

func (h *RunHost) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// SetCapacity changes the worker's capacity. What runs continues.
func (h *RunHost) SetCapacity(capacity machine.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.capacity = capacity
}

// Overfilled returns the number of starts that have brought an unguarded worker over its capacity.
func (h *RunHost) Overfilled() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.overfilled
}

// Crash ends all runs and discards all state. The worker does not answer until Restart.
func (h *RunHost) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crash()
}

// crash expects h.mu to be held.
func (h *RunHost) crash() {
	h.expire()
	h.down = true
	h.incarnation++
	for _, r := range h.running {
		h.endRun(r, contract.RunEnded, time.Now())
	}
	h.fence, h.leaseEnd, h.endedRuns, h.endedCount = 0, 0, nil, 0
	clear(h.superseded)
	h.notify()
}

// notify releases the polls that wait for a change. It expects h.mu to be held.
func (h *RunHost) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// crashBy crashes the worker as the plan of a run says.
func (h *RunHost) crashBy(r *hostRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	if h.running[r.key] != r {
		return
	}
	h.crash()
	h.refuses = true
	h.notify()
	time.AfterFunc(r.plan.CrashesFor, func() {
		h.Restart()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.replaced = h.replaced || r.plan.Replaced
	})
}

// isReplaced reports whether another worker answers at the address.
func (h *RunHost) isReplaced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replaced
}

// Restart starts a new incarnation of the worker.
func (h *RunHost) Restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down, h.refuses, h.startTime = false, false, time.Now()
}

func (h *RunHost) clock() time.Duration { return time.Since(h.startTime) }

func (h *RunHost) reply() link.HostReply {
	return link.HostReply{Clock: h.clock().Truncate(time.Millisecond), StartTime: h.startTime.UnixMilli()}
}

// admit checks a call's fencing token, and records it if it is the highest. h.mu must be held.
func (h *RunHost) admit(token uint64) bool {
	if token < h.fence {
		return false
	}
	h.fence = token
	return true
}

// Start executes a start call. Start, Stop and Poll are the calls of link.HostCalls, for one worker.
func (h *RunHost) Start(ctx context.Context, s link.HostStart) (link.StartVerdict, link.HostReply, error) {
	if err := h.connectionError(); err != nil {
		return 0, link.HostReply{}, err
	}
	if h.isReplaced() {
		return link.StartOtherWorker, link.HostReply{OtherWorker: true}, nil
	}
	if h.holds(s) || h.delaysStart(s) || !h.deliver(func() { h.start(s) }) {
		return 0, link.HostReply{}, h.awaitTimeout(ctx)
	}
	verdict, reply := h.start(s)
	if h.isLosingReplies() {
		return 0, link.HostReply{}, fault.InDoubt.New("the connection to worker %s was reset", h.id)
	}
	return verdict, reply, nil
}

func (h *RunHost) start(s link.HostStart) (link.StartVerdict, link.HostReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	reply := h.reply()
	if h.rejects {
		return link.StartUnhealthy, reply
	}
	if !h.admit(s.Token) {
		return link.StartFenced, reply
	}
	if _, ok := h.running[s.Key]; ok {
		h.extend(s.LeaseEnd)
		return link.StartAccepted, reply
	}
	if s.LeaseEnd <= h.clock() {
		return link.StartExpired, reply
	}
	h.extend(s.LeaseEnd)
	if s.Key.Run <= h.superseded[s.Key.Task()] {
		return link.StartSuperseded, reply
	}
	need := h.need(s.Key)
	if !h.capacity.Minus(h.used).Fits(need) {
		if !h.unguarded {
			return link.StartNoCapacity, reply
		}
		h.overfilled++
	}
	r := &hostRun{key: s.Key, started: time.Now(), plan: h.plan(s.Key)}
	h.used = h.used.Plus(need)
	h.running[s.Key] = r
	h.observer.Started(h.id, s.Key)
	switch {
	case r.plan.CrashesFor > 0:
		r.timer = time.AfterFunc(r.plan.Duration, func() { h.crashBy(r) })
	case !r.plan.Stalls:
		r.timer = time.AfterFunc(r.plan.Duration, func() { h.complete(r) })
	}
	return link.StartAccepted, reply
}

// extend extends the lease of all runs, by at most maxLease from now. h.mu must be held.
func (h *RunHost) extend(end time.Duration) {
	end = min(end, h.clock()+h.maxLease)
	if end <= h.leaseEnd {
		return
	}
	h.leaseEnd = end
	if h.leaseTimer != nil {
		h.leaseTimer.Stop()
	}
	h.leaseTimer = time.AfterFunc(end-h.clock(), h.expireLease)
}

func (h *RunHost) expireLease() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
}

// expire ends the runs if their lease is over. It precedes each change, since the timer may be late. h.mu must be held.
func (h *RunHost) expire() {
	if h.clock() < h.leaseEnd {
		return
	}
	for _, r := range h.running {
		h.endRun(r, contract.RunEnded, h.startTime.Add(h.leaseEnd))
	}
}

func (h *RunHost) complete(r *hostRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	state := contract.RunDone
	if r.plan.Fails {
		state = contract.RunFailed
	}
	if r.stopping {
		state = contract.RunEnded
	}
	h.endRun(r, state, time.Now())
}

// endRun adds a run to the ended ones and frees its capacity. h.mu must be held.
func (h *RunHost) endRun(r *hostRun, state contract.RunState, at time.Time) {
	if h.running[r.key] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(h.running, r.key)
	h.used = h.used.Minus(h.need(r.key))
	h.superseded[r.key.Task()] = max(h.superseded[r.key.Task()], r.key.Run)
	h.endedCount++
	h.endedRuns = append(h.endedRuns, link.EndedRun{Number: h.endedCount, Key: r.key, State: state})
	h.observer.Ended(h.id, r.key, state, at)
	h.notify()
}

// Stop stops a run, or prevents it from starting if it has not started yet.
func (h *RunHost) Stop(ctx context.Context, key contract.RunKey, token uint64) (link.HostReply, error) {
	if err := h.connectionError(); err != nil {
		return link.HostReply{}, err
	}
	if h.isReplaced() {
		return link.HostReply{OtherWorker: true}, nil
	}
	if h.delaysStop(key, token) || !h.deliver(func() { h.stop(key, token) }) {
		return link.HostReply{}, h.awaitTimeout(ctx)
	}
	return h.stop(key, token), nil
}

func (h *RunHost) stop(key contract.RunKey, token uint64) link.HostReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire()
	reply := h.reply()
	if !h.admit(token) {
		reply.Fenced = true
		return reply
	}
	h.superseded[key.Task()] = max(h.superseded[key.Task()], key.Run)
	if r, ok := h.running[key]; ok && !r.stopping {
		r.stopping = true
		if r.timer != nil {
			r.timer.Stop()
		}
		r.timer = time.AfterFunc(stopGrace, func() { h.complete(r) })
	}
	return reply
}
