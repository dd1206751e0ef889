package edge

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// silenceTimeout is the time without a message after which a member is not live. Members send a status at least every
// 200 ms.
const silenceTimeout = 700 * time.Millisecond

// refusedTimeout is the same for a member to which no connection can be opened.
const refusedTimeout = 400 * time.Millisecond

// silentStatuses is the number of statuses in a row that are missed by a member that is silent.
const silentStatuses = 4

// Members holds the other processes and the links to them. mu guards all fields below it.
type Members struct {
	self   machine.Member
	dial   func(vm, address string) *link.Peer
	logger *slog.Logger

	mu   sync.Mutex
	byVM map[string]*member
}

func newMembers(self machine.Member, dial func(vm, address string) *link.Peer, logger *slog.Logger) *Members {
	return &Members{self: self, dial: dial, logger: logger, byVM: make(map[string]*member)}
}

// Learn records that a process is said to exist. A process that is heard of directly counts more than what a list says.
// It returns the process that it replaces, if that was live.
func (m *Members) Learn(info machine.Member, direct bool) (replaced departure) {
	if info.VM == m.self.VM || info.VM == "" || info.Address == "" {
		return departure{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.byVM[info.VM]
	if ok && known.info == info {
		return departure{}
	}
	if ok && known.live && !direct {
		return departure{}
	}
	if ok {
		if known.live {
			replaced = departure{known.id, known.heard}
		}
		// What is queued was meant for the process that is replaced.
		go known.peer.Close()
		known.peer = m.dial(info.VM, info.Address)
		known.info, known.id, known.live, known.heard, known.ownsNothing, known.stamp = info, info.ID(), false, time.Time{}, true, 0
	} else {
		m.byVM[info.VM] = &member{info: info, id: info.ID(), peer: m.dial(info.VM, info.Address), ownsNothing: true}
	}
	m.logger.Info("member learned", "member", info.ID(), "address", info.Address, "domain", info.Domain,
		"direct", direct, "replaces", replaced.id)
	return replaced
}

// Heard records a message of a process. It reports whether the process has become live by it, and whether it is the one
// that is known on its VM.
func (m *Members) Heard(id, vm string, now time.Time) (became, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byVM[vm]
	if !ok || e.id != id {
		return false, false
	}
	became = !e.live
	e.heard, e.live = now, true
	if became {
		m.logger.Info("member is live", "member", id)
	}
	return became, true
}

// Status records what a live process says of itself. It reports whether its part in ownership has changed.
func (m *Members) Status(vm string, ownsNothing, leaving bool, desired, stamp uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byVM[vm]
	if !ok {
		return false
	}
	changed := e.ownsNothing != ownsNothing
	e.ownsNothing, e.leaving, e.desired, e.stamp = ownsNothing, leaving, desired, max(e.stamp, stamp)
	return changed
}

// Expire returns the processes that have been silent for too long and are not live any more. One that refuses connections
// is not there, and is not waited for as long as one that may be slow or cut off.
func (m *Members) Expire(now time.Time) []departure {
	m.mu.Lock()
	defer m.mu.Unlock()
	var gone []departure
	for _, e := range m.byVM {
		timeout := silenceTimeout
		switch {
		case e.peer.Failing():
			timeout = refusedTimeout
		case e.info.Domain != m.self.Domain && e.peer.Stuck(now) < silenceTimeout:
			// Statuses to other failure domains are rarer where there are many members; what has been sent to this one has been
			// acknowledged.
			timeout = max(silenceTimeout, silentStatuses*time.Duration(len(m.byVM))*farShare)
		}
		if e.live && now.Sub(e.heard) > timeout {
			e.live = false
			gone = append(gone, departure{e.id, e.heard})
			m.logger.Warn("member is silent", "member", e.info.ID(), "since", now.Sub(e.heard))
		}
	}
	return gone
}

// Keep drops the processes that are neither listed nor live.
func (m *Members) Keep(listed map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for vm, e := range m.byVM {
		if !listed[vm] && !e.live {
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

// Present returns the failure domains in which a live process owns workers or is about to.
func (m *Members) Present() map[string]bool {
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

// Settled reports whether every known process has been heard.
func (m *Members) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		if !e.live {
			return false
		}
	}
	return true
}

// Count returns the number of other processes that are known.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byVM)
}

// Send queues messages for a process. Messages for one that is not known on its VM any more are dropped.
func (m *Members) Send(id string, msgs ...*api.PeerMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		if e.id == id {
			e.peer.Send(msgs...)
			return
		}
	}
}

// Broadcast queues messages for all known processes. One that is not live gets them too, so that both sides of a healed
// partition hear of each other, but no more than one batch waits for it.
func (m *Members) Broadcast(msgs ...*api.PeerMessage) { m.broadcast(false, msgs) }

// BroadcastNear queues messages for the processes of the own failure domain.
func (m *Members) BroadcastNear(msgs ...*api.PeerMessage) { m.broadcast(true, msgs) }

func (m *Members) broadcast(near bool, msgs []*api.PeerMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		if near && e.info.Domain != m.self.Domain {
			continue
		}
		if e.live || e.peer.Flushed() {
			e.peer.Send(msgs...)
		}
	}
}

// Stamp returns the newest time that a process has sent of its own clock.
func (m *Members) Stamp(id string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		if e.id == id {
			return e.stamp
		}
	}
	return 0
}

// Stamped records a sign of life of a process: the stamp that came with an acknowledgement.
func (m *Members) Stamped(vm string, stamp uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok && e.live {
		e.stamp, e.heard = max(e.stamp, stamp), now
	}
}

// Counts returns the numbers of other processes in the own failure domain and in others.
func (m *Members) Counts() (near, far int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.byVM {
		if e.info.Domain == m.self.Domain {
			near++
		}
	}
	return near, len(m.byVM) - near
}

// NearLive returns the ids of the live processes of the own failure domain that are not about to leave.
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

// Behind returns the live processes whose desired state is older than a version.
func (m *Members) Behind(version uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, e := range m.byVM {
		if e.live && e.desired < version {
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
