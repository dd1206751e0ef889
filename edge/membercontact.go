package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
)

const (
	// contactSampleSpacing and contactSampleAge bound the samples that are kept of a member's timestamps. Older contacts are
	// of no use: owners stop a run that was refreshed 800 ms ago.
	contactSampleSpacing = 20 * time.Millisecond
	contactSampleAge     = 1200 * time.Millisecond
	// transitTime is the time that a message may have taken to arrive, unless its sender has acknowledged a later one. Between
	// failure domains it is a few milliseconds.
	transitTime = 50 * time.Millisecond
	// oneWayLimit is the time for which messages of a member count as contact although it acknowledges none. A slow VM sends
	// statuses up to 600 ms apart.
	oneWayLimit = 600 * time.Millisecond
	// reachLimit is the age of the last contact up to which a member counts as reached.
	reachLimit = 600 * time.Millisecond
	// statusLimit is the age of a member's last status up to which its acknowledgements count: statuses say which lists are in force.
	statusLimit = time.Second
	// silentMemory is how long after its last message the announcements of a silent member are asked of others.
	silentMemory = time.Minute
)

// recordTimestamp records a timestamp unless a newer one is known.
func (m *member) recordTimestamp(timestamp uint64, now time.Time) {
	if timestamp <= m.newest.Timestamp {
		return
	}
	m.newest = batch.Contact{Timestamp: timestamp, ReceivedAt: now}
	m.clock.record(timestamp, now)
	if n := len(m.samples); n > 0 && now.Sub(m.samples[n-1].ReceivedAt) < contactSampleSpacing {
		return
	}
	for len(m.samples) > 0 && now.Sub(m.samples[0].ReceivedAt) > contactSampleAge {
		m.samples = m.samples[1:]
	}
	m.samples = append(m.samples, m.newest)
}

// contactUntil returns the newest contact that was received no later than a time, as far as known.
func (m *member) contactUntil(limit time.Time) batch.Contact {
	if !m.newest.ReceivedAt.After(limit) {
		return m.newest
	}
	for i := len(m.samples) - 1; i >= 0; i-- {
		if !m.samples[i].ReceivedAt.After(limit) {
			return m.samples[i]
		}
	}
	return batch.Contact{}
}

// reachedAt returns a time at which messages passed between this process and the member: that of the newest message which
// the member has acknowledged, or of its own last message for a while after that.
func (m *member) reachedAt() time.Time {
	heard := m.lastContact.Add(-transitTime)
	if limit := m.ackedAt.Add(oneWayLimit); heard.After(limit) {
		heard = limit
	}
	if heard.After(m.ackedAt) {
		return heard
	}
	return m.ackedAt
}

// RecordAck records that a process has acknowledged a message that was sent at a time.
func (m *Members) RecordAck(id, vm string, sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok && e.id == id && sent.After(e.ackedAt) {
		e.ackedAt = sent
	}
}

// LastHeard returns when the last message of a process arrived, and whether it counts as live. One that has been replaced or
// dropped is remembered for as long as the jobs that it has announced.
func (m *Members) LastHeard(id string) (at time.Time, live bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byID(id); e != nil {
		return e.lastContact, e.live
	}
	return m.departed[id], false
}

// recordDeparture remembers the last message of a process that is about to be replaced or dropped. It expects m.mu to be held.
func (m *Members) recordDeparture(e *member) {
	for id, at := range m.departed {
		if e.lastContact.Sub(at) > contract.HeldRetention {
			delete(m.departed, id)
		}
	}
	if !e.lastContact.IsZero() {
		m.departed[e.id] = e.lastContact
	}
}

// isContact reports whether this process exchanges statuses with a member several times a second. It expects m.mu to be held.
func (m *Members) isContact(e *member) bool { return e.partner || e.info.Domain == m.self.Domain }

// Silent returns the processes that have ceased to be live not long ago, or that have not been heard since this one started.
func (m *Members) Silent(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, e := range m.byVM {
		recent := e.lastContact.IsZero() || now.Sub(e.lastContact) < silentMemory
		if !e.live && !e.leaving && recent {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// byID returns a known process, nil for none. It expects m.mu to be held.
func (m *Members) byID(id string) *member {
	for _, e := range m.byVM {
		if e.id == id {
			return e
		}
	}
	return nil
}
