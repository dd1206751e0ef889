package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// absentDomains returns the failure domains with workers and without a live member: those for longer than orphanDelay, or
// cutOffOrphanDelay, are orphaned, so that other domains take over their workers; the rest is vacant. It also records that workers are
// assigned now.
func (d *Daemon) absentDomains(now time.Time) (vacant, orphaned []string) {
	present, delay := d.members.LiveDomains(), orphanDelay
	if d.members.IsCutOff(now) {
		delay = cutOffOrphanDelay
	}
	domains := d.workers.Domains()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assignedAt = now
	if !d.stopping {
		present[d.o.Self.Domain] = true
	}
	for domain := range present {
		d.lastPresent[domain] = now
	}
	for _, domain := range domains {
		lastSeen, ok := d.lastPresent[domain]
		if !ok {
			lastSeen = d.started
		}
		switch {
		case now.Sub(lastSeen) > delay:
			orphaned = append(orphaned, domain)
		case !present[domain]:
			vacant = append(vacant, domain)
		}
	}
	return vacant, orphaned
}

func (d *Daemon) lastAssignment() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.assignedAt
}

// assignmentBasis is what an assignment of workers follows from. While it does not change, neither does the assignment.
type assignmentBasis struct {
	// owning is set once this process has joined, joining before that; neither is set while it is stopping.
	owning, joining bool
	// workers and owners are the versions of the list of workers and of the set of members that may own some.
	workers, owners uint64
	// vacant are the failure domains without a live member whose workers are not taken over yet, orphaned those whose workers are,
	// both in order.
	vacant, orphaned []string
	// reserved are the members whose workers are left to them although they have not joined, in order.
	reserved []zone.Candidate
}

func (b assignmentBasis) equal(o assignmentBasis) bool {
	return b.owning == o.owning && b.joining == o.joining && b.workers == o.workers && b.owners == o.owners &&
		slices.Equal(b.vacant, o.vacant) && slices.Equal(b.orphaned, o.orphaned) && slices.Equal(b.reserved, o.reserved)
}

// assignWorkers gives each pool the workers that this process owns.
func (d *Daemon) assignWorkers() {
	d.assignMu.Lock()
	defer d.assignMu.Unlock()
	d.mu.Lock()
	owning, joining := d.joined && !d.stopping, !d.joined && !d.stopping
	d.mu.Unlock()
	now := d.o.Now()
	vacant, orphaned := d.absentDomains(now)
	basis := assignmentBasis{
		owning: owning, joining: joining, workers: d.workers.Version(), owners: d.members.OwnersVersion(),
		vacant: vacant, orphaned: orphaned, reserved: d.reservedOwners(now),
	}
	if basis.equal(d.assignedFrom) {
		return
	}
	d.assignedFrom = basis
	candidates := d.members.Owners()
	if owning {
		candidates = append(candidates, candidate(d.o.Self))
	}
	d.fencer.SetWorkers(d.unownedWorkers(basis, candidates))
	candidates = append(candidates, basis.reserved...)
	state := ownershipState{candidates: candidates, reserved: basis.reserved, orphaned: basis.orphaned}
	d.ownership.set(state)
	owned := make(map[string][]machine.Listing)
	for _, l := range d.workers.in(append(slices.Clone(basis.orphaned), d.o.Self.Domain)) {
		if id, ok := state.ownerOf(l.Worker, l.Zone); ok && id == d.self {
			owned[l.Backend] = append(owned[l.Backend], l)
		}
	}
	for backend := range owned {
		d.pool(backend)
	}
	for backend, p := range d.allPools() {
		p.SetHosts(owned[backend])
	}
}

// ownershipState is what the owners of the workers followed from at an assignment. It is replaced, never changed.
type ownershipState struct {
	// candidates includes the reserved members, which are not known to own anything.
	candidates, reserved []zone.Candidate
	orphaned             []string
}

// ownerOf returns the member that owns a worker of a failure domain. It returns false if that has not joined.
func (s ownershipState) ownerOf(worker, domain string) (string, bool) {
	id, ok := zone.OwnerOf(worker, domain, s.candidates, slices.Contains(s.orphaned, domain))
	if !ok || slices.ContainsFunc(s.reserved, func(c zone.Candidate) bool { return c.ID == id }) {
		return "", false
	}
	return id, true
}

// ownership holds the state of the last assignment. mu guards the field below it.
type ownership struct {
	mu    sync.Mutex
	state ownershipState
}

func (o *ownership) set(s ownershipState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = s
}

func (o *ownership) get() ownershipState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// ownerOf returns the live member that owns a listed worker, which may be this one.
func (d *Daemon) ownerOf(worker string) (string, bool) {
	domain, ok := d.workers.domain(worker)
	if !ok {
		return "", false
	}
	return d.ownership.get().ownerOf(worker, domain)
}
