package edge

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// silenceTimeout is the time without a message after which a member is no longer live, unless there are so many members
// that statuses come seldom.
const silenceTimeout = 700 * time.Millisecond

// refusedTimeout is the same timeout for a member to which no connection is open, as when it refuses connections.
const refusedTimeout = 400 * time.Millisecond

// missedStatuses is the number of consecutive statuses that a member may miss before it is treated as silent.
const missedStatuses = 4

// Members holds the other processes and the links to them. mu guards the field below it.
type Members struct {
	self   machine.Member
	dial   func(m machine.Member) *link.Peer
	logger *slog.Logger

	mu   sync.Mutex
	byVM map[string]*member
	// ownersVersion counts the changes of the set of members that may own workers, partnersVersion is that for which the
	// partners were chosen.
	ownersVersion   uint64
	partnersVersion uint64
	electorate      *zone.Electorate
	lists           memberLists
	// leaving is set once this process is about to leave.
	leaving bool
	// departed holds the times of the last messages of processes that were replaced or dropped.
	departed map[string]time.Time
}

func newMembers(self machine.Member, dial func(m machine.Member) *link.Peer, logger *slog.Logger) *Members {
	return &Members{self: self, dial: dial, logger: logger, byVM: make(map[string]*member),
		electorate: zone.NewElectorate(nil), departed: make(map[string]time.Time),
		lists: memberLists{left: make(map[string]bool)}}
}

// Learn records a process that is named by a list or by its own status (direct). Neither a list nor a late status of a
// process that it has replaced replaces a live process; a listed one is learnt once that is not live any more. Learn returns the
// id of the process that it replaces, if that was live.
func (m *Members) Learn(info machine.Member, direct bool) (replaced string) {
	if info.VM == m.self.VM || info.VM == "" || info.Address == "" {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.learn(info, direct)
}

// learn expects m.mu to be held.
func (m *Members) learn(info machine.Member, direct bool) (replaced string) {
	known, ok := m.byVM[info.VM]
	if ok && !direct {
		known.listed = info
	}
	if ok && known.info == info {
		return ""
	}
	if ok && known.live && (!direct || known.hasReplaced(info.Incarnation)) {
		return ""
	}
	if ok {
		known.recordReplacement(info.Incarnation)
		if known.live {
			replaced = known.id
		}
		m.recordDeparture(known)
		// The queued messages were meant for the process that is replaced.
		go known.peer.Close()
		m.ownersVersion++
		known.peer = m.dial(info)
		known.info, known.id, known.live, known.lastContact, known.ownsNothing, known.newest =
			info, info.ID(), false, time.Time{}, true, batch.Contact{}
		known.leaving, known.samples, known.ackedAt, known.clock = false, nil, time.Time{}, memberClock{}
		known.silentSince, known.lists, known.listsSettled = time.Time{}, nil, 0
		known.statusAt, known.countedAt = time.Time{}, time.Time{}
	} else {
		m.byVM[info.VM] = &member{info: info, id: info.ID(), peer: m.dial(info), ownsNothing: true}
	}
	m.logger.Info("member discovered", "member", info.ID(), "address", info.Address, "domain", info.Domain,
		"direct", direct, "replaces", replaced)
	return replaced
}

// RecordContact records a message of a process. It reports whether this made the process live, and whether it is the
// one that is known on its VM.
func (m *Members) RecordContact(id, vm string, now time.Time) (becameLive, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byVM[vm]
	if !ok {
		return false, false
	}
	if e.id != id {
		e.recordOther(now)
		return false, false
	}
	becameLive = !e.live
	if becameLive {
		e.heardBefore = e.lastContact
	}
	e.lastContact, e.live, e.otherSince, e.silentSince = now, true, time.Time{}, time.Time{}
	if becameLive {
		m.ownersVersion++
		m.logger.Info("member is live", "member", id)
	}
	return becameLive, true
}

// HeardBefore returns when the last message of a process arrived before it became live, the zero time if there was none, and whether
// it is in the own failure domain.
func (m *Members) HeardBefore(id string) (at time.Time, near bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byID(id); e != nil {
		return e.heardBefore, e.info.Domain == m.self.Domain
	}
	return time.Time{}, false
}

// IsFirstOfDomain reports whether this process has the first id of the live ones of its failure domain.
func (m *Members) IsFirstOfDomain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, e := range m.byVM {
		if e.live && e.info.Domain == m.self.Domain && vm < m.self.VM {
			return false
		}
	}
	return true
}

