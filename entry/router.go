package entry

import (
	"context"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	forwardMargin = time.Second
	// forwardLimit bounds the time for which a forwarded call may wait.
	forwardLimit = 30 * time.Second
)

// Create implements rpc.Jobs.
func (d *Daemon) Create(_ context.Context, n int) ([]contract.JobID, error) {
	ids := d.table.Mint(n)
	if ids == nil || d.dispatcher.Draining() {
		return nil, fault.With(fault.Draining, "draining", "this entry VM is stopping")
	}
	d.count(metric.JobsMinted, n)
	return ids, nil
}

// Submit implements rpc.Jobs.
func (d *Daemon) Submit(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error) {
	if s.Ref.Key != nil {
		return contract.Answer{}, fault.With(fault.Overloaded, "keys unavailable", "keyed submissions are not available")
	}
	if !d.isHome(s.Ref.ID) {
		resp, err := d.forward(ctx, s.Ref.ID, wait, &api.Request{
			Body: &api.Request_Submit{Submit: wire.SubmissionTo(s, wait)},
		})
		return answerFrom(resp, err)
	}
	spec := contract.JobSpec{
		ID: s.Ref.ID, Service: s.Service, Customer: s.Customer, Team: s.Team, Tasks: s.Tasks, Priority: s.Priority,
	}
	if s.Deadline > 0 {
		spec.Deadline = d.o.Now().Add(s.Deadline)
	}
	if err := d.dispatcher.Submit(spec); err != nil {
		return contract.Answer{}, err
	}
	return d.wait(ctx, s.Ref.ID, wait)
}

func (d *Daemon) wait(ctx context.Context, id contract.JobID, wait time.Duration) (contract.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return d.dispatcher.Wait(ctx, id)
}

// Await implements rpc.Jobs.
func (d *Daemon) Await(ctx context.Context, r contract.JobRef, wait time.Duration) (contract.Answer, error) {
	if err := d.needID(r); err != nil {
		return contract.Answer{}, err
	}
	if d.isHome(r.ID) {
		return d.wait(ctx, r.ID, wait)
	}
	resp, err := d.forward(ctx, r.ID, wait, &api.Request{Body: &api.Request_Await{
		Await: &api.AwaitRequest{Job: wire.RefTo(r), WaitMs: wait.Milliseconds()},
	}})
	return answerFrom(resp, err)
}

// Cancel implements rpc.Jobs.
func (d *Daemon) Cancel(ctx context.Context, r contract.JobRef) (contract.Answer, error) {
	if err := d.needID(r); err != nil {
		return contract.Answer{}, err
	}
	if d.isHome(r.ID) {
		if err := d.dispatcher.Cancel(r.ID); err != nil {
			return contract.Answer{}, err
		}
		return d.wait(ctx, r.ID, 0)
	}
	resp, err := d.forward(ctx, r.ID, 0, &api.Request{Body: &api.Request_Cancel{
		Cancel: &api.CancelRequest{Job: wire.RefTo(r)},
	}})
	return answerFrom(resp, err)
}

// Reconfigure implements rpc.Jobs.
func (d *Daemon) Reconfigure(ctx context.Context, r contract.JobRef, c contract.Change) (contract.JobProgress, error) {
	if err := d.needID(r); err != nil {
		return contract.JobProgress{}, err
	}
	if d.isHome(r.ID) {
		var deadline time.Time
		if c.Deadline > 0 {
			deadline = d.o.Now().Add(c.Deadline)
		}
		return d.dispatcher.Reconfigure(r.ID, deadline, c.Priority)
	}
	resp, err := d.forward(ctx, r.ID, 0, &api.Request{Body: &api.Request_Reconfigure{
		Reconfigure: &api.ReconfigureRequest{
			Job: wire.RefTo(r), DeadlineMs: c.Deadline.Milliseconds(), Priority: int32(c.Priority),
		},
	}})
	return d.progressFrom(resp, err)
}

// Status implements rpc.Jobs.
func (d *Daemon) Status(ctx context.Context, r contract.JobRef) (contract.JobProgress, error) {
	if err := d.needID(r); err != nil {
		return contract.JobProgress{}, err
	}
	if d.isHome(r.ID) {
		return d.table.Progress(r.ID)
	}
	resp, err := d.forward(ctx, r.ID, 0, &api.Request{Body: &api.Request_Status{
		Status: &api.StatusRequest{Job: wire.RefTo(r)},
	}})
	return d.progressFrom(resp, err)
}

func (d *Daemon) needID(r contract.JobRef) error {
	if r.Key != nil {
		return fault.Unavailable.New("keyed submissions are not available")
	}
	return nil
}

func (d *Daemon) isHome(id contract.JobID) bool { return id.Home == d.o.VM.Incarnation }

// forward sends a call to the home of a job, or to its failure domain if the home is not known here.
func (d *Daemon) forward(ctx context.Context, id contract.JobID, wait time.Duration, r *api.Request) (*api.Response, error) {
	vm, ok := d.peers.homeOf(id.Home)
	if !ok && id.Domain != d.o.Domain {
		via, found := zone.Choose(id.String(), d.peers.inDomain(id.Domain))
		vm, ok = via.ID, found
	}
	if !ok {
		return nil, fault.Unavailable.New("the home of job %s is not known", id)
	}
	d.count(metric.JobsForwarded, 1)
	d.timeline.Record(timeline.Event{Kind: timeline.JobForwarded, Task: contract.TaskID{Job: id}, Peer: vm})
	return d.peers.request(ctx, vm, r, wait+forwardMargin)
}

func answerFrom(resp *api.Response, err error) (contract.Answer, error) {
	if err != nil {
		return contract.Answer{}, err
	}
	return wire.AnswerFrom(resp.GetAnswer())
}

func (d *Daemon) progressFrom(resp *api.Response, err error) (contract.JobProgress, error) {
	if err != nil {
		return contract.JobProgress{}, err
	}
	return wire.ProgressFrom(resp.GetStatus(), d.o.Now())
}
