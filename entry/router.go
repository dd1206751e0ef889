package entry

import (
	"context"
	"strconv"
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
	// forwardMargin is the time allowed for the reply to a forwarded call in addition to the wait at the other VM.
	forwardMargin = time.Second
	// forwardLimit bounds the wait of a forwarded call.
	forwardLimit = 30 * time.Second
	// maxHops bounds how often a call is forwarded: to the failure domain, to the home, to its successor, and once more
	// if the successor stops in the meantime.
	maxHops = 4
	// domainAttempts is the number of members of another failure domain that are tried for a call.
	domainAttempts = 2
)

// Create implements rpc.Jobs.
func (d *Daemon) Create(_ context.Context, n int) ([]contract.JobID, error) {
	if d.dispatcher.Draining() || d.fenced.Load() {
		return nil, fault.With(fault.Draining, fault.ReasonDraining, "this entry VM is stopping")
	}
	ids := d.table.Mint(n)
	if ids == nil {
		return nil, fault.With(fault.Draining, fault.ReasonDraining, "this entry VM is stopping")
	}
	d.count(metric.JobsMinted, n)
	return ids, nil
}

// Submit implements rpc.Jobs.
func (d *Daemon) Submit(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error) {
	if s.Ref.Key != nil {
		return d.submitKeyed(ctx, s, wait)
	}
	local := func() (contract.Answer, error) { return d.submitHere(ctx, s, wait) }
	a, err := d.routeAnswer(ctx, s.Ref.ID, wait, local, func() *api.Request {
		return &api.Request{Body: &api.Request_Submit{Submit: wire.SubmissionTo(s, wait)}}
	})
	return answerFromError(s.Ref.ID, len(s.Tasks), a, err)
}

