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
	// appendBudget is the rate of appends that all processes share, out of the several hundred a second that the
	// platform sustains.
	appendBudget = 300.0
	// claimReplyMargin is the time that a reply of the delegate takes beyond the wait for the log.
	claimReplyMargin = 200 * time.Millisecond
	// claimsTimeout bounds the claims through the delegate and its stand-in together. With keyInquiryTimeout it stays
	// below the three seconds after which a client repeats its call.
	claimsTimeout = 1600 * time.Millisecond
	// keyInquiryTimeout bounds the questions to other failure domains while the log cannot be reached.
	keyInquiryTimeout = 600 * time.Millisecond
	// maxKeyInquiries bounds the claims that ask other failure domains at the same time.
	maxKeyInquiries = 64
)

// electClaims starts the claim delegate if this VM is chosen and gives it its part of the append budget.
func (d *Daemon) electClaims() {
	d.budget.SetRate(appendBudget / float64(1+len(d.peers.otherDomains())))
	vm, ok := zone.Choose(claimDelegateKey, d.domain.Live())
	d.claims.elected(ok && vm.ID == d.o.VM.ID)
}

// submitKeyed claims the key of a submission for a fresh id and submits under the id that holds the key. The first
// submission of a key defines the job: a repetition, also one with different contents, receives the first one's
// answer.
func (d *Daemon) submitKeyed(ctx context.Context, s contract.Submission, wait time.Duration) (contract.Answer, error) {
	key := *s.Ref.Key
	if len(key.Customer)+len(key.Text) > contract.MaxKeyBytes {
		return contract.Answer{}, fault.With(fault.Invalid, "key size", "a key has at most %d bytes", contract.MaxKeyBytes)
	}
	ids := d.table.Mint(1)
	if ids == nil || d.dispatcher.Draining() {
		// The key may have a job already, so that "not run" would not be proven.
		return contract.Answer{}, fault.Unavailable.New("this entry VM is stopping")
	}
	id, err := d.claimKey(ctx, contract.Claim{Key: key, Job: ids[0]})
	if err != nil {
		id, err = d.unclaimed(ctx, key, ids[0], err)
	}
	if err != nil {
		return contract.Answer{}, err
	}
	s.Ref = contract.JobRef{ID: id}
	return d.Submit(ctx, s, wait)
}

// delegates returns the delegate of the own failure domain and the member that stands in for it, while the delegate does
// not answer or is cut off from the log. Any number of delegates is safe, since the log decides.
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

// claimKey has a delegate of the own failure domain claim a key.
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

// unclaimed decides what is true of a submission whose claim failed. The append may still take effect, hence "not
// run" is only said once the minted id is marked as never to run and no failure domain knows another id of the key.
func (d *Daemon) unclaimed(ctx context.Context, k contract.CallerKey, minted contract.JobID, cause error) (contract.JobID, error) {
	if !fault.IsRetriable(cause) {
		d.table.Refuse(minted, fault.Reason(cause), cause.Error(), d.o.Now())
		return contract.JobID{}, cause
	}
	id, found, err := d.inquire(ctx, k)
	if found {
		return id, nil
	}
	if err != nil {
		return contract.JobID{}, fault.Unavailable.Wrap(cause, "the state of key %s is not known: %s", k, err)
	}
	reason := "log unreachable"
	if !d.table.Refuse(minted, reason, cause.Error(), d.o.Now()) {
		// A concurrent submission was forwarded to the minted id and has been accepted under it.
		return minted, nil
	}
	return contract.JobID{}, fault.With(fault.Overloaded, reason, "key %s is not claimed: %s", k, cause)
}

// inquire asks the delegates of all failure domains for the id that holds a key. An error says that at least one of
// them cannot exclude that the key is claimed.
func (d *Daemon) inquire(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	select {
	case d.inquiries <- struct{}{}:
		defer func() { <-d.inquiries }()
	default:
		return contract.JobID{}, false, fault.Unavailable.New("too many keys are being looked up")
	}
	ctx, cancel := context.WithTimeout(ctx, keyInquiryTimeout)
	defer cancel()
	var mu sync.Mutex
	var winner contract.JobID
	var found bool
	var open error
	note := func(id contract.JobID, ok bool, err error) {
		mu.Lock()
		defer mu.Unlock()
		if ok {
			winner, found = id, true
		}
		if err != nil {
			open = err
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { note(d.excludeKey(ctx, k)) })
	for _, vms := range d.peers.otherDomains() {
		via, ok := zone.Choose(claimDelegateKey, vms)
		if !ok {
			note(contract.JobID{}, false, fault.Unavailable.New("all entry VMs of a failure domain are leaving"))
			continue
		}
		wg.Go(func() {
			req := &api.ClaimRequest{Key: wire.KeyTo(k), Lookup: true}
			note(d.askDelegate(ctx, via.ID, req, keyInquiryTimeout))
		})
	}
	wg.Wait()
	return winner, found, open
}

// findKey has the delegates of the own failure domain look a key up, the second one if the first cannot read the log.
func (d *Daemon) findKey(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	var err error
	for _, vm := range d.delegates() {
		var id contract.JobID
		var found bool
		if id, found, err = d.findAt(ctx, vm.ID, k); err == nil {
			return id, found, nil
		}
	}
	return contract.JobID{}, false, err
}

// excludeKey looks for proof that no delegate of the own failure domain has claimed or is claiming a key: all have to
// answer, and one of them must be up to date or have been so before an outage.
func (d *Daemon) excludeKey(ctx context.Context, k contract.CallerKey) (contract.JobID, bool, error) {
	upToDate := false
	var open error
	for _, vm := range d.delegates() {
		id, found, err := d.findAt(ctx, vm.ID, k)
		switch {
		case found:
			return id, true, nil
		case err == nil || fault.Reason(err) == reasonNotClaimed:
			upToDate = true
		case fault.Reason(err) != reasonNotRead:
			open = err
		}
	}
	switch {
	case open != nil:
		return contract.JobID{}, false, open
	case !upToDate:
		return contract.JobID{}, false, fault.Unavailable.New("no delegate has read the claims of key %s", k)
	default:
		return contract.JobID{}, false, nil
	}
}

func (d *Daemon) findAt(ctx context.Context, vm string, k contract.CallerKey) (contract.JobID, bool, error) {
	if vm == d.o.VM.ID {
		return d.claims.find(ctx, k)
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

// serveClaim answers a peer. A member of the own failure domain has chosen this VM as the delegate; a foreign one may
// know the members less well, so that its lookup goes to the delegates that this VM knows.
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
		id, found, err = d.claims.find(ctx, key)
	default:
		id, found, err = d.excludeKey(ctx, key)
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

// resolveKey replaces a key by the id that holds it.
func (d *Daemon) resolveKey(ctx context.Context, r contract.JobRef) (contract.JobRef, error) {
	if r.Key == nil {
		return r, nil
	}
	id, found, err := d.findKey(ctx, *r.Key)
	switch {
	case fault.IsProvenNotStarted(err):
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

// otherDomains returns the listed entry VMs of each other failure domain that are not leaving; there may be none.
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
