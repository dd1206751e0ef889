package pool

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/internal/logattr"
	"github.com/cicadadale/cicadadale/machine"
)

// maxUnrefreshedDoubt is how long after its last refresh a withdrawn run in doubt limits the lease of its worker. The lease, which ends
// leaseAfterRefresh after the refresh, can still be extended then. By that time all members have been told of the late start.
const maxUnrefreshedDoubt = 600 * time.Millisecond

// overAfterLease reports whether the run is over once the lease of its worker has expired. The goroutine that makes a start
// call handles its result. Until a restarted worker has been acquired, nothing rejects the calls to its earlier incarnation,
// and on its clock their leases mean nothing: only a run that an earlier incarnation has listed is certainly not on this one.
// The start of a run in doubt may have been executed by an incarnation that has not replied yet, under the longest lease. One
// that is going to be repeated is over only when no copy of the start can be executed any more.
func (r *run) overAfterLease(now time.Time, longestLease time.Duration) bool {
	switch {
	case r.state == runStarting || r.repeating:
		return false
	case r.host.restarted:
		if r.listedBy != 0 && r.listedBy != r.host.host.StartTime {
			return true
		}
		// Its start cannot be executed any more, and what it has started has ended with the longest lease.
		return !r.doubtSince.IsZero() && !now.Before(machine.LeaseOverBy(r.doubtSince.Add(contract.LateStartLimit), longestLease))
	case r.repeats():
		return !now.Before(machine.LeaseOverBy(r.doubtSince.Add(contract.LateStartLimit), longestLease))
	case r.state == runInDoubt || r.executedLate || r.outlivesLease():
		// The lease may count from when the start was executed, and late copies of starts extend it.
		return !now.Before(machine.LeaseOverBy(later(r.doubtSince, r.listedAt), longestLease))
	default:
		return true
	}
}

// outlivesLease reports whether the worker has listed the run past the end of the lease that this VM has granted.
func (r *run) outlivesLease() bool {
	return !r.listedAt.IsZero() && r.confirmedClock > r.host.host.LeaseEnd()
}

// endedInDoubt reports whether a run in doubt that is not wanted is over for its home by a list that was asked for at sent and does not
// have it. It is over after some time without an answer to its stop: the worker has one lease for all its runs, which would
// expire for this one. A run that its home has not withdrawn but left is over with its lease: the client may be running the job
// elsewhere then.
func (r *run) endedInDoubt(sent, now time.Time, longestLease time.Duration) bool {
	if r.state != runInDoubt || r.repeats() || r.repeating || !sent.After(r.doubtSince) {
		return false
	}
	if r.withdrawn && now.Sub(r.refreshedAt) >= maxUnrefreshedDoubt {
		return true
	}
	return r.overAfterLease(now, longestLease) && !now.Before(r.host.host.LeasesExpireBy())
}

// hasRunOverAfterLease reports whether any run of the worker is over once the lease has expired.
func (h *ownedHost) hasRunOverAfterLease(now time.Time, longestLease time.Duration) bool {
	for _, r := range h.runs {
		if r.overAfterLease(now, longestLease) {
			return true
		}
	}
	return false
}

// sweepHost ends the runs of a worker that has not replied before their lease expired. The lists of one that replies tell what runs there:
// a late start may have extended the lease. Of a worker that this VM does not own the lease is not known. p.mu is held.
func (p *Pool) sweepHost(h *ownedHost, now time.Time, fx *effects) {
	leaseKnown := (h.host.Token != 0 && h.pollFailed) || h.restarted
	if !h.hasRunOverAfterLease(now, p.o.Lease) || !leaseKnown || now.Before(h.host.LeasesExpireBy()) {
		return
	}
	p.o.Logger.Warn("worker does not answer; its lease has expired, treating its runs as ended",
		"worker", h.host.Listing.Worker, "runs", len(h.runs), logattr.Since("since_contact", now, h.host.Contacted()))
	for _, r := range h.runs {
		if !r.overAfterLease(now, p.o.Lease) {
			continue
		}
		if r.state == runInDoubt && h.host.Token != 0 {
			p.finishUnbarred(r, proofDoubtExpired, fx)
			continue
		}
		p.finish(r, contract.RunEnded, proofLeaseExpired, 0, fx)
	}
	h.host.Suspend(now)
}