// Current reports whether a process is the one that is known on its VM.
func (m *Members) Current(id, vm string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byVM[vm]
	return ok && e.id == id
}

// UpdateStatus records the status of a live process. It reports whether the process has started or stopped being a
// candidate owner. A status of a process that has been replaced on its VM is dropped: its timestamps start from another
// number.
func (m *Members) UpdateStatus(
	id, vm string, ownsNothing, leaving bool, desiredVersion, timestamp uint64, now time.Time,
) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byVM[vm]
	if !ok || e.id != id {
		return false
	}
	changed := e.ownsNothing != ownsNothing
	if changed {
		m.ownersVersion++
	}
	e.ownsNothing, e.leaving, e.desiredVersion = ownsNothing, leaving, desiredVersion
	e.statusAt = now
	e.recordTimestamp(timestamp, now)
	return changed
}

// Expire returns the ids of the processes that have just ceased to be live for lack of messages. A process to which no
// connection is open has probably ended, so its timeout is shorter than that of one that may only be slow or partitioned. The
// process that was listed on its VM meanwhile takes its place.
func (m *Members) Expire(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	near, far := m.counts()
	var departed []string
	for _, e := range m.byVM {
		timeout, interval := silenceTimeout, m.interval(e, near, far)
		switch {
		case e.peer.Failing():
			timeout = refusedTimeout
		case interval > statusInterval && e.peer.AckDelay(now) < silenceTimeout:
			// Members send statuses less often if there are many. This one acknowledges the messages that it is sent, so it may
			// miss some statuses.
			timeout = max(silenceTimeout, missedStatuses*interval)
		}
		if e.live && now.Sub(e.lastContact) > timeout {
			e.live = false
			m.ownersVersion++
			departed = append(departed, e.id)
			m.logger.Warn("member is silent; treating it as departed", "member", e.info.ID(), "since", now.Sub(e.lastContact))
			if e.listed.VM != "" && !e.hasReplaced(e.listed.Incarnation) {
				m.learn(e.listed, false)
			}
		}
		if !e.live && e.silentSince.IsZero() {
			e.silentSince = now
		}
	}
	return departed
}

// Prune drops the processes that are neither listed nor live.
func (m *Members) Prune(listed map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, e := range m.byVM {
		if !listed[vm] && !e.live {
			m.recordDeparture(e)
			if e.leaving {
				m.lists.left[vm] = true
			}
			go e.peer.Close()
			delete(m.byVM, vm)
			m.logger.Info("member dropped", "member", e.info.ID())
		}
	}
}

// Owners returns the live processes that may own workers.
func (m *Members) Owners() []zone.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []zone.Candidate
	for _, e := range m.byVM {
		if e.live && !e.ownsNothing {
			all = append(all, candidate(e.info))
		}
	}
	return all
}

// OwnersVersion returns a number that changes with the result of Owners.
func (m *Members) OwnersVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownersVersion
}

// LiveDomains returns the failure domains with a live process that is not leaving: it owns workers or is about to.
func (m *Members) LiveDomains() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool)
	for _, e := range m.byVM {
		if e.live && !e.leaving {
			present[e.info.Domain] = true
		}
	}
	return present
}

// Known returns all known processes, this one included.
func (m *Members) Known() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []machine.Member{m.self}
	for _, e := range m.byVM {
		all = append(all, e.info)
	}
	return all
}

