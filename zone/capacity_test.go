package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against homes that all place their tasks at the same owner: they have the same view of the free capacity, and
// none of them sees the tasks of the others before the owners' next statuses.
func TestHomesWithTheSameViewSpreadTheirTasks(t *testing.T) {
	const homes, owners = 1000, 10
	placed := make(map[string]int)
	for h := range homes {
		v := NewCapacityView(fmt.Sprintf("home-%d", h), "z")
		for o := range owners {
			// Half of the owners have three times the free capacity of the others.
			v.Update(fmt.Sprintf("owner-%d", o), "z", false, map[string]*BackendCapacity{
				"s": {Free: 1 + 2*(o%2), Slots: 8},
			})
		}
		id, ok := v.Reserve("s", 0, time.Second, func(string) bool { return false })
		require.True(t, ok)
		placed[id]++
	}
	for o := range owners {
		share := homes * (1 + 2*(o%2)) / (2 * owners)
		n := placed[fmt.Sprintf("owner-%d", o)]
		require.Greater(t, n, share/2, "tasks at owner %d", o)
		require.Less(t, n, 2*share, "tasks at owner %d", o)
	}
}

// Guards against partners that leave some candidates without members, or that all change when one candidate leaves.
func TestPartnersAreSpreadAndStable(t *testing.T) {
	var candidates []Candidate
	for d := range 3 {
		for i := range 12 {
			name := fmt.Sprintf("vm-%d-%d", d, i)
			candidates = append(candidates, Candidate{ID: name, VM: name, Domain: fmt.Sprint(d), Weight: 1})
		}
	}
	const members, n = 60, 3
	chosen := make(map[string]int)
	changed := 0
	for m := range members {
		member := fmt.Sprintf("member-%d", m)
		before := Partners(member, candidates, n)
		require.Len(t, before, 3*n)
		after := make(map[string]bool)
		for _, id := range Partners(member, candidates[1:], n) {
			after[id] = true
		}
		for _, id := range before {
			chosen[id]++
			if !after[id] {
				changed++
			}
		}
	}
	require.Len(t, chosen, len(candidates), "candidates that are a partner of some member")
	require.Equal(t, chosen[candidates[0].ID], changed, "only the partner that has left is replaced")
}

// Guards against all waiting tasks that move to the few owners with free capacity: most find it taken, and the messages
// of their moves keep small VMs from starting others.
func TestFewTasksMoveToLittleCapacity(t *testing.T) {
	const tries = 1000
	cases := []struct {
		free, waiting int
		most, least   int
	}{
		{free: 2, waiting: 100, most: tries / 20, least: 1},
		{free: 10, waiting: 5, most: tries, least: tries},
		{free: 0, waiting: 5, most: 0, least: 0},
	}
	for _, c := range cases {
		v := NewCapacityView("home", "z")
		full := &BackendCapacity{Slots: 8}
		full.Waiting[0] = time.Duration(c.waiting) * 100 * time.Millisecond
		v.Update("full", "z", false, map[string]*BackendCapacity{"s": full})
		v.Update("other", "z", false, map[string]*BackendCapacity{"s": {Free: c.free, Slots: 16}})
		moves := 0
		for range tries {
			if v.ShouldMove("s", "full", 100*time.Millisecond) {
				moves++
			}
		}
		require.LessOrEqual(t, moves, c.most, "%d free, %d waiting", c.free, c.waiting)
		require.GreaterOrEqual(t, moves, c.least, "%d free, %d waiting", c.free, c.waiting)
	}
}
