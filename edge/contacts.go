package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/zone"
)

// The contacts of a process are the members with which it exchanges statuses several times a second: those of its failure
// domain, and in others its partners, the owners at which its home places tasks. The other members hear of it less often,
// so that its messages grow with the number of failure domains and not with that of members.

const (
	// nearStatusSpacing is the time between statuses per member of the own failure domain, which are told of changed
	// capacity earlier than the others since most tasks are placed there.
	nearStatusSpacing = 8 * time.Millisecond
	// statusInterval is the time between statuses to a few members. It grows with their number: by nearStatusSpacing within
	// the failure domain, and by contactSpacing up to maxContactInterval for the contacts in others, whose orders must not
	// echo timestamps older than the 300 ms up to which they can be started on any worker.
	statusInterval     = 200 * time.Millisecond
	contactSpacing     = 10 * time.Millisecond
	maxContactInterval = 300 * time.Millisecond
	// farStatusSpacing is the time between statuses per member of other failure domains, up to maxStatusInterval, so that
	// their number per second does not grow with the number of members. Links without a message are closed after 5 s.
	farStatusSpacing  = 20 * time.Millisecond
	maxStatusInterval = 3 * time.Second
	// maxFullMesh is the number of members of other failure domains up to which all of them are contacts. Beyond it,
	// partnersPerDomain members of each are chosen as partners.
	maxFullMesh       = 32
	partnersPerDomain = 3
	// useTime is how long a member stays a contact after this process has sent it an order or refresh, subscriptionTime
	// after it has sent a status that subscribes.
	useTime          = 2 * time.Second
	subscriptionTime = 1500 * time.Millisecond
)

// nearInterval returns the time between statuses to the own failure domain while nothing changes.
func nearInterval(near int) time.Duration {
	return max(time.Duration(near)*nearStatusSpacing, statusInterval)
}

// contactInterval returns the time between statuses to the contacts in other failure domains.
func contactInterval(contacts int) time.Duration {
	return min(max(time.Duration(contacts)*contactSpacing, statusInterval), maxContactInterval)
}

// interval returns the time between the statuses of a member, in a deployment with near other members of this failure
// domain and far ones of others.
func (m *Members) interval(e *member, near, far int) time.Duration {
	if e.info.Domain == m.self.Domain {
		return nearInterval(near)
	}
	return farInterval(near + far)
}

// farInterval returns the time between statuses to members of other failure domains that are not contacts.
func farInterval(members int) time.Duration {
	return min(max(time.Duration(members)*farStatusSpacing, statusInterval), maxStatusInterval)
}

// ChoosePartners chooses the partners again if the set of members that may own workers has changed. A larger owner is
// the partner of more members, in proportion to its share of a core.
func (m *Members) ChoosePartners() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partnersVersion == m.ownersVersion {
		return
	}
	m.partnersVersion = m.ownersVersion
	var far []zone.Candidate
	for _, e := range m.byVM {
		if e.info.Domain != m.self.Domain && e.live && !e.ownsNothing {
			far = append(far, candidate(e.info))
		}
	}
	chosen := make(map[string]bool)
	if len(far) > maxFullMesh {
		for _, id := range zone.Partners(m.self.VM, far, partnersPerDomain) {
			chosen[id] = true
		}
	}
	changed := false
	for _, e := range m.byVM {
		partner := len(far) <= maxFullMesh || chosen[e.id]
		changed = changed || partner != e.partner
		e.partner = partner
	}
	if changed && len(chosen) > 0 {
		m.logger.Info("partners chosen; tasks for other failure domains are placed there",
			"partners", slices.Sorted(maps.Keys(chosen)), "candidates", len(far))
	}
}

// Use records that this process sends an order or refresh to a member.
func (m *Members) Use(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byID(id); e != nil {
		e.usedAt = now
	}
}

// RecordSubscription records that a process needs the statuses of this one.
func (m *Members) RecordSubscription(vm string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok {
		e.subscribedAt = now
	}
}

// Subscribes reports whether this process needs the statuses of a member, because it places tasks there.
func (m *Members) Subscribes(vm string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byVM[vm]
	return ok && m.subscribes(e, now)
}

// subscribes expects m.mu to be held.
func (m *Members) subscribes(e *member, now time.Time) bool {
	return e.info.Domain == m.self.Domain || e.partner || now.Sub(e.usedAt) < useTime
}

// statusRecipients selects the members that receive a status: those of the own failure domain, the contacts in others,
// or all.
type statusRecipients struct {
	near, contacts, all bool
}

// SendStatus queues the status of this process for some members. Those whose statuses it needs are told so. The status
// introduces this process to members that are not live, and to all from time to time: the description of a member is
// larger than the rest. The attached announcements go with it, to the contacts in the own failure domain and in others.
// SendStatus returns the number of contacts in other failure domains.
func (m *Members) SendStatus(
	status *api.PoolStatus, attached statusAttachments, to statusRecipients, now time.Time,
) (contacts int) {
	variants := make(map[statusVariant][]*api.PeerMessage)
	m.broadcast(func(e *member) []*api.PeerMessage {
		near, needed := e.info.Domain == m.self.Domain, m.subscribes(e, now)
		contact := needed || now.Sub(e.subscribedAt) < subscriptionTime
		if contact && !near {
			contacts++
		}
		selected := to.all || (near && to.near) || (!near && to.contacts && contact)
		if !selected {
			return nil
		}
		v := statusVariant{
			subscribe: needed && !near, introduce: to.all || !e.live,
			held: attached.held.message(near, m.isContact(e)), late: attached.late.message(near, m.isContact(e)),
		}
		if variants[v] == nil {
			variants[v] = []*api.PeerMessage{m.encodeStatus(status, v)}
			for _, announcement := range []*api.PeerMessage{v.held, v.late} {
				if announcement != nil {
					variants[v] = append(variants[v], announcement)
				}
			}
		}
		return variants[v]
	})
	return contacts
}

// statusVariant is what a status contains depending on its receiver.
type statusVariant struct {
	subscribe, introduce bool
	// held and late are the announcements that are sent with the status; nil for none.
	held, late *api.PeerMessage
}

// statusAttachments are the announcements of jobs and of starts without a reply that are sent with a status.
type statusAttachments struct {
	held, late audienceMessages
}

// audienceMessages are an announcement for the contacts in the own failure domain and for those in others; nil for none.
type audienceMessages struct {
	near, far *api.PeerMessage
}

// message returns the announcement for a member.
func (a audienceMessages) message(near, contact bool) *api.PeerMessage {
	switch {
	case !contact:
		return nil
	case near:
		return a.near
	default:
		return a.far
	}
}

func (m *Members) encodeStatus(status *api.PoolStatus, v statusVariant) *api.PeerMessage {
	out := &api.PoolStatus{
		Rooms: status.GetRooms(), OwnsNothing: status.GetOwnsNothing(), Leaving: status.GetLeaving(),
		StampMs: status.GetStampMs(), DesiredVersion: status.GetDesiredVersion(), WorkerList: status.GetWorkerList(),
		Subscribe: v.subscribe, ListsInForce: status.GetListsInForce(), ListsSettled: status.GetListsSettled(),
		EvacuationsVersion: status.GetEvacuationsVersion(),
	}
	if v.introduce {
		out.Sender = encodeMember(m.self)
	}
	return &api.PeerMessage{Body: &api.PeerMessage_PoolStatus{PoolStatus: out}}
}

// Domain returns the failure domain of a known VM.
func (m *Members) Domain(vm string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok {
		return e.info.Domain
	}
	return ""
}
