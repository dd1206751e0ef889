package zone

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two parts of a deployment that both count as a majority, and against a home that needs members that have left.
func TestMajorityContact(t *testing.T) {
	now := time.Now()
	for members := 1; members <= 9; members++ {
		var others []string
		for n := 1; n < members; n++ {
			others = append(others, fmt.Sprint(n))
		}
		e := NewElectorate(others)
		for reached := 0; reached < members; reached++ {
			contact := func(id string) (time.Time, bool) {
				for n := range reached {
					if id == fmt.Sprint(n+1) {
						return now, true
					}
				}
				return now.Add(-time.Hour), true
			}
			inContact := e.MajorityContact(now, contact).Equal(now)
			require.Equal(t, 2*(reached+1) > members, inContact, "%d of %d", reached+1, members)
		}
		left := func(string) (time.Time, bool) { return time.Time{}, false }
		require.Equal(t, now, e.MajorityContact(now, left), "all others have left")
	}
	ab, ba := NewElectorate([]string{"a", "b"}), NewElectorate([]string{"b", "a"})
	require.Equal(t, ab, ba, "the order of the members does not count")
}

// Guards against a part of a large deployment that counts as a majority since the electors of its own failure domain outnumber those
// that stand for the other domains, and against electors that are too few for any majority.
func TestElectorsStandForTheirFailureDomain(t *testing.T) {
	now := time.Now()
	var electors []Elector
	for n := range 23 {
		electors = append(electors, Elector{fmt.Sprintf("near-%d", n), MemberWeight})
	}
	for domain := range 2 {
		for n := range 3 {
			electors = append(electors, Elector{fmt.Sprintf("far-%d-%d", domain, n), 24 * MemberWeight / 3})
		}
	}
	// Of 97 members in four failure domains, nobody stands for the last one.
	e := NewWeightedElectorate(electors, 25*MemberWeight)
	reaching := func(prefixes ...string) bool {
		at := e.MajorityContact(now, func(m string) (time.Time, bool) {
			for _, p := range prefixes {
				if strings.HasPrefix(m, p) {
					return now, true
				}
			}
			return time.Time{}, true
		})
		return at.Equal(now)
	}
	require.False(t, reaching("near"), "24 of 97")
	require.False(t, reaching("near", "far-0"), "48 of 97")
	require.True(t, reaching("near", "far"), "72 of 97")
	require.True(t, reaching("far-0", "far-1", "near-1"), "50 of 97")
	require.False(t, NewWeightedElectorate(nil, MemberWeight).MajorityContact(now, nil).Equal(now), "one of two")
}

// Guards against a majority of one list of members that counts without one of another list in force, and against a home that counts in
// a list which does not name it.
func TestMajorityOfEachList(t *testing.T) {
	now := time.Now()
	member := func(vms ...string) (electors []Elector) {
		for _, vm := range vms {
			electors = append(electors, Elector{vm, MemberWeight})
		}
		return electors
	}
	later, earlier := NewElectorate([]string{"a", "b"}), NewOuterElectorate(member("b", "c", "d"), 0)
	for reached, want := range map[string]bool{"a": false, "b": false, "ab": false, "cd": false, "ac": false, "bc": true, "acd": true} {
		has := func(vm string) bool { return strings.Contains(reached, vm) }
		at := later.Joint([]*Electorate{earlier}).MajorityContact(now, func(vm string) (time.Time, bool) {
			if has(vm) {
				return now, true
			}
			return time.Time{}, true
		})
		require.Equal(t, want, at.Equal(now), reached)
		require.Equal(t, want, later.Joint([]*Electorate{earlier}).ReachesHalf(true, has), reached)
	}
	require.False(t, later.Equal(later.Joint([]*Electorate{earlier})))
	require.True(t, NewOuterElectorate(nil, 0).MajorityContact(now, nil).Equal(now), "all others have left, and so does the home")
}
