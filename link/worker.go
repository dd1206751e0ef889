package link

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
	"github.com/cloudwego/hertz/pkg/common/config"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
)

const (
	workerDialTimeout = time.Second
	statusTimeout     = time.Second
	statusIdleTimeout = time.Minute
	fenceIdleTimeout  = 2 * time.Second
	// maxClockError is the round-trip time of a status poll beyond which its reading of the worker's clock is ignored.
	maxClockError = 200 * time.Millisecond
	// fenceWait is how long a fencing call waits for a running task to end.
	fenceWait = time.Second
	// replyMargin is the time after a task's lease until its connection is considered silent.
	replyMargin = time.Second
	// ConnectionsPerWorker is one per slot, so that 8 entry VMs stay within the 64 connections of a worker.
	ConnectionsPerWorker = 8
)

// Workers sends starts to the workers of a failure domain over HTTP. mu guards the map of links; each link has its own
// lock.
type Workers struct {
	fleet       *machine.Fleet
	home        machine.Incarnation
	connections int
	// Status polls and fences use connections of their own, so that they never wait for a connection that may be silent
	// or busy.
	status *client.Client
	fences *client.Client
	clock  *timeline.Clock

	mu    sync.RWMutex
	links map[machine.WorkerID]*workerLink
}

// NewWorkers returns the links of one home, the entry VM that answers for its jobs. Starts and fences carry the logical
// time of clock.
func NewWorkers(
	fleet *machine.Fleet, home machine.Incarnation, connections int, clock *timeline.Clock,
) (*Workers, error) {
	status, err := newWorkerClient(1, statusIdleTimeout)
	if err != nil {
		return nil, err
	}
	fences, err := newWorkerClient(connections, fenceIdleTimeout)
	if err != nil {
		return nil, err
	}
	return &Workers{
		fleet: fleet, home: home, connections: connections, status: status, fences: fences, clock: clock,
		links: make(map[machine.WorkerID]*workerLink),
	}, nil
}

func newWorkerClient(connections int, idle time.Duration) (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(workerDialTimeout),
		client.WithMaxConnsPerHost(connections),
		client.WithMaxConnWaitTimeout(fenceWait),
		client.WithMaxIdleConnDuration(idle),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
		client.WithResponseBodyStream(false),
	)
}

func (l *Workers) link(id machine.WorkerID) *workerLink {
	l.mu.RLock()
	w, ok := l.links[id]
	l.mu.RUnlock()
	if ok {
		return w
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok = l.links[id]; !ok {
		w = newWorkerLink(l.connections)
		l.links[id] = w
	}
	return w
}

// Forget removes the link to a worker that is no longer listed. Pending starts complete as usual.
func (l *Workers) Forget(id machine.WorkerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, id)
}

