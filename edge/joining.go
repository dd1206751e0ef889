package edge

import (
	"slices"
	"strings"
	"time"

	"github.com/cicadadale/cicadadale/zone"
)

const (
	// joinDelay is how long a starting process waits for the other members before it owns workers. Without it, a process
	// that does not know the others yet would acquire all workers.
	joinDelay = 400 * time.Millisecond
	// joinLimit ends the wait for members that accept connections but send no status, and the time for which workers are
	// reserved for members that have not joined.
	joinLimit = 2 * time.Second
)

// joinState is what decides when a starting process joins: from then on it owns workers.
type joinState struct {
	// membersRead is set once the list of members has been read from the store.
	membersRead bool
	// evacuationsKnown is set once the evacuated failure domains have been read from the store or learned from a member.
	evacuationsKnown bool
	// allAnswered is what Members.AllAnswered reports.
	allAnswered bool
	sinceStart  time.Duration
}

// mayJoin decides whether a process may own workers now. It does not wait for members that cannot be connected to: after the
// loss of all members it would serve nothing for joinLimit if one of them does not return. Their workers are reserved instead.
func (s joinState) mayJoin() bool {
	switch {
	case !s.membersRead || !s.evacuationsKnown || s.sinceStart < joinDelay:
		return false
	case s.allAnswered:
		return true
	default:
		return s.sinceStart >= joinLimit
	}
}

// reservesWorkers decides whether a process leaves the workers of listed members that have not joined to them. In a deployment
// that was running before, its settled members have shared these workers among themselves already.
func reservesWorkers(sinceStart time.Duration, settled bool) bool {
	return sinceStart < joinLimit && !settled
}

// join lets a starting process own workers. It reports whether that happened now.
func (d *Daemon) join(now time.Time) bool {
	allAnswered := d.members.AllAnswered()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.joined || d.stopping {
		return false
	}
	s := joinState{
		membersRead: d.membersRead, evacuationsKnown: d.evacuations.known(), allAnswered: allAnswered, sinceStart: now.Sub(d.started),
	}
	if !s.mayJoin() {
		return false
	}
	d.joined = true
	d.o.Logger.Info("joined the deployment; ready to own workers", "members", d.members.Count()+1,
		"live", len(d.members.Live()), "since_start", s.sinceStart)
	return true
}

// reservedOwners returns the listed members of the own failure domain whose workers this process leaves to them for now, in
// order. All members compute the same owners once they have joined, so a worker has at most one in the meantime too.
func (d *Daemon) reservedOwners(now time.Time) []zone.Candidate {
	if !reservesWorkers(now.Sub(d.started), d.members.AnySettled()) {
		return nil
	}
	return d.members.NearNotJoined()
}

// AllAnswered reports whether each known process is live or cannot be connected to. Once most are live, that includes those to which
// the first attempt to connect is still under way: it is not waited for its timeout.
func (m *Members) AllAnswered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	live, connecting := 0, 0
	for _, e := range m.byVM {
		switch {
		case e.live:
			live++
		case e.peer.Connected():
			return false
		case !e.peer.Failing():
			connecting++
		}
	}
	return connecting == 0 || 2*live > len(m.byVM)
}

// AnySettled reports whether a list is settled here or at a live process: the deployment was running before a process that starts
// now.
func (m *Members) AnySettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lists.settled != 0 {
		return true
	}
	for _, e := range m.byVM {
		if e.live && e.listsSettled != 0 {
			return true
		}
	}
	return false
}

// NearNotJoined returns the known processes of the own failure domain that do not own workers yet and are not leaving, by VM.
func (m *Members) NearNotJoined() []zone.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []zone.Candidate
	for _, e := range m.byVM {
		if e.info.Domain == m.self.Domain && !e.leaving && (!e.live || e.ownsNothing) {
			all = append(all, candidate(e.info))
		}
	}
	slices.SortFunc(all, func(a, b zone.Candidate) int { return strings.Compare(a.VM, b.VM) })
	return all
}
