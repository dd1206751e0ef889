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

// Guards against work on a worker that this VM has been shown as leaving while its granter has not: a held slot went on
// serving, and a granter without the list granted it again.
func TestLaneKeepsWorkFromLeavingWorker(t *testing.T) {
	leaving := false
	l := newTestLane(nil)
	l.o.Leaving = func(w machine.WorkerID) bool { return leaving && w == "slow" }
	now := time.Unix(1000, 0)
	grant := []contract.SlotGrant{{Worker: "slow", Short: 1, Epoch: 1, TTL: time.Minute}}

	require.Empty(t, l.Push([]customer.Item{
		testItem(1, backend.ClassShort, time.Second, now), testItem(2, backend.ClassShort, time.Second, now),
	}, now).Assignments)
	plan := l.AddGrants(grant, now)
	require.Len(t, plan.Assignments, 1)

	leaving = true
	plan = l.Release(plan.Assignments[0].Slot, now)
	require.Empty(t, plan.Assignments)
	require.Len(t, plan.Returns, 1)
	require.True(t, plan.Returns[0].Rejected)

	plan = l.AddGrants(grant, now)
	require.Empty(t, plan.Assignments)
	require.Len(t, plan.Returns, 1)
	require.True(t, plan.Returns[0].Rejected)
}

// Guards against a home that was paused and goes on to start tasks which others have answered as lost.
func TestLaneStartsNothingWhileHomeMayCountAsGone(t *testing.T) {
	may := false
	l := newTestLane(nil)
	l.o.MayStart = func() bool { return may }
	now := time.Unix(1000, 0)
	l.Push([]customer.Item{testItem(1, backend.ClassShort, time.Second, now)}, now)
	require.Empty(t, l.AddGrants([]contract.SlotGrant{{Worker: "slow", Short: 1, Epoch: 1, TTL: time.Minute}}, now).Assignments)
	require.True(t, l.Check(), "a halted lane holds idle slots beside waiting tasks")
	may = true
	require.Len(t, l.Tick(now).Assignments, 1)
}
