package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/machine"
)

// Guards against starts on a leaving worker when this VM has seen the worker list and the slot allocator has not: a
// held slot continued to serve, and the allocator granted it again.
func TestSchedulerAvoidsLeavingWorker(t *testing.T) {
	leaving := false
	sched := newTestScheduler(nil)
	sched.o.Leaving = func(w machine.WorkerID) bool { return leaving && w == "slow" }
	now := time.Unix(1000, 0)
	grant := []contract.SlotGrant{{Worker: "slow", Short: 1, Epoch: 1, TTL: time.Minute}}

	require.Empty(t, sched.Push([]customer.Item{
		testItem(1, backend.ClassShort, time.Second, now), testItem(2, backend.ClassShort, time.Second, now),
	}, now).Assignments)
	plan := sched.AddGrants(grant, now)
	require.Len(t, plan.Assignments, 1)

	leaving = true
	plan = sched.Release(plan.Assignments[0].Slot, now)
	require.Empty(t, plan.Assignments)
	require.Len(t, plan.Returns, 1)
	require.True(t, plan.Returns[0].Rejected)

	plan = sched.AddGrants(grant, now)
	require.Empty(t, plan.Assignments)
	require.Len(t, plan.Returns, 1)
	require.True(t, plan.Returns[0].Rejected)
}

// Guards against a home node that resumes after a pause and starts tasks that other members have answered as lost.
func TestSchedulerSuspendedWithoutMayStart(t *testing.T) {
	mayStart := false
	sched := newTestScheduler(nil)
	sched.o.MayStart = func() bool { return mayStart }
	now := time.Unix(1000, 0)
	sched.Push([]customer.Item{testItem(1, backend.ClassShort, time.Second, now)}, now)
	require.Empty(t, sched.AddGrants([]contract.SlotGrant{
		{Worker: "slow", Short: 1, Epoch: 1, TTL: time.Minute},
	}, now).Assignments)
	require.True(t, sched.Check(), "a suspended scheduler may hold idle slots while tasks wait")
	mayStart = true
	require.Len(t, sched.Tick(now).Assignments, 1)
}
