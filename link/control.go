package link

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
)

// controlTimeout bounds a control call for a running task.
const controlTimeout = time.Second

// Renew implements dispatch.TaskControl.
func (l *Workers) Renew(ctx context.Context, r dispatch.StartRequest) error {
	_, err := l.controlTask(ctx, r, "lease")
	return err
}

// ApplyAction implements dispatch.TaskControl.
func (l *Workers) ApplyAction(
	ctx context.Context, r dispatch.StartRequest, action backend.StragglerAction,
) (dispatch.ControlReply, error) {
	switch action {
	case backend.StragglerThrottle:
		return l.controlTask(ctx, r, "throttle")
	case backend.StragglerCheckpoint:
		return l.controlTask(ctx, r, "checkpoint")
	case backend.StragglerStop:
		return l.controlTask(ctx, r, "stop")
	default:
		return dispatch.ControlReply{}, nil
	}
}

// controlTask sends a control call for a running task.
func (l *Workers) controlTask(
	ctx context.Context, r dispatch.StartRequest, call string,
) (dispatch.ControlReply, error) {
	w, ok := l.fleet.Get(r.Worker)
	if !ok {
		return dispatch.ControlReply{}, fault.Unavailable.New("worker %s is not listed", r.Worker)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	req.SetRequestURI("http://" + w.Spec().Address + "/v1/tasks/" + r.Ticket.Task.String() + "/" + call)
	req.Header.Set(HeaderIncarnation, r.Incarnation.String())
	req.Header.Set(HeaderLease, strconv.FormatInt(r.Lease.Milliseconds(), 10))
	if err := l.fences.DoTimeout(ctx, req, resp, controlTimeout); err != nil {
		return dispatch.ControlReply{}, fault.Unavailable.Wrap(err, "%s of %s", call, r.Ticket.Task)
	}
	if outcome := string(resp.Header.Peek(HeaderOutcome)); outcome != OutcomeRunning {
		return dispatch.ControlReply{}, fault.Unavailable.New("%s of %s: the task is %s", call, r.Ticket.Task, outcome)
	}
	return dispatch.ControlReply{SlotFreed: string(resp.Header.Peek(HeaderSlotFreed)) == "true"}, nil
}
