package zone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadadale/cicadadale/machine"
)

// Guards against contradicting answers: whatever messages members receive and whatever they promise, a home that a
// quorum has promised to refuse never holds its answer lease again.
func TestDeclaredHomeHoldsNoAnswerLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const home = machine.Incarnation(7)
		n := rapid.IntRange(2, 8).Draw(t, "members")
		names := []string{"b", "c", "d", "e", "f", "g", "h"}[:n-1]
		now := time.Unix(1000, 0)
		lease := NewAnswerLease()
		members := make(map[string]*Homes)
		for _, m := range names {
			members[m] = NewHomes()
		}
		declared := false
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"message": func(t *rapid.T) {
				m := rapid.SampledFrom(names).Draw(t, "member")
				sent := now
				lease.Sent(m, sent)
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond)
				if ok, _ := members[m].ObserveMessage("a", home, now); ok && rapid.Bool().Draw(t, "acknowledged") {
					lease.Acknowledged(m, sent)
				}
			},
			"vote": func(t *rapid.T) {
				promised := 0
				for _, m := range names {
					if rapid.Bool().Draw(t, "asked") && members[m].Silent(home, true, now) {
						promised++
					}
				}
				declared = declared || promised >= DeclareQuorum(n)
			},
			"": func(t *rapid.T) {
				if declared {
					require.False(t, lease.Holds(names, now))
				}
			},
		})
	})
}

// Guards against an id that is answered as lost although its home has handed it over, and against a cycle of
// successors.
func TestLocateFollowsSuccessors(t *testing.T) {
	h := NewHomes()
	now := time.Unix(1000, 0)
	for vm, inc := range map[string]machine.Incarnation{"a": 1, "b": 2, "c": 3} {
		ok, fresh := h.ObserveMessage(vm, inc, now)
		require.True(t, ok && fresh)
	}
	h.SetSuccession(Succession{Home: 1, VM: "a", Successor: 2, SuccessorVM: "b"}, now)
	require.Equal(t, machine.Incarnation(1), h.Locate(1, now).Incarnation, "the home still answers")
	h.SetSuccession(Succession{Home: 1, VM: "a", Successor: 2, SuccessorVM: "b", Complete: true}, now)
	h.SetSuccession(Succession{Home: 2, VM: "b", Successor: 3, SuccessorVM: "c"}, now)
	require.Equal(t, machine.Incarnation(2), h.Locate(1, now).Incarnation)
	h.ObserveMessage("b", 20, now)
	require.Equal(t, Home{State: HomeRunning, VM: "c", Incarnation: 3}, h.Locate(1, now))
	h.SetSuccession(Succession{Home: 3, VM: "c", Successor: 1, SuccessorVM: "a", Complete: true}, now)
	require.Equal(t, HomeUnknown, h.Locate(1, now).State)
}

// Guards against treating a restarted process as the old one, and against accepting messages of the old one again.
func TestReplacedIncarnationIsGoneAtOnce(t *testing.T) {
	h := NewHomes()
	now := time.Unix(1000, 0)
	h.ObserveMessage("a", 1, now)
	h.ObserveMessage("a", 2, now)
	require.Equal(t, HomeGone, h.Locate(1, now).State)
	ok, _ := h.ObserveMessage("a", 1, now)
	require.False(t, ok)
	require.True(t, h.Refuses(1))
	require.Equal(t, HomeRunning, h.Locate(2, now).State)
}

// Guards against "outcome unknown" for a home that is missing from the list only briefly.
func TestDroppedHomeIsGoneAfterSilenceLimit(t *testing.T) {
	h := NewHomes()
	now := time.Unix(1000, 0)
	h.ObserveMessage("a", 1, now)
	h.ApplyList(map[string]bool{"a": true}, now)
	h.ApplyList(nil, now)
	require.Equal(t, HomeSilent, h.Locate(1, now).State)
	h.ApplyList(map[string]bool{"a": true}, now)
	require.Equal(t, HomeRunning, h.Locate(1, now).State)
	h.ApplyList(nil, now)
	h.ApplyList(nil, now.Add(SilenceLimit))
	require.Equal(t, HomeGone, h.Locate(1, now).State)
}

