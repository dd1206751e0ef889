package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitingWork is the capacity of a full owner at which runs wait for that long.
func waitingWork(d time.Duration) map[string]*BackendCapacity {
	return map[string]*BackendCapacity{"s": {Slots: 8, Waiting: [Priorities]time.Duration{1: d}}}
}

// Guards against invitations to owners that have nothing to give up, that are leaving, or that are farther away than
// others. Each case has a member "self" of the domain "z" with free capacity for one back end.
func TestOwnersToInvite(t *testing.T) {
	type owner struct {
		id, domain  string
		leaving     bool
		waiting     time.Duration
		invitations int
	}
	for name, c := range map[string]struct {
		owners []owner
		n      int
		want   []string
	}{
		"nothing waits anywhere":                      {owners: []owner{{id: "a", domain: "z"}, {id: "b", domain: "y"}}, n: 2},
		"the own queue counts for nothing":            {owners: []owner{{id: "self", domain: "z", waiting: time.Second}}, n: 2},
		"a leaving owner gives its runs back itself":  {owners: []owner{{id: "a", domain: "z", leaving: true, waiting: time.Second}}, n: 2},
		"the own domain first":                        {owners: []owner{{id: "a", domain: "z", waiting: time.Millisecond}, {id: "b", domain: "y", waiting: time.Minute}}, n: 2, want: []string{"a"}},
		"others if nothing waits in the own":          {owners: []owner{{id: "a", domain: "z"}, {id: "b", domain: "y", waiting: time.Second}}, n: 2, want: []string{"b"}},
		"no more than wanted":                         {owners: []owner{{id: "a", domain: "z", waiting: time.Second}, {id: "b", domain: "z", waiting: time.Nanosecond}}, n: 1, want: []string{"a"}},
		"one that has been invited since its report":  {owners: []owner{{id: "a", domain: "z", waiting: time.Second, invitations: maxInvitations - 1}}, n: 2, want: []string{"a"}},
		"one that has been invited too often since":   {owners: []owner{{id: "a", domain: "z", waiting: time.Second, invitations: maxInvitations}}, n: 2},
		"others while the own domain is at its limit": {owners: []owner{{id: "a", domain: "z", waiting: time.Second, invitations: maxInvitations}, {id: "b", domain: "y", waiting: time.Second}}, n: 2, want: []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewCapacityView("self", "z")
			for _, o := range c.owners {
				v.Update(o.id, o.domain, o.leaving, waitingWork(o.waiting))
				for range o.invitations {
					v.RecordInvitation(o.id, "s")
				}
			}
			require.Equal(t, c.want, v.LoadedOwners("s", c.n))
			require.Empty(t, v.LoadedOwners("other", c.n))
		})
	}
}

// Guards against an owner that is not invited any more although its next report shows that runs still wait.
func TestReportEndsTheCountOfInvitations(t *testing.T) {
	v := NewCapacityView("self", "z")
	for range 2 {
		v.Update("a", "z", false, waitingWork(time.Second))
		for range maxInvitations {
			require.Equal(t, []string{"a"}, v.LoadedOwners("s", 1))
			v.RecordInvitation("a", "s")
		}
		require.Empty(t, v.LoadedOwners("s", 1))
	}
	v.RecordInvitation("gone", "s")
}

// Guards against owners with free capacity that all invite the same loaded one: 1,000 members see four owners at which 1, 2, 3 and 4 s of
// work wait.
func TestInvitationsAreSpreadByWaitingWork(t *testing.T) {
	const members = 1000
	chosen := make(map[string]int)
	for m := range members {
		v := NewCapacityView(fmt.Sprint("member-", m), "z")
		for o := range 4 {
			v.Update(fmt.Sprint("owner-", o), "z", false, waitingWork(time.Duration(o+1)*time.Second))
		}
		for _, id := range v.LoadedOwners("s", 1) {
			chosen[id]++
		}
	}
	for o := range 4 {
		share := members * (o + 1) / 10
		require.InDelta(t, share, chosen[fmt.Sprint("owner-", o)], float64(share)/2, "invitations of owner %d", o)
	}
}

// Guards against an owner that is chosen twice for one offer, and against a choice beyond the last owner.
func TestChoiceOfLoadedOwners(t *testing.T) {
	owners := func() []loadedOwner {
		return []loadedOwner{{id: "a", waiting: 10}, {id: "b", waiting: 40, invitations: 2}, {id: "c", waiting: 1, invitations: 2}}
	}
	first := func(int64) int64 { return 0 }
	last := func(total int64) int64 { return total - 1 }
	require.Equal(t, []string{"a", "b"}, chooseLoaded(owners(), 2, first))
	require.Equal(t, []string{"c", "b", "a"}, chooseLoaded(owners(), 4, last))
	require.Equal(t, []string{"b"}, chooseLoaded(owners(), 1, func(total int64) int64 {
		require.EqualValues(t, 21, total)
		return 10
	}))
}
