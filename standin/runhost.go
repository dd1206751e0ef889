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
	// stopGrace is the time that a stop of a run takes.
	stopGrace = 20 * time.Millisecond
	// maxEndsListed is the number of ends in one answer.
	maxEndsListed = 500
)

// RunOutcome says how a run goes on a worker of the stand-in.
type RunOutcome struct {
	Takes  time.Duration
	Fails  bool
	Stalls bool
}

// RunObserver is told of the starts and ends on all workers, under the lock of none.
type RunObserver interface {
	Started(worker string, key contract.RunKey)
	// Ended is told when the run was over, which for a lapsed lease may be earlier than the call.
	Ended(worker string, key contract.RunKey, state contract.RunState, at time.Time)
}

// RunHost is a worker that fences its callers, leases its runs and lists their ends. mu guards all fields below it.
type RunHost struct {
	id       string
	capacity machine.Resources
	maxLease time.Duration
	work     func(key contract.RunKey) RunOutcome
	need     func(key contract.RunKey) machine.Resources
	observer RunObserver

	mu      sync.Mutex
	born    time.Time
	fence   uint64
	lease   time.Duration
	used    machine.Resources
	running map[contract.RunKey]*hostRun
	barred  map[contract.RunKey]uint64
	ends    []link.EndedRun
	ended   uint64
	changed chan struct{}
	lapse   *time.Timer
	down    bool
	// late holds orders back that get no answer and are carried out after this time.
	late time.Duration
	// lateEach makes each call of that number late by lateBy; zero makes none late.
	lateEach int
	lateBy   time.Duration
	calls    int
	// losesAnswers makes the worker carry starts out without an answer.
	losesAnswers bool
	// rejects makes the worker reject every start as unhealthy.
	rejects bool
}

// hostRun is a run on a RunHost.
type hostRun struct {
	key     contract.RunKey
	started time.Time
	outcome RunOutcome
	timer   *time.Timer
	// stopping runs still take room.
	stopping bool
}

// RunHostOptions are the parts of a RunHost. Work and Need tell what a task does and takes.
type RunHostOptions struct {
	ID       string
	Capacity machine.Resources
	MaxLease time.Duration
	Work     func(key contract.RunKey) RunOutcome
	Need     func(key contract.RunKey) machine.Resources
	Observer RunObserver
}

// NewRunHost returns a worker without runs.
func NewRunHost(o RunHostOptions) *RunHost {
	return &RunHost{
		id: o.ID, capacity: o.Capacity, maxLease: o.MaxLease, work: o.Work, need: o.Need, observer: o.Observer,
		born: time.Now(), running: make(map[contract.RunKey]*hostRun), barred: make(map[contract.RunKey]uint64),
		changed: make(chan struct{}),
	}
}

// Born returns the start of the worker's present life.
func (h *RunHost) Born() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.born.UnixMilli()
}

// SetLate makes the worker carry orders out only after a delay, without an answer. Zero ends it.
func (h *RunHost) SetLate(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.late = d
}

// SetLateEach makes each nth call get no answer and be carried out only after a delay.
func (h *RunHost) SetLateEach(n int, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateEach, h.lateBy = n, delay
}

// SetLosingAnswers makes the worker carry starts out and lose its answers to them.
func (h *RunHost) SetLosingAnswers(loses bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.losesAnswers = loses
}

func (h *RunHost) isLosingAnswers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.losesAnswers
}

// SetRejecting makes the worker reject all starts as unhealthy.
func (h *RunHost) SetRejecting(rejects bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejects = rejects
}

// Crash ends all runs and forgets everything. The worker does not answer until Restart.
func (h *RunHost) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = true
	for _, r := range h.running {
		h.endRun(r, contract.RunEnded, time.Now())
	}
	h.fence, h.lease, h.ends, h.ended = 0, 0, nil, 0
	clear(h.barred)
}

// Restart brings the worker back in a new life.
func (h *RunHost) Restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down, h.born = false, time.Now()
}

func (h *RunHost) clock() time.Duration { return time.Since(h.born) }

func (h *RunHost) reply() link.HostReply {
	return link.HostReply{Clock: h.clock().Truncate(time.Millisecond), Born: h.born.UnixMilli()}
}

// admit checks the fence of a call. h.mu is held.
func (h *RunHost) admit(token uint64) bool {
	if token < h.fence {
		return false
	}
	h.fence = token
	return true
}

// unanswered is the error of a call that gets no answer.
func (h *RunHost) unanswered(ctx context.Context) error {
	<-ctx.Done()
	return fault.InDoubt.New("worker %s does not answer", h.id)
}

// deliver reports whether a call is carried out now; otherwise it may be carried out later.
func (h *RunHost) deliver(order func()) bool {
	h.mu.Lock()
	down, late := h.down, h.late
	if h.calls++; h.lateEach > 0 && h.calls%h.lateEach == 0 {
		late = h.lateBy
	}
	h.mu.Unlock()
	if down {
		return false
	}
	if late > 0 {
		if order != nil {
			time.AfterFunc(late, order)
		}
		return false
	}
	return true
}