// Guards against slots that are taken back later than 3 s after a crash, with a check every 500 ms.
func TestSilentMemberIsGoneWithinThreeSeconds(t *testing.T) {
	d := NewFailureDomain(1, "self")
	now := time.Unix(1000, 0)
	d.ApplyList([]Listing{{VM: machine.EntryVM{ID: "a"}, Domain: 1}}, now)
	d.ObserveMessage("a", 1, false, now)
	var gone time.Duration
	for elapsed := time.Duration(0); elapsed <= 3*time.Second; elapsed += 500 * time.Millisecond {
		for _, c := range d.Tick(now.Add(elapsed)) {
			if c.To == MemberGone {
				gone = elapsed
			}
		}
	}
	require.NotZero(t, gone)
}

// Guards against slots that stay assigned to the old process when a VM's process restarts before it is suspected.
func TestRestartedMemberLosesItsSlots(t *testing.T) {
	d := NewFailureDomain(1, "self")
	now := time.Unix(1000, 0)
	d.ApplyList([]Listing{{VM: machine.EntryVM{ID: "a"}, Domain: 1}}, now)
	d.ObserveMessage("a", 1, false, now)
	changes := d.ObserveMessage("a", 2, false, now)
	require.Equal(t, MemberGone, changes[0].To)
	require.Equal(t, machine.Incarnation(1), changes[0].VM.Incarnation)
	require.Equal(t, MemberLive, changes[1].To)
	d.ApplyList([]Listing{{VM: machine.EntryVM{ID: "a"}, Domain: 1, Leaving: true}}, now)
	d.ObserveMessage("a", 3, false, now)
	require.Empty(t, d.Live(), "leaving is never reverted")
}

// Guards against a member that is gone but listed as leaving and changes state with each list and each check.
func TestGoneMemberStaysGoneWhileListedAsLeaving(t *testing.T) {
	d := NewFailureDomain(1, "self")
	now := time.Unix(1000, 0)
	leaving := []Listing{{VM: machine.EntryVM{ID: "a"}, Domain: 1, Leaving: true}}
	d.ApplyList(leaving, now)
	d.ObserveMessage("a", 1, false, now)
	now = now.Add(SilenceLimit + time.Millisecond)
	require.Len(t, d.Tick(now), 1)
	require.Empty(t, d.ApplyList(leaving, now))
	require.Empty(t, d.Tick(now))
	d.ObserveMessage("a", 1, false, now)
	require.Empty(t, d.Live())
}

// Guards against a crashed home that is forgotten because the members that were in contact with it are replaced
// before its end is detected. A member that knows it only from others must find it gone, by the list or by the next
// process on its VM, and must not end a process that is newer than the one it is in contact with.
func TestReportedHomeIsGone(t *testing.T) {
	const home, next = machine.Incarnation(7), machine.Incarnation(8)
	now := time.Unix(1000, 0)
	dropped := NewHomes()
	dropped.AddReported("a", home, now)
	require.Equal(t, HomeRunning, dropped.Locate(home, now).State)
	dropped.ApplyList(map[string]bool{"a": true}, now)
	dropped.ApplyList(map[string]bool{}, now)
	dropped.ApplyList(map[string]bool{}, now.Add(SilenceLimit))
	require.Equal(t, HomeGone, dropped.Locate(home, now).State)

	restarted := NewHomes()
	restarted.AddReported("a", home, now)
	later := now.Add(SilenceLimit)
	restarted.ObserveMessage("a", next, later)
	restarted.ApplyList(map[string]bool{"a": true}, later)
	require.Equal(t, HomeGone, restarted.Locate(home, later).State)

	stale := NewHomes()
	stale.ObserveMessage("a", home, now)
	stale.AddReported("a", next, now)
	stale.ApplyList(map[string]bool{"a": true}, later)
	require.Equal(t, HomeRunning, stale.Locate(next, later).State)
}

// Guards against declaring the home of a new VM gone because the list lags: members knew it before the list showed
// it, and answered its jobs as lost while it ran them (soak seeds 110 and 136).
func TestUnlistedHomeIsNotDropped(t *testing.T) {
	const home = machine.Incarnation(7)
	now := time.Unix(1000, 0)
	h := NewHomes()
	h.AddReported("new", home, now)
	h.ApplyList(map[string]bool{}, now)
	h.ApplyList(map[string]bool{}, now.Add(2*SilenceLimit))
	require.Equal(t, HomeRunning, h.Locate(home, now).State)
	accepted, _ := h.ObserveMessage("new", home, now.Add(2*SilenceLimit))
	require.True(t, accepted)
	h.ApplyList(map[string]bool{}, now.Add(unlistedLimit))
	h.ApplyList(map[string]bool{}, now.Add(2*unlistedLimit))
	require.Equal(t, HomeGone, h.Locate(home, now.Add(2*unlistedLimit)).State)
}
