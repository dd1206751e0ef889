package contract

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// recentOrigins bounds the changes that are remembered to name the winner of conflicting changes.
	recentOrigins = 32
	// maxHeldRecords bounds the records held after a gap until a snapshot arrives.
	maxHeldRecords = 4096
	// snapshotEvery and snapshotAge are the number of records and the time after which a snapshot is due; the age is a
	// quarter of the shortest retention for which the log is set up, 24 h.
	snapshotEvery = 256
	snapshotAge   = 6 * time.Hour
	// snapshotMargin is the minimum number of records between the oldest one that the log keeps and the oldest one that
	// is needed. With fewer, a snapshot is due immediately, before the log drops a record that is needed.
	snapshotMargin = 64
)

// ConfigState applies the records of the stream "config" in offset order. All readers that have applied the same
// records hold the same revision. mu guards all fields but check, which is a pure function of a document.
type ConfigState struct {
	check func(ConfigDocument) []string

	mu       sync.Mutex
	known    bool // false until the state at some offset is known
	next     uint64
	revision uint64
	document ConfigDocument
	recent   []ConfigOrigin

	// After a gap, records from the offset gapFirst on are held until a snapshot covers what is missing.
	gap      bool
	gapFirst uint64
	held     []heldRecord

	// needed is the offset from which on the log must keep records; neededTime is when the snapshot that set it was
	// written.
	needed     uint64
	neededTime time.Time
}

type heldRecord struct {
	offset uint64
	at     time.Time
	record ConfigRecord
}

// NewConfigState returns a state without a configuration. check returns the faults of a document; a change that leads
// to a faulty document is rejected.
func NewConfigState(check func(ConfigDocument) []string) *ConfigState {
	return &ConfigState{check: check}
}

// ConfigView is the configuration at one point in time.
type ConfigView struct {
	Known    bool
	Next     uint64
	Revision uint64
	Origin   ConfigOrigin
	Document ConfigDocument
}

// View returns the configuration in effect.
func (s *ConfigState) View() ConfigView {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := ConfigView{Known: s.known, Next: s.next, Revision: s.revision, Document: s.document}
	if n := len(s.recent); n > 0 {
		v.Origin = s.recent[n-1]
	}
	return v
}

// Position returns the offset from which to read the log.
func (s *ConfigState) Position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position()
}

// position expects s.mu to be held.
func (s *ConfigState) position() uint64 {
	if s.gap {
		return s.gapFirst + uint64(len(s.held))
	}
	return s.next
}

// SetOldestOffset sets the oldest offset that the log keeps. Only a log that still holds its first record proves that
// nothing is missing; of a truncated log only a snapshot that covers the missing records shows the earlier state.
func (s *ConfigState) SetOldestOffset(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first == 0 && !s.known {
		s.known = true
	}
	if first > s.position() || (first > 0 && !s.known && !s.gap) {
		s.gap, s.gapFirst, s.held = true, first, nil
	}
}

// Apply applies the record at an offset. Records that were already applied are ignored, as are records beyond the
// next one. It returns the decisions on changes, several when a snapshot has closed a gap.
func (s *ConfigState) Apply(offset uint64, at time.Time, r ConfigRecord) []ConfigVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gap {
		return s.hold(heldRecord{offset: offset, at: at, record: r})
	}
	if !s.known || offset != s.next {
		return nil
	}
	return s.apply(heldRecord{offset: offset, at: at, record: r})
}

// hold keeps a record until a snapshot closes the gap. It expects s.mu to be held.
func (s *ConfigState) hold(h heldRecord) []ConfigVerdict {
	if h.offset != s.position() || len(s.held) >= maxHeldRecords {
		return nil
	}
	s.held = append(s.held, h)
	snap := h.record.Snapshot
	if snap == nil || snap.Next > h.offset || snap.Next < s.gapFirst || (s.known && snap.Next < s.next) {
		return nil
	}
	s.adopt(*snap)
	return s.applyHeld()
}