func (d *Daemon) submitHere(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error) {
	if s.Ref.ID.Home != d.o.VM.Incarnation {
		// Only the home accepts jobs; a successor answers for those handed over to it.
		return d.wait(ctx, s.Ref.ID, wait)
	}
	if err := d.requireConfiguration(); err != nil && d.table.Refuse(s.Ref.ID, fault.Reason(err), err.Error(), d.o.Now()) {
		return contract.Answer{}, err
	}
	spec := contract.JobSpec{
		ID: s.Ref.ID, Service: s.Service, Customer: s.Customer, Team: s.Team, Tasks: s.Tasks, Priority: s.Priority,
	}
	if s.Deadline > 0 {
		spec.Deadline = d.o.Now().Add(s.Deadline)
	}
	if _, _, err := d.table.Lookup(s.Ref.ID); fault.Code(err) == fault.HandedOver.FullName() {
		return contract.Answer{}, err
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
	r, err := d.resolveKey(ctx, r)
	if err != nil {
		return contract.Answer{}, err
	}
	local := func() (contract.Answer, error) { return d.wait(ctx, r.ID, wait) }
	a, err := d.routeAnswer(ctx, r.ID, wait, local, func() *api.Request {
		return &api.Request{Body: &api.Request_Await{
			Await: &api.AwaitRequest{Job: wire.RefTo(r), WaitMs: wait.Milliseconds()},
		}}
	})
	return answerFromError(r.ID, 0, a, err)
}

// Cancel implements rpc.Jobs.
func (d *Daemon) Cancel(ctx context.Context, r contract.JobRef) (contract.Answer, error) {
	r, err := d.resolveKey(ctx, r)
	if err != nil {
		return contract.Answer{}, err
	}
	local := func() (contract.Answer, error) {
		if err := d.dispatcher.Cancel(r.ID); err != nil {
			return contract.Answer{}, err
		}
		return d.wait(ctx, r.ID, 0)
	}
	a, err := d.routeAnswer(ctx, r.ID, 0, local, func() *api.Request {
		return &api.Request{Body: &api.Request_Cancel{Cancel: &api.CancelRequest{Job: wire.RefTo(r)}}}
	})
	return answerFromError(r.ID, 0, a, err)
}

// Reconfigure implements rpc.Jobs.
func (d *Daemon) Reconfigure(ctx context.Context, r contract.JobRef, c contract.Change) (contract.JobProgress, error) {
	r, err := d.resolveKey(ctx, r)
	if err != nil {
		return contract.JobProgress{}, err
	}
	local := func() (contract.JobProgress, error) {
		var deadline time.Time
		if c.Deadline > 0 {
			deadline = d.o.Now().Add(c.Deadline)
		}
		d.timeline.Job(timeline.JobReconfigured, r.ID, "", c.Priority)
		return d.dispatcher.Reconfigure(r.ID, deadline, c.Priority)
	}
	return d.routeProgress(ctx, r.ID, local, func() *api.Request {
		return &api.Request{Body: &api.Request_Reconfigure{Reconfigure: &api.ReconfigureRequest{
			Job: wire.RefTo(r), DeadlineMs: c.Deadline.Milliseconds(), Priority: int32(c.Priority),
		}}}
	})
}

// Status implements rpc.Jobs.
func (d *Daemon) Status(ctx context.Context, r contract.JobRef) (contract.JobProgress, error) {
	r, err := d.resolveKey(ctx, r)
	if err != nil {
		return contract.JobProgress{}, err
	}
	local := func() (contract.JobProgress, error) { return d.table.Progress(r.ID) }
	return d.routeProgress(ctx, r.ID, local, func() *api.Request {
		return &api.Request{Body: &api.Request_Status{Status: &api.StatusRequest{Job: wire.RefTo(r)}}}
	})
}

// routeAnswer serves a call here or forwards it to the entry VM that answers for the job.
func (d *Daemon) routeAnswer(
	ctx context.Context, id contract.JobID, wait time.Duration, local func() (contract.Answer, error),
	request func() *api.Request,
) (contract.Answer, error) {
	vm, here, err := d.locate(ctx, id)
	if err != nil {
		return contract.Answer{}, err
	}
	if here {
		a, err := d.withholdFinal(local())
		if fault.Code(err) != fault.HandedOver.FullName() {
			return a, err
		}
		if vm, err = d.successor(id); err != nil {
			return contract.Answer{}, err
		}
	}
	resp, err := d.forward(ctx, id, vm, wait, request)
	if err != nil {
		return contract.Answer{}, err
	}
	return wire.AnswerFrom(resp.GetAnswer())
}

// routeProgress is the equivalent of routeAnswer for calls that return a job's progress.
func (d *Daemon) routeProgress(
	ctx context.Context, id contract.JobID, local func() (contract.JobProgress, error), request func() *api.Request,
) (contract.JobProgress, error) {
	vm, here, err := d.locate(ctx, id)
	if err != nil {
		return contract.JobProgress{}, err
	}
	if here {
		p, err := local()
		if fault.Code(err) != fault.HandedOver.FullName() {
			return p, err
		}
		if vm, err = d.successor(id); err != nil {
			return contract.JobProgress{}, err
		}
	}
	resp, err := d.forward(ctx, id, vm, 0, request)
	if err != nil {
		return contract.JobProgress{}, err
	}
	return wire.ProgressFrom(resp.GetStatus(), d.o.Now())
}

// withholdFinal withholds a final answer of this home that could contradict one given by others; see zone.Homes.
func (d *Daemon) withholdFinal(a contract.Answer, err error) (contract.Answer, error) {
	if err == nil && a.Verdict == contract.VerdictPending {
		return a, nil
	}
	if d.fenced.Load() {
		return contract.Answer{}, fault.With(fault.JobLost, "home lost", "this entry VM counts as gone")
	}
	if !d.lease.Holds(d.domain.Listed(), d.o.Now()) {
		return contract.Answer{}, fault.Unavailable.New("more than half of the failure domain cannot be reached")
	}
	return a, err
}

// locate decides where a call is served: here, or by the entry VM vm. If neither is set, any entry VM of the job's
// failure domain may serve it.
func (d *Daemon) locate(ctx context.Context, id contract.JobID) (vm string, here bool, err error) {
	if id.Home == d.o.VM.Incarnation {
		return "", true, nil
	}
	if id.Domain != d.o.Domain {
		return "", false, nil
	}
	if d.table.Adopts(id.Home) && d.holdsAdopted(id) {
		return "", true, nil
	}
	home := d.homes.Locate(id.Home, d.o.Now())
	if home.State == zone.HomeSilent {
		home.State = d.confirmGone(ctx, home)
	}
	switch home.State {
	case zone.HomeRunning:
		return home.VM, home.Incarnation == d.o.VM.Incarnation, nil
	case zone.HomeGone:
		if !d.lease.Holds(d.domain.Listed(), d.o.Now()) {
			// A member that is cut off from the others may have missed the tombstone of a home after a planned stop.
			return "", false, fault.Unavailable.New("the home of job %s is gone; its successor may be out of reach", id)
		}
		if !d.withoutSuccessor(ctx, home) {
			return "", false, fault.Unavailable.New("the home of job %s is gone; its successor is not known here yet", id)
		}
		return "", false, fault.With(fault.JobLost, fault.ReasonHomeGone, "the home of job %s is gone", id)
	case zone.HomeSilent:
		return "", false, fault.Unavailable.New("the home of job %s cannot be reached", id)
	default:
		return "", false, d.unknownHome(ctx, id)
	}
}

// holdsAdopted reports whether the table has a job of an adopted home, which no succession can contradict.
func (d *Daemon) holdsAdopted(id contract.JobID) bool {
	_, _, err := d.table.Lookup(id)
	return err == nil
}

// unknownHome returns the error for a job whose home is not known. If the VM list shows no process that this one does not
// know, and no member has a record of the home, it ended longer ago than the members remember. The outcome of all its
// jobs is then reported as unknown, because nothing is proven about them.
func (d *Daemon) unknownHome(ctx context.Context, id contract.JobID) error {
	members, err := d.listedMembers(ctx)
	if err != nil {
		return fault.Unavailable.New("the home of job %s is not known, and the VM list cannot be read", id)
	}
	for _, vm := range members {
		if d.homes.Current(vm) == 0 {
			return fault.Unavailable.New("the home of job %s is not known, nor who runs on entry VM %s", id, vm)
		}
	}
	if !d.lease.Holds(d.domain.Listed(), d.o.Now()) {
		return fault.Unavailable.New("the home of job %s is not known, and the members that may know it cannot be reached", id)
	}
	if d.o.Now().Sub(d.started) < zone.SilenceLimit {
		return fault.Unavailable.New("the home of job %s is not known yet", id)
	}
	if !d.unknownToMembers(ctx, id.Home) {
		return fault.Unavailable.New("the home of job %s is not known here, but may be known to another member", id)
	}
	return fault.With(fault.JobLost, fault.ReasonHomeGone,
		"the home of job %s is no member of its failure domain any more", id)
}

// successor returns the VM that answers for the jobs handed over by this one.
func (d *Daemon) successor(id contract.JobID) (string, error) {
	s, ok := d.handovers.successor()
	if !ok {
		return "", fault.Unavailable.New("job %s is being handed over", id)
	}
	home := d.homes.Locate(s.Successor, d.o.Now())
	if home.State == zone.HomeGone {
		return "", fault.With(fault.JobLost, "successor gone", "the successor of the home of job %s is gone", id)
	}
	return home.VM, nil
}

// forward sends a call to an entry VM, or to the failure domain of the job if vm is empty.
func (d *Daemon) forward(
	ctx context.Context, id contract.JobID, vm string, wait time.Duration, request func() *api.Request,
) (*api.Response, error) {
	hops := hopsOf(ctx) + 1
	if hops > maxHops {
		return nil, fault.Unavailable.New("job %s was forwarded %d times", id, maxHops)
	}
	targets := []string{vm}
	if vm == "" {
		targets = d.targets(id)
	}
	err := error(fault.Unavailable.New("failure domain %d of job %s has no entry VM", id.Domain, id))
	for _, t := range targets {
		d.count(metric.JobsForwarded, 1)
		d.timeline.Record(timeline.Event{Kind: timeline.JobForwarded, Task: contract.TaskID{Job: id}, Peer: t})
		r := request()
		r.Hops = hops
		var resp *api.Response
		resp, err = d.peers.request(ctx, t, r, wait+forwardMargin)
		if err == nil || fault.Code(err) != fault.Unavailable.FullName() {
			return resp, err
		}
	}
	return nil, err
}

// targets chooses members of another failure domain, those with a failing link last. The order changes with each
// call: a member whose replies are lost uses up the caller's whole wait, and the next call must not try it first again.
func (d *Daemon) targets(id contract.JobID) []string {
	var reachable, failing []string
	turn := strconv.FormatUint(d.forwards.Add(1), 10)
	vms := d.peers.inDomain(id.Domain)
	for len(vms) > 0 {
		best, _ := zone.Choose(id.String()+turn, vms)
		for i := range vms {
			if vms[i].ID == best.ID {
				vms = append(vms[:i], vms[i+1:]...)
				break
			}
		}
		if d.peers.failing(best.ID) {
			failing = append(failing, best.ID)
		} else {
			reachable = append(reachable, best.ID)
		}
	}
	all := append(reachable, failing...)
	return all[:min(len(all), domainAttempts)]
}

// answerFromError converts an error that proves the state of a job whose home has ended into an answer.
func answerFromError(id contract.JobID, tasks int, a contract.Answer, err error) (contract.Answer, error) {
	switch fault.Code(err) {
	case fault.JobLost.FullName():
		return contract.UnknownAnswer(id, tasks, fault.Reason(err), err.Error()), nil
	case fault.NeverAccepted.FullName():
		return wire.RefusedAnswer(id, err), nil
	default:
		return a, err
	}
}

type hopsKey struct{}

func withHops(ctx context.Context, hops uint32) context.Context {
	return context.WithValue(ctx, hopsKey{}, hops)
}

func hopsOf(ctx context.Context) uint32 {
	hops, _ := ctx.Value(hopsKey{}).(uint32)
	return hops
}