// Count returns the number of other processes that are known.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byVM)
}

// Send queues messages for a process. Messages for a process that is no longer known on its VM are dropped.
func (m *Members) Send(id string, msgs ...*api.PeerMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byID(id); e != nil {
		e.peer.Send(msgs...)
	}
}

// Broadcast queues messages for all known processes. A process that is not live gets them too, so that both sides of a
// healed partition make contact, but at most one batch is queued for it.
func (m *Members) Broadcast(msgs ...*api.PeerMessage) {
	m.broadcast(func(*member) []*api.PeerMessage { return msgs })
}

// BroadcastNear queues messages for the processes of the own failure domain.
func (m *Members) BroadcastNear(msgs ...*api.PeerMessage) { m.BroadcastDomain(m.self.Domain, msgs...) }

// BroadcastDomain queues messages for the processes of a failure domain.
func (m *Members) BroadcastDomain(domain string, msgs ...*api.PeerMessage) {
	m.broadcast(func(e *member) []*api.PeerMessage {
		if e.info.Domain != domain {
			return nil
		}
		return msgs
	})
}

// BroadcastContacts queues messages for the live processes with which this one exchanges statuses several times a second.
func (m *Members) BroadcastContacts(msgs ...*api.PeerMessage) {
	m.broadcast(func(e *member) []*api.PeerMessage {
		if !e.live || !m.isContact(e) {
			return nil
		}
		return msgs
	})
}

// BroadcastOthers queues messages for the live processes that are no contacts.
func (m *Members) BroadcastOthers(msgs ...*api.PeerMessage) {
	m.broadcast(func(e *member) []*api.PeerMessage {
		if !e.live || m.isContact(e) {
			return nil
		}
		return msgs
	})
}

// broadcast queues the messages that choose returns for a member. It is called with m.mu held.
func (m *Members) broadcast(choose func(e *member) []*api.PeerMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		if !e.live && !e.peer.Flushed() {
			continue
		}
		if msgs := choose(e); len(msgs) > 0 {
			e.peer.Send(msgs...)
		}
	}
}

// LastContact returns the newest timestamp of a process that arrived no later than a time, and when it arrived.
func (m *Members) LastContact(id string, limit time.Time) batch.Contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byID(id); e != nil {
		return e.contactUntil(limit)
	}
	return batch.Contact{}
}

// RecordTimestamp records contact with a process: the timestamp that came with an acknowledgement. One of a process that
// has been replaced on its VM is dropped.
func (m *Members) RecordTimestamp(id, vm string, timestamp uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok && e.id == id && e.live {
		e.recordTimestamp(timestamp, now)
		e.lastContact = now
	}
}

// Counts returns the numbers of other processes in the own failure domain and in others.
func (m *Members) Counts() (near, far int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts()
}

// counts expects m.mu to be held.
func (m *Members) counts() (near, far int) {
	for _, e := range m.byVM {
		if e.info.Domain == m.self.Domain {
			near++
		}
	}
	return near, len(m.byVM) - near
}

// NearLive returns the ids of the live processes of the own failure domain that are not leaving.
func (m *Members) NearLive() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, e := range m.byVM {
		if e.live && !e.leaving && e.info.Domain == m.self.Domain {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// Live returns the ids of all live processes.
func (m *Members) Live() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, e := range m.byVM {
		if e.live {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// RecordEvacuations records which set of evacuated failure domains a process knows, as its status says.
func (m *Members) RecordEvacuations(id, vm string, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok && e.id == id {
		e.evacuationsVersion = version
	}
}

// Ahead returns the live processes whose desired state or evacuations are newer than the given versions.
func (m *Members) Ahead(desired, evacuations uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, e := range m.byVM {
		if e.live && (e.desiredVersion > desired || e.evacuationsVersion > evacuations) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// Close ends all links.
func (m *Members) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		go e.peer.Close()
	}
}