// Start implements dispatch.Starter.
func (l *Workers) Start(ctx context.Context, r dispatch.StartRequest) (dispatch.StartReply, error) {
	w, ok := l.fleet.Get(r.Worker)
	if !ok {
		return dispatch.StartReply{}, fault.NotStarted.New("worker %s is not listed", r.Worker)
	}
	if w.Spec().Leaving {
		return dispatch.StartReply{}, fault.With(fault.NotStarted, fault.ReasonNotSent, "worker %s is leaving",
			r.Worker)
	}
	clock, ok := w.ClockAt(r.StartBy)
	if !ok {
		return dispatch.StartReply{}, fault.NotStarted.New("worker %s has not reported its clock", r.Worker)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	address := w.Spec().Address
	req.SetRequestURI("http://" + address + "/v1/tasks/" + r.Ticket.Task.String())
	req.Header.Set(HeaderService, r.Ticket.Service)
	req.Header.Set(HeaderKind, r.Ticket.Kind)
	req.Header.Set(HeaderHome, l.home.String())
	req.Header.Set(HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	req.Header.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	req.Header.Set(HeaderStartBy, strconv.FormatInt(floorMillis(clock), 10))
	req.Header.Set(HeaderLease, strconv.FormatInt(r.Lease.Milliseconds(), 10))
	req.Header.Set(HeaderIncarnation, r.Incarnation.String())
	l.sendTime(req)
	req.SetBodyRaw(r.Ticket.Payload)
	req.SetOptions(config.WithRequestTimeout(r.Lease + replyMargin))
	link := l.link(r.Worker)
	p := link.begin(r.Ticket.Task, address, time.Now())
	if p == nil {
		return dispatch.StartReply{}, classify(herrors.ErrNoFreeConns, r)
	}
	// The client does not watch the context while it waits for the reply.
	stop := context.AfterFunc(ctx, p.conn.abandon)
	err := p.conn.host.Do(ctx, req, resp)
	stop()
	link.end(r.Ticket.Task, p, address)
	if err != nil {
		return dispatch.StartReply{}, classify(err, r)
	}
	l.receiveTime(resp)
	return readReply(resp, r)
}

// floorMillis rounds negative times down too, so that a start-by time before the worker's own start stays before it.
func floorMillis(t time.Duration) int64 {
	ms := t.Milliseconds()
	if t < time.Duration(ms)*time.Millisecond {
		ms--
	}
	return ms
}

// classify separates errors before the first byte was written from those after it. Only two prove that nothing was
// written: no connection was free, or none could be opened. After every other error of the client the start is in
// doubt. That includes an idle connection that the worker closed, which is detected only after the start was written,
// and a timeout before writing, which the client does not distinguish from one after it.
func classify(err error, r dispatch.StartRequest) error {
	if errors.Is(err, herrors.ErrNoFreeConns) || isDialError(err) {
		return fault.NotStarted.Wrap(err, "start of %s was not sent", r.Ticket.Task).
			WithProperty(fault.ReasonProperty, fault.ReasonNotSent)
	}
	return fault.InDoubt.Wrap(err, "start of %s was not answered", r.Ticket.Task)
}

func readReply(resp *protocol.Response, r dispatch.StartRequest) (dispatch.StartReply, error) {
	reason := string(resp.Header.Peek(HeaderReason))
	run, _ := strconv.ParseInt(string(resp.Header.Peek(HeaderRunTime)), 10, 64)
	reply := dispatch.StartReply{Detail: reason, RunTime: time.Duration(run) * time.Microsecond}
	switch string(resp.Header.Peek(HeaderOutcome)) {
	case OutcomeDone:
		reply.Outcome = contract.OutcomeDone
		reply.Result = append([]byte{}, resp.Body()...)
		return reply, nil
	case OutcomeFailed:
		reply.Outcome = contract.OutcomeFailed
		return reply, nil
	case OutcomeRestarted:
		reply.Outcome = contract.OutcomeUnknown
		reply.Detail = "worker restarted"
		return reply, nil
	case OutcomeRejected, OutcomeNever:
		if reason == RejectDuplicate {
			// The worker knows the task, so the rejection does not prove that the task was never started.
			return reply, fault.InDoubt.New("worker %s already knows %s", r.Worker, r.Ticket.Task)
		}
		return reply, fault.With(fault.NotStarted, reason, "worker %s rejected %s: %s", r.Worker, r.Ticket.Task, reason)
	case OutcomeRunning:
		return reply, fault.With(fault.Unavailable, fault.ReasonRunning, "task %s is still running", r.Ticket.Task)
	default:
		return reply, fault.InDoubt.New("worker %s sent status %d without an outcome", r.Worker, resp.StatusCode())
	}
}

// Resolve implements dispatch.Starter.
func (l *Workers) Resolve(ctx context.Context, r dispatch.StartRequest) (dispatch.StartReply, error) {
	w, ok := l.fleet.Get(r.Worker)
	if !ok {
		return dispatch.StartReply{}, fault.Unavailable.New("worker %s is not listed", r.Worker)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	wait := strconv.FormatInt(fenceWait.Milliseconds(), 10)
	req.SetRequestURI("http://" + w.Spec().Address + "/v1/tasks/" + r.Ticket.Task.String() + "/fence?wait_ms=" + wait)
	req.Header.Set(HeaderIncarnation, r.Incarnation.String())
	req.Header.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	l.sendTime(req)
	if err := l.fences.DoTimeout(ctx, req, resp, fenceWait+replyMargin); err != nil {
		return dispatch.StartReply{}, fault.Unavailable.Wrap(err, "worker %s cannot be asked", r.Worker)
	}
	l.receiveTime(resp)
	return readReply(resp, r)
}

// Poll requests a worker's status and records its incarnation and clock. The report also shows starts whose reply is
// missing; they are abandoned and then in doubt. It returns an error while another poll of the worker is under way.
func (l *Workers) Poll(ctx context.Context, w *machine.Worker, now func() time.Time) (WorkerStatus, error) {
	link := l.link(w.Spec().ID)
	if !link.startPoll() {
		return WorkerStatus{}, fault.Unavailable.New("worker %s is being asked for its status", w.Spec().ID)
	}
	defer link.endPoll()
	sent := time.Now()
	s, inc, err := l.poll(ctx, w)
	if err != nil {
		link.abandon(link.unreachable(time.Now()))
		return s, err
	}
	if missing := link.observe(s.Tasks, sent, time.Now()); missing != nil {
		time.AfterFunc(replyGrace, func() { link.abandon(missing) })
	}
	w.ObserveBusy(s.Busy)
	if spec := w.Spec(); s.Leaving && !spec.Leaving {
		// The worker reports this before the lagging VM list does.
		spec.Leaving = true
		w.UpdateSpec(spec)
	}
	if time.Since(sent) > maxClockError && inc == w.Incarnation() {
		return s, nil
	}
	// The clock was read before the report arrived. Using the time of arrival makes the estimate of the worker's clock
	// lag, so that a start-by time is never extended.
	w.ObserveStatus(inc, time.Duration(s.ClockMS)*time.Millisecond, now())
	return s, nil
}

func (l *Workers) poll(ctx context.Context, w *machine.Worker) (WorkerStatus, machine.Incarnation, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + w.Spec().Address + "/v1/status")
	var s WorkerStatus
	if err := l.status.DoTimeout(ctx, req, resp, statusTimeout); err != nil {
		return s, 0, fault.Unavailable.Wrap(err, "status of worker %s", w.Spec().ID)
	}
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return s, 0, fault.Unavailable.Wrap(err, "status of worker %s", w.Spec().ID)
	}
	inc, err := machine.ParseIncarnation(s.Incarnation)
	if err != nil {
		return s, 0, fault.Unavailable.Wrap(err, "status of worker %s", w.Spec().ID)
	}
	return s, inc, nil
}
