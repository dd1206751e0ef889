package zone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// backlogOf returns the backlog of owners without free capacity, of which each has slots and waiting work by priority.
func backlogOf(owners ...BackendCapacity) Backlog {
	v := NewCapacityView("self", "z")
	for i, c := range owners {
		v.Update(string(rune('a'+i)), "z", false, map[string]*BackendCapacity{"s": &c})
	}
	return v.Backlog("s")
}

// Guards against refusals while an owner has free capacity, or while nothing waits.
func TestBacklogIsFull(t *testing.T) {
	waits := [Priorities]time.Duration{time.Second}
	require.False(t, backlogOf().Full(), "no owner")
	require.False(t, backlogOf(BackendCapacity{Slots: 4}).Full(), "all busy, nothing waits")
	require.True(t, backlogOf(BackendCapacity{Slots: 4, Waiting: waits}).Full())
	require.False(t, backlogOf(BackendCapacity{Slots: 4, Waiting: waits}, BackendCapacity{Slots: 4, Free: 1}).Full())
}

// Guards against a leaving owner whose queue counts, as all its runs are given back.
func TestBacklogLeavesOutLeavingOwners(t *testing.T) {
	v := NewCapacityView("self", "z")
	v.Update("a", "z", true, map[string]*BackendCapacity{"s": {Slots: 4, Free: 2}})
	require.Zero(t, v.Backlog("s"))
}

// Guards against a wait that counts what is served after the task, or only at another owner.
func TestLeastWait(t *testing.T) {
	b := backlogOf(
		BackendCapacity{Slots: 10, Waiting: [Priorities]time.Duration{2 * time.Second, 30 * time.Second}},
		BackendCapacity{Slots: 10, Waiting: [Priorities]time.Duration{4 * time.Second, 10 * time.Second}},
	)
	require.Equal(t, 200*time.Millisecond, b.LeastWait(0))
	require.Equal(t, time.Second, b.LeastWait(1))
	require.Zero(t, b.LeastWait(2))
	require.Zero(t, b.LeastWait(7), "the last priority stands for all lower ones")
	b.Free = 1
	require.Zero(t, b.LeastWait(1))
}

// Guards against a Retry-After that is shorter than the queue of the priority takes, or longer than all queues together do.
func TestDrain(t *testing.T) {
	for name, c := range map[string]struct {
		waiting  [Priorities]time.Duration
		priority int
		want     time.Duration
	}{
		"nothing waits":                    {priority: 1},
		"alone":                            {[Priorities]time.Duration{0, 20 * time.Second}, 1, 2 * time.Second},
		"two thirds of the workers":        {[Priorities]time.Duration{10 * time.Second, 100 * time.Second}, 0, 1500 * time.Millisecond},
		"no later than all work is done":   {[Priorities]time.Duration{10 * time.Second, 10 * time.Second}, 1, 2 * time.Second},
		"a third while the others go on":   {[Priorities]time.Duration{100 * time.Second, 10 * time.Second}, 1, 3 * time.Second},
		"the lowest stands for lower ones": {[Priorities]time.Duration{3: 10 * time.Second}, 9, time.Second},
	} {
		got := backlogOf(BackendCapacity{Slots: 10, Waiting: c.waiting}).Drain(c.priority)
		require.InDelta(t, c.want.Seconds(), got.Seconds(), 0.001, name)
	}
}
