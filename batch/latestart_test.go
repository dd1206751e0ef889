package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

func (r *recorder) ownerOf(order int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderOwners[order]
}

func (r *recorder) recalled() []contract.RunKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.recalls)
}

// Guards against two runs of a task: the next run is ordered at another owner, or moved to one, while a worker of the last
// owner may still execute an earlier start. Later runs that report no such start stay there too.
func TestNextRunIsOrderedAtTheOwnerOfALateStart(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, 20*time.Second) }, func(h *Home, out *recorder) {
		h.o.Capacity.Update("other/1", "z", false, map[string]*zone.BackendCapacity{"s": {Free: 100, Slots: 100}})
		owner := out.ownerOf(0)
		for run := range 20 {
			orders := out.sentOrders()
			require.Len(t, orders, run+1)
			last := orders[run].Key
			if run > 0 {
				require.Equal(t, owner, out.ownerOf(run), "run %d", run)
				time.Sleep(10 * moveAfter)
				require.NotContains(t, out.recalled(), last, "a task that waits for the worker is moved")
			}
			h.Report(PoolRef{Owner: owner, Backend: "s"}, contract.RunReport{
				Key: last, State: contract.RunEnded, MayHaveStarted: true, MayStartLate: true,
			})
		}
		h.Report(PoolRef{Owner: owner, Backend: "s"}, contract.RunReport{
			Key: out.sentOrders()[20].Key, State: contract.RunDone, MayHaveStarted: true,
		})
	})
	require.Equal(t, Completed, answer.Outcome)
}