// Start carries a start out.
func (h *RunHost) Start(ctx context.Context, s link.HostStart) (link.StartVerdict, link.HostReply, error) {
	if !h.deliver(func() { h.start(s) }) {
		return 0, link.HostReply{}, h.unanswered(ctx)
	}
	verdict, reply := h.start(s)
	if h.isLosingAnswers() {
		return 0, link.HostReply{}, fault.InDoubt.New("the connection to worker %s was reset", h.id)
	}
	return verdict, reply, nil
}

func (h *RunHost) start(s link.HostStart) (link.StartVerdict, link.HostReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
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
	if s.Key.Run <= h.barred[s.Key.Task()] {
		return link.StartSuperseded, reply
	}
	need := h.need(s.Key)
	if !h.capacity.Minus(h.used).Fits(need) {
		return link.StartNoRoom, reply
	}
	r := &hostRun{key: s.Key, started: time.Now(), outcome: h.work(s.Key)}
	h.used = h.used.Plus(need)
	h.running[s.Key] = r
	h.observer.Started(h.id, s.Key)
	if !r.outcome.Stalls {
		r.timer = time.AfterFunc(r.outcome.Takes, func() { h.complete(r) })
	}
	return link.StartAccepted, reply
}

// extend lengthens the lease of all runs. h.mu is held.
func (h *RunHost) extend(end time.Duration) {
	end = min(end, h.clock()+h.maxLease)
	if end <= h.lease {
		return
	}
	h.lease = end
	if h.lapse != nil {
		h.lapse.Stop()
	}
	h.lapse = time.AfterFunc(end-h.clock(), h.lapsed)
}

func (h *RunHost) lapsed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down || h.clock() < h.lease {
		return
	}
	for _, r := range h.running {
		h.endRun(r, contract.RunEnded, h.born.Add(h.lease))
	}
}

func (h *RunHost) complete(r *hostRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := contract.RunDone
	if r.outcome.Fails {
		state = contract.RunFailed
	}
	if r.stopping {
		state = contract.RunEnded
	}
	h.endRun(r, state, time.Now())
}

// endRun lists the end of a run and frees its room. h.mu is held.
func (h *RunHost) endRun(r *hostRun, state contract.RunState, at time.Time) {
	if h.running[r.key] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(h.running, r.key)
	h.used = h.used.Minus(h.need(r.key))
	h.barred[r.key.Task()] = max(h.barred[r.key.Task()], r.key.Run)
	h.ended++
	h.ends = append(h.ends, link.EndedRun{Number: h.ended, Key: r.key, State: state})
	h.observer.Ended(h.id, r.key, state, at)
	close(h.changed)
	h.changed = make(chan struct{})
}

// Stop ends a run, or bars it.
func (h *RunHost) Stop(ctx context.Context, key contract.RunKey, token uint64) (link.HostReply, error) {
	if !h.deliver(func() { h.stop(key, token) }) {
		return link.HostReply{}, h.unanswered(ctx)
	}
	return h.stop(key, token), nil
}

func (h *RunHost) stop(key contract.RunKey, token uint64) link.HostReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := h.reply()
	if !h.admit(token) {
		reply.Fenced = true
		return reply
	}
	h.barred[key.Task()] = max(h.barred[key.Task()], key.Run)
	if r, ok := h.running[key]; ok && !r.stopping {
		r.stopping = true
		if r.timer != nil {
			r.timer.Stop()
		}
		r.timer = time.AfterFunc(stopGrace, func() { h.complete(r) })
	}
	return reply
}

// Hold extends the lease and lists the runs. It waits for an end if the call allows it.
func (h *RunHost) Hold(ctx context.Context, c link.HostHold) (link.HoldReply, error) {
	if !h.deliver(nil) {
		return link.HoldReply{}, h.unanswered(ctx)
	}
	h.mu.Lock()
	if !h.admit(c.Token) {
		defer h.mu.Unlock()
		// As on the platform, a fenced answer says the clock but not the life.
		return link.HoldReply{HostReply: link.HostReply{Clock: h.reply().Clock, Fenced: true}}, nil
	}
	if c.LeaseEnd > 0 {
		h.extend(c.LeaseEnd)
	}
	for len(h.ends) > 0 && h.ends[0].Number <= c.LastSeen {
		h.ends = h.ends[1:]
	}
	if len(h.ends) == 0 && c.Wait > 0 {
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(c.Wait):
		case <-ctx.Done():
			return link.HoldReply{}, fault.InDoubt.New("worker %s was not waited for", h.id)
		}
		h.mu.Lock()
	}
	defer h.mu.Unlock()
	if h.down {
		return link.HoldReply{}, fault.InDoubt.New("worker %s has crashed", h.id)
	}
	return h.list(), nil
}

// list returns the runs and ends. h.mu is held.
func (h *RunHost) list() link.HoldReply {
	out := link.HoldReply{HostReply: h.reply()}
	for _, r := range h.running {
		progress := 0
		if !r.outcome.Stalls && r.outcome.Takes > 0 {
			progress = int(100 * time.Since(r.started) / r.outcome.Takes)
		}
		out.Running = append(out.Running, link.RunningRun{Key: r.key, Progress: progress})
	}
	out.Ended = append(out.Ended, h.ends[:min(len(h.ends), maxEndsListed)]...)
	return out
}
