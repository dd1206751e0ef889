package zone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against long tasks on slow workers in calm, while workers that are twice as fast idle at another owner: most of the
// jobs that are late on a quiet day are late for that reason alone.
func TestTasksAreNotPlacedAtSlowWorkers(t *testing.T) {
	type owner struct {
		id, domain string
		capacity   BackendCapacity
	}
	tests := []struct {
		name   string
		owners []owner
		want   string
	}{
		{"own workers are slow, others of the domain are not", []owner{
			{"self", "a", BackendCapacity{Free: 3, SlowFree: 3, Slots: 4}},
			{"near", "a", BackendCapacity{Free: 4, SlowFree: 3, Slots: 4}},
		}, "near"},
		{"only another failure domain has fast ones", []owner{
			{"self", "a", BackendCapacity{Free: 3, SlowFree: 3, Slots: 4}},
			{"far", "b", BackendCapacity{Free: 1, Slots: 4}},
		}, "far"},
		{"slow ones are better than a queue", []owner{
			{"self", "a", BackendCapacity{Free: 1, SlowFree: 1, Slots: 4}},
			{"near", "a", BackendCapacity{Slots: 4}},
		}, "self"},
		{"own fast ones come first", []owner{
			{"self", "a", BackendCapacity{Free: 2, SlowFree: 1, Slots: 4}},
			{"near", "a", BackendCapacity{Free: 4, Slots: 4}},
		}, "self"},
		{"none is fast", []owner{
			{"self", "a", BackendCapacity{Free: 1, SlowFree: 1, Slots: 4}},
			{"far", "b", BackendCapacity{Free: 4, SlowFree: 4, Slots: 4}},
		}, "self"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := NewSpeedAwareCapacityView("self", "a")
			for _, o := range tt.owners {
				v.Update(o.id, o.domain, false, map[string]*BackendCapacity{"s": &o.capacity})
			}
			got, ok := v.Reserve("s", 0, time.Second, func(string) bool { return false })
			require.True(t, ok)
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a home that takes slots on slow workers for fast ones once it has placed tasks in the fast ones.
func TestReservationsTakeFastSlotsFirst(t *testing.T) {
	v := NewSpeedAwareCapacityView("self", "a")
	v.Update("self", "a", false, map[string]*BackendCapacity{"s": {Free: 3, SlowFree: 2, Slots: 3}})
	v.Update("near", "a", false, map[string]*BackendCapacity{"s": {Free: 1, Slots: 1}})
	var placed []string
	for range 4 {
		owner, ok := v.Reserve("s", 0, time.Second, func(string) bool { return false })
		require.True(t, ok)
		placed = append(placed, owner)
	}
	require.Equal(t, []string{"self", "near", "self", "self"}, placed)
}
