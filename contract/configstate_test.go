package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func acceptAll(ConfigDocument) []string { return nil }

func customerChange(id string, base uint64, customer string, weight float64) ConfigRecord {
	return ConfigRecord{Change: &ConfigChange{ID: id, Author: "a-" + id, Base: base, Patch: ConfigPatch{
		Customers: map[string]*CustomerConfig{customer: {Weight: weight}},
	}}}
}

// Guards against accepting two conflicting changes of operators, and against a rejection that does not name the
// accepted change.
func TestStaleBaseIsRejected(t *testing.T) {
	s := NewConfigState(acceptAll)
	s.SetOldestOffset(0)
	now := time.Unix(0, 0)
	require.True(t, s.Apply(0, now, customerChange("first", 0, "c", 1))[0].Accepted)
	v := s.Apply(1, now, customerChange("second", 0, "c", 2))[0]
	require.False(t, v.Accepted)
	require.Equal(t, ConfigOrigin{Revision: 1, ID: "first", Author: "a-first"}, v.Winner)
	require.Equal(t, 1.0, s.View().Document.Customers["c"].Weight)
	require.Empty(t, s.Apply(0, now, customerChange("again", 1, "c", 3)), "an applied offset must not be applied again")
}

// Guards against a new process that adopts an old revision from a truncated log: neither an emptied stream nor a
// snapshot that is older than the dropped records suffices.
func TestTruncatedLogShowsNoRevision(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewConfigState(acceptAll)
	s.SetOldestOffset(57)
	require.False(t, s.View().Known)
	s.Apply(57, now, ConfigRecord{Snapshot: &ConfigSnapshot{Next: 40, Revision: 3}})
	require.False(t, s.View().Known, "records 40 to 56 may have made later revisions")
	s.Apply(58, now, customerChange("x", 5, "c", 1))
	s.Apply(59, now, ConfigRecord{Snapshot: &ConfigSnapshot{Next: 58, Revision: 5}})
	v := s.View()
	require.True(t, v.Known)
	require.Equal(t, uint64(6), v.Revision, "the record after the snapshot's state and before its offset is applied")
	require.Equal(t, uint64(60), v.Next)
}

// Guards against a restarted VM that goes back to the older state of a stale peer.
func TestStalePeerIsIgnored(t *testing.T) {
	s := NewConfigState(acceptAll)
	_, ok := s.Adopt(ConfigSnapshot{Next: 10, Revision: 4})
	require.True(t, ok)
	_, ok = s.Adopt(ConfigSnapshot{Next: 9, Revision: 3})
	require.False(t, ok)
	require.Equal(t, uint64(4), s.View().Revision)
}

// configHistory is a log, with the state at each offset of a reader that has missed nothing.
type configHistory struct {
	records []ConfigRecord
	states  []ConfigSnapshot
}

func drawConfigHistory(t *rapid.T) configHistory {
	full := NewConfigState(func(d ConfigDocument) []string {
		if len(d.Customers) > 3 {
			return []string{"too many customers"}
		}
		return nil
	})
	full.SetOldestOffset(0)
	state, _ := full.Snapshot()
	h := configHistory{states: []ConfigSnapshot{state}}
	for i := range rapid.IntRange(1, 60).Draw(t, "records") {
		var r ConfigRecord
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0: // a snapshot by a member that may be behind
			snap := h.states[rapid.IntRange(max(0, i-4), i).Draw(t, "snapshot of")]
			r.Snapshot = &snap
		case 1: // malformed
		default:
			rev := full.View().Revision
			base := rev - min(rev, uint64(rapid.IntRange(0, 1).Draw(t, "stale")))
			r = customerChange(fmt.Sprint(i), base, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "customer")), float64(i))
		}
		full.Apply(uint64(i), time.Unix(int64(i), 0), r)
		h.records = append(h.records, r)
		state, _ := full.Snapshot()
		h.states = append(h.states, state)
	}
	return h
}

// Guards against readers that disagree or go back to an older revision, whatever they miss: pages lost and repeated,
// a truncated log, restarts, states of stale and current peers.
func TestConfigReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawConfigHistory(t)
		check := func(d ConfigDocument) []string {
			if len(d.Customers) > 3 {
				return []string{"too many customers"}
			}
			return nil
		}
		s := NewConfigState(check)
		first := 0
		var last ConfigView
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				first = rapid.IntRange(first, len(h.records)).Draw(t, "first")
			case 1:
				s.Adopt(h.states[rapid.IntRange(0, len(h.states)-1).Draw(t, "peer")])
			case 2:
				s = NewConfigState(check)
				last = ConfigView{}
			default:
				s.SetOldestOffset(uint64(first))
				from := max(first, int(s.Position())-rapid.IntRange(0, 2).Draw(t, "repeated"))
				to := min(len(h.records), from+rapid.IntRange(0, 10).Draw(t, "page"))
				for i := from; i < to; i++ {
					s.Apply(uint64(i), time.Unix(int64(i), 0), h.records[i])
				}
			}
			v := s.View()
			if v.Known {
				want := h.states[v.Next]
				require.Equal(t, want.Revision, v.Revision)
				require.Equal(t, want.Document, v.Document)
			}
			require.GreaterOrEqual(t, v.Next, last.Next)
			require.GreaterOrEqual(t, v.Revision, last.Revision)
			last = v
		}
	})
}
