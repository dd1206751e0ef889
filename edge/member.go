package edge

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// member is the state of another process as known to this one. The lock of Members guards it.
type member struct {
	info machine.Member
	// listed is the process that the last list names on the VM. It is not learnt while the known one is live.
	listed machine.Member
	// id is the ID of info.
	id string
	// replaced holds the last incarnations of the VM before this one, at most maxReplaced.
	replaced []machine.Incarnation
	// otherSince is when the first message of another incarnation arrived since the last one of this; zero if none has.
	otherSince time.Time
	peer       *link.Peer
	// lastContact is when the last message of this incarnation arrived; zero if none has.
	lastContact time.Time
	live        bool
	// heardBefore is the last message before the process became live; zero if that was its first one.
	heardBefore time.Time
	// silentSince is when the process was first seen as not live; zero while it is live.
	silentSince time.Time
	ownsNothing bool
	leaving     bool
	// lists are the versions of the lists in force at the member, in ascending order, listsSettled the one before which it knows
	// of none. statusAt is when it last told them.
	lists        []uint64
	listsSettled uint64
	statusAt     time.Time
	// countedAt is the last contact that counted; see Members.countedAt.
	countedAt time.Time
	// desiredVersion is the version of the member's desired state.
	desiredVersion uint64
	// evacuationsVersion is the version of the evacuations that the member knows.
	evacuationsVersion uint64
	// newest is the member's newest timestamp, samples some of the last ones, the oldest first.
	newest  batch.Contact
	samples []batch.Contact
	clock   memberClock
	// ackedAt is when the newest message was sent that the member has acknowledged.
	ackedAt time.Time
	// partner is set for a member whose statuses this process needs. usedAt is when it last sent an order or refresh to
	// the member, subscribedAt when the member last subscribed to its statuses.
	partner      bool
	usedAt       time.Time
	subscribedAt time.Time
}

// maxReplaced bounds the incarnations of a VM that are remembered. A status is late by seconds, in which a process restarts
// a few times at most.
const maxReplaced = 4

// hasReplaced reports whether the process has replaced an incarnation of its VM, directly or through others.
func (m *member) hasReplaced(i machine.Incarnation) bool { return slices.Contains(m.replaced, i) }

// recordOther records a message of another incarnation of the VM. If only such messages arrive for some time, the order in
// which the incarnations became known was not that of their starts. Acknowledgements prove nothing: they name no incarnation.
func (m *member) recordOther(now time.Time) {
	if m.otherSince.IsZero() {
		m.otherSince = now
	}
	if now.Sub(m.otherSince) >= refusedTimeout {
		m.replaced = nil
	}
}

// recordReplacement records that the next incarnation replaces the known one, which may only have changed its address.
func (m *member) recordReplacement(next machine.Incarnation) {
	if next == m.info.Incarnation {
		return
	}
	m.replaced = append(m.replaced, m.info.Incarnation)
	m.replaced = m.replaced[max(len(m.replaced)-maxReplaced, 0):]
	m.replaced = slices.DeleteFunc(m.replaced, func(i machine.Incarnation) bool { return i == next })
	m.otherSince = time.Time{}
}

// candidate returns a member as a candidate for owning workers.
func candidate(m machine.Member) zone.Candidate {
	return zone.Candidate{ID: m.ID(), VM: m.VM, Domain: m.Domain, Weight: float64(max(m.CPUMillis, 1))}
}
