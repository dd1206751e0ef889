package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// claimDelegateKey is hashed with the members' ids to choose the claim delegate.
	claimDelegateKey = "claims"
	delegateInterval = 500 * time.Millisecond
	// appendBudget is the number of appends per second that all processes share, out of the several hundred that the
	// platform sustains.
	appendBudget = 300.0
	// claimReplyMargin is the time that a delegate's reply takes in addition to the wait for the log.
	claimReplyMargin = 200 * time.Millisecond
	// claimsTimeout bounds the claims through the delegate and its backup together. The sum with domainLookupTimeout is
	// below the three seconds after which a client repeats its call.
	claimsTimeout = 1600 * time.Millisecond
	// domainLookupTimeout bounds the queries to other failure domains while the log is unreachable.
	domainLookupTimeout = 600 * time.Millisecond
	// maxDomainLookups bounds the claims that query other failure domains concurrently.
	maxDomainLookups = 64
)

// electClaimDelegate starts the claim delegate if this VM is chosen, and sets its share of the append budget.
func (d *Daemon) electClaimDelegate() {
	d.budget.SetRate(appendBudget / float64(1+len(d.peers.otherDomains())))
	vm, ok := zone.Choose(claimDelegateKey, d.domain.Live())
	d.claims.updateElection(ok && vm.ID == d.o.VM.ID)
}

// submitKeyed claims the idempotency key of a submission for a new job id and submits under the id that the key is
// bound to. The first submission of a key defines the job: a repetition, even with different contents, receives the
// answer of the first one.
func (d *Daemon) submitKeyed(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error) {
	key := *s.Ref.Key
	if len(key.Customer)+len(key.Text) > contract.MaxKeyBytes {
		return contract.Answer{}, fault.With(fault.Invalid, "key size", "a key has at most %d bytes", contract.MaxKeyBytes)
	}
	ids := d.table.Mint(1)
	if ids == nil || d.dispatcher.Draining() {
		// The key may already have a job, so this must not be reported as "not run".
		return contract.Answer{}, fault.Unavailable.New("this entry VM is stopping")
	}
	id, err := d.claimKey(ctx, contract.Claim{Key: key, Job: ids[0]})
	if err != nil {
		id, err = d.resolveFailedClaim(ctx, key, ids[0], err)
	}
	if err != nil {
		return contract.Answer{}, err
	}
	s.Ref = contract.JobRef{ID: id}
	return d.Submit(ctx, s, wait)
}

// delegates returns the delegate of this failure domain and its backup, which is used while the delegate does not reply
// or is cut off from the log. Any number of delegates is safe, because the log decides.
func (d *Daemon) delegates() []machine.EntryVM {
	live := d.domain.Live()
	var out []machine.EntryVM
	for range 2 {
		vm, ok := zone.Choose(claimDelegateKey, live)
		if !ok {
			break
		}
		out = append(out, vm)
		live = slices.DeleteFunc(slices.Clone(live), func(o machine.EntryVM) bool { return o.ID == vm.ID })
	}
	if len(out) == 0 {
		out = append(out, d.o.VM)
	}
	return out
}

// claimKey claims a key through a delegate of this failure domain.
func (d *Daemon) claimKey(ctx context.Context, c contract.Claim) (contract.JobID, error) {
	ctx, cancel := context.WithTimeout(ctx, claimsTimeout)
	defer cancel()
	var id contract.JobID
	var err error
	for _, vm := range d.delegates() {
		if vm.ID == d.o.VM.ID {
			id, err = d.claims.claim(ctx, c)
		} else {
			req := &api.ClaimRequest{Key: wire.KeyTo(c.Key), JobId: c.Job.String()}
			id, _, err = d.askDelegate(ctx, vm.ID, req, claimTimeout+claimReplyMargin)
		}
		if err == nil || !fault.IsRetriable(err) || ctx.Err() != nil {
			break
		}
	}
	d.recordClaim(c.Job, id, err)
	return id, err
}

// resolveFailedClaim decides what to report for a submission whose claim failed. The append may still take effect. "Not
// run" is therefore only reported once the minted id is marked as never to run and no failure domain knows another id
// of the key.
func (d *Daemon) resolveFailedClaim(
	ctx context.Context, k contract.CallerKey, minted contract.JobID, cause error,
) (contract.JobID, error) {
	if !fault.IsRetriable(cause) {
		d.table.Refuse(minted, fault.Reason(cause), cause.Error(), d.o.Now())
		return contract.JobID{}, cause
	}
	id, found, err := d.lookupAllDomains(ctx, k)
	if found {
		return id, nil
	}
	if err != nil {
		return contract.JobID{}, fault.Unavailable.Wrap(cause, "the state of key %s is not known: %s", k, err)
	}
	reason := "log unreachable"
	if !d.table.Refuse(minted, reason, cause.Error(), d.o.Now()) {
		// A concurrent submission was forwarded to the minted id and accepted under it.
		return minted, nil
	}
	return contract.JobID{}, fault.With(fault.Overloaded, reason, "key %s is not claimed: %s", k, cause)
}