// applyHeld applies the held records that follow the adopted state. It expects s.mu to be held.
func (s *ConfigState) applyHeld() []ConfigVerdict {
	if s.next < s.gapFirst {
		return nil
	}
	held := s.held
	s.gap, s.held = false, nil
	var out []ConfigVerdict
	for _, h := range held {
		if h.offset == s.next {
			out = append(out, s.apply(h)...)
		}
	}
	return out
}

// adopt replaces the state by a snapshot. It expects s.mu to be held.
func (s *ConfigState) adopt(snap ConfigSnapshot) {
	s.known = true
	s.next, s.revision, s.document = snap.Next, snap.Revision, snap.Document
	s.recent = append([]ConfigOrigin(nil), snap.Recent...)
}

// Adopt replaces the state by that of a peer if the peer is ahead. The state at an offset is the same at every
// reader, so a peer's state is as reliable as the log; the state of a peer that is behind is ignored.
func (s *ConfigState) Adopt(snap ConfigSnapshot) ([]ConfigVerdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known && snap.Next <= s.next {
		return nil, false
	}
	s.adopt(snap)
	if !s.gap {
		return nil, true
	}
	return s.applyHeld(), true
}

// apply expects s.mu to be held and the record to be the next one.
func (s *ConfigState) apply(h heldRecord) []ConfigVerdict {
	s.next = h.offset + 1
	switch {
	case h.record.Snapshot != nil:
		if n := h.record.Snapshot.Next; n <= h.offset && n >= s.needed {
			s.needed, s.neededTime = n, h.at
		}
		return nil
	case h.record.Change == nil:
		return nil
	}
	if s.neededTime.IsZero() {
		s.neededTime = h.at
	}
	return []ConfigVerdict{s.decide(h.offset, *h.record.Change)}
}

// decide expects s.mu to be held.
func (s *ConfigState) decide(offset uint64, c ConfigChange) ConfigVerdict {
	v := ConfigVerdict{Offset: offset, ID: c.ID, Author: c.Author, Revision: s.revision}
	if c.ID == "" || c.Author == "" {
		v.Reason = "a change needs an id and an author"
		return v
	}
	if c.Base != s.revision {
		v.Reason = fmt.Sprintf("base revision %d is not the present revision %d", c.Base, s.revision)
		v.Winner = s.originOf(c.Base + 1)
		return v
	}
	document := s.document.Patched(c.Patch)
	if faults := s.check(document); len(faults) > 0 {
		v.Reason = strings.Join(faults, "; ")
		return v
	}
	s.document = document.withQuotaRevisions(s.document, s.revision+1)
	s.revision++
	s.recent = append(s.recent, ConfigOrigin{Revision: s.revision, ID: c.ID, Author: c.Author})
	if over := len(s.recent) - recentOrigins; over > 0 {
		s.recent = append([]ConfigOrigin(nil), s.recent[over:]...)
	}
	v.Accepted, v.Revision = true, s.revision
	return v
}

// originOf returns the change that made a revision, or the last one if that revision is no longer remembered. It
// expects s.mu to be held.
func (s *ConfigState) originOf(revision uint64) ConfigOrigin {
	for _, o := range s.recent {
		if o.Revision == revision {
			return o
		}
	}
	if n := len(s.recent); n > 0 {
		return s.recent[n-1]
	}
	return ConfigOrigin{}
}

// Snapshot returns the state for publication, or false if it is not known.
func (s *ConfigState) Snapshot() (ConfigSnapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConfigSnapshot{
		Next: s.next, Revision: s.revision, Recent: append([]ConfigOrigin(nil), s.recent...), Document: s.document,
	}, s.known
}

// SnapshotDue reports whether a snapshot has to be published; first is the oldest offset that the log keeps.
func (s *ConfigState) SnapshotDue(first uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// After a gap this state covers none of the records that the log has dropped.
	if !s.known || s.gap || s.revision == 0 {
		return false
	}
	if (first > 0 && first+snapshotMargin > s.needed && s.next > s.needed+1) || first > s.needed {
		return true
	}
	return s.next-s.needed >= snapshotEvery || (!s.neededTime.IsZero() && now.Sub(s.neededTime) >= snapshotAge)
}

// Gapped reports whether the log has dropped records that this state lacks.
func (s *ConfigState) Gapped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gap
}
