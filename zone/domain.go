package zone

import (
	"sort"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// DomainID numbers a failure domain.
type DomainID uint16

// RegionID names a region.
type RegionID string

// Listing is an entry VM in the platform's list.
type Listing struct {
	VM      machine.EntryVM
	Domain  DomainID
	Region  RegionID
	Leaving bool
}

const (
	// SuspectAfter is the time without a message after which a member is suspected.
	SuspectAfter = 1500 * time.Millisecond
	// GoneAfter is the time as a suspect after which a member counts as gone. With a check every 500 ms its slots are
	// taken back within 3 s of its last message.
	GoneAfter = time.Second
	// SilenceLimit is the time without a message after which a member counts as gone.
	SilenceLimit = SuspectAfter + GoneAfter
)

// Change is a member's state change.
type Change struct {
	VM   machine.EntryVM
	From MemberState
	To   MemberState
}

// FailureDomain holds the members of one failure domain. Its mutex guards all fields but id and self, which are not
// changed.
type FailureDomain struct {
	id   DomainID
	self string

	mu      sync.Mutex
	members map[string]*member
}

type member struct {
	listing  Listing
	state    MemberState
	lastSeen time.Time
}

// NewFailureDomain returns a failure domain as seen from the entry VM self.
func NewFailureDomain(id DomainID, self string) *FailureDomain {
	return &FailureDomain{id: id, self: self, members: make(map[string]*member)}
}

// ID returns the number of the failure domain.
func (d *FailureDomain) ID() DomainID { return d.id }

// ApplyList applies the platform's list. Entries of other failure domains are ignored. A member that is missing from
// the list is gone.
func (d *FailureDomain) ApplyList(list []Listing, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[string]bool, len(list))
	var changes []Change
	for _, l := range list {
		if l.Domain != d.id {
			continue
		}
		seen[l.VM.ID] = true
		changes = append(changes, d.applyListing(l, now)...)
	}
	for id, m := range d.members {
		if !seen[id] && id != d.self {
			changes = append(changes, d.fire(m, eventDropped)...)
			delete(d.members, id)
		}
	}
	return changes
}

// applyListing expects d.mu to be held.
func (d *FailureDomain) applyListing(l Listing, now time.Time) []Change {
	m, ok := d.members[l.VM.ID]
	if !ok {
		m = &member{listing: l, state: MemberJoining, lastSeen: now}
		d.members[l.VM.ID] = m
		if l.VM.ID == d.self {
			m.state = MemberLive
		}
	}
	// The incarnation is taken from received messages, which are more recent than the lagging list.
	l.VM.Incarnation = m.listing.VM.Incarnation
	m.listing = l
	if l.Leaving && m.state != MemberGone {
		return d.fire(m, eventLeave)
	}
	return nil
}

// ObserveMessage records a message from the process that currently runs on a member.
func (d *FailureDomain) ObserveMessage(id string, inc machine.Incarnation, leaving bool, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[id]
	if !ok {
		return nil
	}
	var changes []Change
	if old := m.listing.VM.Incarnation; old != 0 && old != inc {
		// The process was replaced: the old one loses its slots immediately, and the new one starts without any.
		changes = append(changes, d.fire(m, eventDropped)...)
		m.state = MemberJoining
	}
	m.lastSeen = now
	m.listing.VM.Incarnation = inc
	changes = append(changes, d.fire(m, eventContact)...)
	if leaving || m.listing.Leaving {
		changes = append(changes, d.fire(m, eventLeave)...)
	}
	return changes
}

// Tick marks members that send no messages as suspect, then as gone.
func (d *FailureDomain) Tick(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for id, m := range d.members {
		if id == d.self {
			continue
		}
		silence := now.Sub(m.lastSeen)
		if silence > SuspectAfter {
			changes = append(changes, d.fire(m, eventSilent)...)
		}
		if silence > SilenceLimit {
			changes = append(changes, d.fire(m, eventExpired)...)
		}
	}
	return changes
}

// Listed returns the ids of the other members.
func (d *FailureDomain) Listed() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id := range d.members {
		if id != d.self {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Live returns the members that may receive new work, ordered by id.
func (d *FailureDomain) Live() []machine.EntryVM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []machine.EntryVM
	for _, m := range d.members {
		if m.state == MemberLive {
			live = append(live, m.listing.VM)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// Reachable returns the ids of the other members that have been in contact and silent for less than SilenceLimit since.
func (d *FailureDomain) Reachable() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, m := range d.members {
		if id != d.self && (m.state == MemberLive || m.state == MemberSuspect) {
			ids = append(ids, id)
		}
	}
	return ids
}

// MemberView is a member as shown to operators.
type MemberView struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	State       string `json:"state"`
	SilentMS    int64  `json:"silent_ms"`
}

// Members returns all members, ordered by id.
func (d *FailureDomain) Members(now time.Time) []MemberView {
	d.mu.Lock()
	defer d.mu.Unlock()
	var views []MemberView
	for id, m := range d.members {
		vm := m.listing.VM
		views = append(views, MemberView{
			ID: id, Incarnation: vm.Incarnation.String(), Address: vm.PeerAddress,
			State: m.state.String(), SilentMS: now.Sub(m.lastSeen).Milliseconds(),
		})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].ID < views[j].ID })
	return views
}

// fire expects d.mu to be held.
func (d *FailureDomain) fire(m *member, e memberEvent) []Change {
	from := m.state
	fireMember(&m.state, e)
	if from == m.state {
		return nil
	}
	return []Change{{VM: m.listing.VM, From: from, To: m.state}}
}
