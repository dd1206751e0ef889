package zone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a copy whose reservations change the view that homes place tasks by.
func TestReservationsInACloneDoNotChangeTheView(t *testing.T) {
	v := NewCapacityView("a", "z")
	v.Update("a", "z", false, map[string]*BackendCapacity{"b": {Free: 1, Slots: 2}})
	c := v.Clone()
	for range 3 {
		_, ok := c.Reserve("b", 0, time.Second, func(string) bool { return false })
		require.True(t, ok)
	}
	wait, _ := v.Wait("b", 0)
	require.Zero(t, wait)
	wait, _ = c.Wait("b", 0)
	require.Greater(t, wait, time.Second/2)
}

// Guards against owners that are listed in another order than that in which tasks are placed.
func TestOwnersAreOrderedByExpectedStart(t *testing.T) {
	v := NewCapacityView("a", "z")
	v.Update("a", "z", false, map[string]*BackendCapacity{"b": {Slots: 1, Waiting: [Priorities]time.Duration{time.Second}}})
	v.Update("far", "y", false, map[string]*BackendCapacity{"b": {Free: 1, Slots: 1}})
	v.Update("near", "z", false, map[string]*BackendCapacity{"b": {Free: 1, Slots: 1}})
	v.Update("none", "z", false, map[string]*BackendCapacity{"other": {Free: 1, Slots: 1}})
	var ids []string
	for _, o := range v.Owners("b", 0) {
		ids = append(ids, o.ID)
	}
	require.Equal(t, []string{"near", "far", "a"}, ids)
}

// Guards against a copy that places tasks by other rules than the view, or whose owners are listed in another order.
func TestCloneAvoidsSlowWorkersAsTheViewDoes(t *testing.T) {
	v := NewSpeedAwareCapacityView("a", "z")
	v.Update("a", "z", false, map[string]*BackendCapacity{"b": {Free: 2, SlowFree: 2, Slots: 2}})
	v.Update("near", "z", false, map[string]*BackendCapacity{"b": {Free: 2, Slots: 2}})
	owner, ok := v.Clone().Reserve("b", 0, time.Second, func(string) bool { return false })
	require.True(t, ok)
	require.Equal(t, "near", owner)
	require.Equal(t, "near", v.Clone().Owners("b", 0)[0].ID)
}