// lookupAllDomains asks the delegates of all failure domains for the job id that a key is bound to. On an error, at
// least one of them cannot rule out that the key is claimed.
func (d *Daemon) lookupAllDomains(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	select {
	case d.domainLookups <- struct{}{}:
		defer func() { <-d.domainLookups }()
	default:
		return contract.JobID{}, false, fault.Unavailable.New("too many keys are being looked up")
	}
	ctx, cancel := context.WithTimeout(ctx, domainLookupTimeout)
	defer cancel()
	var mu sync.Mutex
	var winner contract.JobID
	var found bool
	var undecided error
	record := func(id contract.JobID, ok bool, err error) {
		mu.Lock()
		defer mu.Unlock()
		if ok {
			winner, found = id, true
		}
		if err != nil {
			undecided = err
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { record(d.confirmUnclaimed(ctx, k)) })
	for _, vms := range d.peers.otherDomains() {
		via, ok := zone.Choose(claimDelegateKey, vms)
		if !ok {
			record(contract.JobID{}, false, fault.Unavailable.New("all entry VMs of a failure domain are leaving"))
			continue
		}
		wg.Go(func() {
			req := &api.ClaimRequest{Key: wire.KeyTo(k), Lookup: true}
			record(d.askDelegate(ctx, via.ID, req, domainLookupTimeout))
		})
	}
	wg.Wait()
	return winner, found, undecided
}

// lookupKey looks up a key through the delegate of this failure domain, or through its backup if the delegate returns
// an error.
func (d *Daemon) lookupKey(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	var err error
	for _, vm := range d.delegates() {
		var id contract.JobID
		var found bool
		if id, found, err = d.lookupAt(ctx, vm.ID, k); err == nil {
			return id, found, nil
		}
	}
	return contract.JobID{}, false, err
}

// confirmUnclaimed tries to prove that no delegate of this failure domain has claimed or is claiming a key: all have to
// reply, and at least one must be up to date or have been so before an outage.
func (d *Daemon) confirmUnclaimed(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	upToDate := false
	var undecided error
	for _, vm := range d.delegates() {
		id, found, err := d.lookupAt(ctx, vm.ID, k)
		switch {
		case found:
			return id, true, nil
		case err == nil || fault.Reason(err) == reasonNotClaimed:
			upToDate = true
		case fault.Reason(err) != reasonNotRead:
			undecided = err
		}
	}
	switch {
	case undecided != nil:
		return contract.JobID{}, false, undecided
	case !upToDate:
		return contract.JobID{}, false, fault.Unavailable.New("no delegate has read the claims of key %s", k)
	default:
		return contract.JobID{}, false, nil
	}
}

func (d *Daemon) lookupAt(ctx context.Context, vm string, k contract.CallerKey) (contract.JobID, bool, error) {
	if vm == d.o.VM.ID {
		return d.claims.lookup(ctx, k)
	}
	req := &api.ClaimRequest{Key: wire.KeyTo(k), Lookup: true}
	return d.askDelegate(ctx, vm, req, claimTimeout)
}

func (d *Daemon) askDelegate(ctx context.Context, vm string, r *api.ClaimRequest, timeout time.Duration) (contract.JobID, bool, error) {
	resp, err := d.peers.request(ctx, vm, &api.Request{Body: &api.Request_Claim{Claim: r}}, timeout)
	if err != nil || resp.GetClaim().GetJobId() == "" {
		return contract.JobID{}, false, err
	}
	id, err := contract.ParseJobID(resp.GetClaim().GetJobId())
	if err != nil {
		return contract.JobID{}, false, fault.Unavailable.Wrap(err, "decode claim reply")
	}
	return id, true, nil
}

// serveClaim serves a claim or lookup of a peer. A member of this failure domain has chosen this VM as a delegate. A VM
// of another failure domain may have an outdated view of the members, so its lookup is passed to the delegates known
// here.
func (d *Daemon) serveClaim(ctx context.Context, vm string, r *api.ClaimRequest, resp *api.Response) error {
	key := wire.KeyFrom(r.GetKey())
	var id contract.JobID
	found := true
	var err error
	switch {
	case !r.GetLookup():
		var job contract.JobID
		if job, err = contract.ParseJobID(r.GetJobId()); err != nil {
			return fault.Unavailable.Wrap(err, "decode claim request")
		}
		id, err = d.claims.claim(ctx, contract.Claim{Key: key, Job: job})
	case d.peers.domainOf(vm) == d.o.Domain:
		id, found, err = d.claims.lookup(ctx, key)
	default:
		id, found, err = d.confirmUnclaimed(ctx, key)
	}
	if err != nil {
		return err
	}
	out := &api.ClaimResponse{}
	if found {
		out.JobId = id.String()
	}
	resp.Body = &api.Response_Claim{Claim: out}
	return nil
}

// resolveKey replaces a key by the job id that it is bound to.
func (d *Daemon) resolveKey(ctx context.Context, r contract.JobRef) (contract.JobRef, error) {
	if r.Key == nil {
		return r, nil
	}
	id, found, err := d.lookupKey(ctx, *r.Key)
	switch {
	case fault.IsProvenNotStarted(err):
		// The reply of one delegate does not prove that the key is unclaimed; see confirmUnclaimed.
		return r, fault.Unavailable.New("key %s is not known here and the log cannot be reached", r.Key)
	case err != nil:
		return r, err
	case !found:
		return r, fault.With(fault.UnknownJob, "unknown key", "key %s is not claimed", r.Key)
	}
	return contract.JobRef{ID: id}, nil
}

// domainOf returns the failure domain of a listed entry VM.
func (p *peers) domainOf(vm string) zone.DomainID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.domains[vm]
}

// otherDomains returns the listed entry VMs of each other failure domain, without those that are leaving. The list of a
// domain may be empty.
func (p *peers) otherDomains() map[zone.DomainID][]machine.EntryVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[zone.DomainID][]machine.EntryVM)
	for id, v := range p.listed {
		if v.Domain == p.d.o.Domain {
			continue
		}
		vms := out[v.Domain]
		if !v.Leaving {
			vms = append(vms, machine.EntryVM{ID: id})
		}
		out[v.Domain] = vms
	}
	return out
}
