package pool

import "time"

// leaseLimit returns the latest time to which the lease of a worker may be extended now. One lease covers all runs of
// a worker, so the least recently refreshed run decides. A run that no home has claimed prevents an extension: its
// home may have died, and its client may be running the job elsewhere before the lease ends. A late start of a run that its home has
// withdrawn limits nothing: no other run of its task starts before it has ended.
func (h *ownedHost) leaseLimit(now time.Time, lease time.Duration) time.Time {
	limit := now.Add(min(lease, maxLease))
	for _, r := range h.runs {
		if r.isLateAndWithdrawn() {
			continue
		}
		if !r.claimed {
			return now
		}
		if end := r.refreshedAt.Add(leaseAfterRefresh); end.Before(limit) {
			limit = end
		}
	}
	return limit
}

// leaseEndsInTime reports whether the lease that the worker has been granted so far ends in time for a run that is not
// refreshed again. A worker has one lease for all its runs, and no call shortens it: what was granted for the runs of
// another home would keep this one alive after its home has treated it as ended.
func (h *ownedHost) leaseEndsInTime(r *run) bool {
	return h.host.LeaseEndsBy(r.refreshedAt.Add(leaseAfterRefresh))
}

// isLateAndWithdrawn reports whether the start of a run was executed late, after its home had withdrawn it.
func (r *run) isLateAndWithdrawn() bool { return r.executedLate && r.withdrawn }

// needsLease reports whether the worker has a run that is not only there until its stop has been answered.
func (h *ownedHost) needsLease() bool {
	for _, r := range h.runs {
		if !r.isLateAndWithdrawn() {
			return true
		}
	}
	return false
}
