package link

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
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
	// fenceWait is how long a fencing call waits for a running task.
	fenceWait = 2 * time.Second
	// replyMargin is added to a task's lease before the connection counts as silent.
	replyMargin = time.Second
	// ConnectionsPerWorker keeps 8 entry VMs within the 64 connections of a worker: one per slot.
	ConnectionsPerWorker = 8
)

// Workers sends starts to the workers of a failure domain over HTTP.
type Workers struct {
	fleet *machine.Fleet
	home  machine.Incarnation
	// starts and control use separate connections, so that asking about a task needs no connection that may be
	// silent or full.
	starts  *client.Client
	control *client.Client
	clock   *timeline.Clock
}

// NewWorkers returns the links of one home. Starts and fences carry the time of the clock.
func NewWorkers(
	fleet *machine.Fleet, home machine.Incarnation, connections int, clock *timeline.Clock,
) (*Workers, error) {
	starts, err := newWorkerClient(connections)
	if err != nil {
		return nil, err
	}
	control, err := newWorkerClient(connections)
	if err != nil {
		return nil, err
	}
	return &Workers{fleet: fleet, home: home, starts: starts, control: control, clock: clock}, nil
}

func newWorkerClient(connections int) (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(workerDialTimeout),
		client.WithMaxConnsPerHost(connections),
		client.WithMaxIdleConnDuration(time.Minute),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
		client.WithResponseBodyStream(false),
	)
}

// Start implements dispatch.Starter.
func (l *Workers) Start(ctx context.Context, r dispatch.StartRequest) (dispatch.StartReply, error) {
	w, ok := l.fleet.Get(r.Worker)
	if !ok {
		return dispatch.StartReply{}, fault.NotStarted.New("worker %s is not listed", r.Worker)
	}
	clock, ok := w.ClockAt(r.StartBy)
	if !ok {
		return dispatch.StartReply{}, fault.NotStarted.New("worker %s has not reported its clock", r.Worker)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	req.SetRequestURI("http://" + w.Spec().Address + "/v1/tasks/" + r.Ticket.Task.String())
	req.Header.Set(HeaderService, r.Ticket.Service)
	req.Header.Set(HeaderKind, r.Ticket.Kind)
	req.Header.Set(HeaderHome, l.home.String())
	req.Header.Set(HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	req.Header.Set(HeaderStartBy, strconv.FormatInt(clock.Milliseconds(), 10))
	req.Header.Set(HeaderLease, strconv.FormatInt(r.Lease.Milliseconds(), 10))
	req.Header.Set(HeaderIncarnation, r.Incarnation.String())
	l.sendTime(req)
	req.SetBodyRaw(r.Ticket.Payload)
	if err := l.starts.DoTimeout(ctx, req, resp, r.Lease+replyMargin); err != nil {
		return dispatch.StartReply{}, classify(err, r)
	}
	l.receiveTime(resp)
	return readReply(resp, r)
}

// classify tells errors before the first byte was written from those after it.
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
		return reply, fault.With(fault.NotStarted, reason, "worker %s rejected %s: %s", r.Worker, r.Ticket.Task, reason)
	case OutcomeRunning:
		reply.Running = true
		return reply, fault.Unavailable.New("task %s is still running", r.Ticket.Task)
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
	l.sendTime(req)
	if err := l.control.DoTimeout(ctx, req, resp, fenceWait+replyMargin); err != nil {
		return dispatch.StartReply{}, fault.Unavailable.Wrap(err, "worker %s cannot be asked", r.Worker)
	}
	l.receiveTime(resp)
	return readReply(resp, r)
}

// Poll asks a worker for its status and records its incarnation and clock.
func (l *Workers) Poll(ctx context.Context, w *machine.Worker, now func() time.Time) (WorkerStatus, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("GET")
	req.SetRequestURI("http://" + w.Spec().Address + "/v1/status")
	sent := now()
	if err := l.control.DoTimeout(ctx, req, resp, statusTimeout); err != nil {
		return WorkerStatus{}, fault.Unavailable.Wrap(err, "status of worker %s", w.Spec().ID)
	}
	var s WorkerStatus
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return s, fault.Unavailable.Wrap(err, "status of worker %s", w.Spec().ID)
	}
	inc, err := machine.ParseIncarnation(s.Incarnation)
	if err != nil {
		return s, fault.Unavailable.Wrap(err, "status of worker %s", w.Spec().ID)
	}
	// Taking the sending time makes the estimated clock late, so that a start-by time is never extended.
	w.ObserveBusy(s.Busy)
	w.ObserveStatus(inc, time.Duration(s.ClockMS)*time.Millisecond, sent)
	return s, nil
}
