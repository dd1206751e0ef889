package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against two homes that accept a job in the same millisecond and order its runs under the same numbers: an owner
// then stops the runs of one home when the other withdraws its own.
func TestHomesUseDifferentRunNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keys := make(map[contract.RunKey]bool)
		var homes []*Home
		var orders []*recorder
		for _, self := range []string{"edge-1/1", "edge-2/2"} {
			h, out := newTestHomeOf(self, time.Now)
			defer h.Close()
			go h.Submit(context.Background(), testBatch(1, time.Second))
			homes, orders = append(homes, h), append(orders, out)
		}
		synctest.Wait()
		for _, state := range []contract.RunState{contract.RunEnded, contract.RunUnknown, contract.RunEnded} {
			for i, h := range homes {
				sent := orders[i].sentOrders()
				reportRun(h, sent[len(sent)-1].Key, state, state == contract.RunEnded)
			}
			time.Sleep(2 * placeRetry)
		}
		for _, out := range orders {
			require.Len(t, out.sentOrders(), 4)
			for _, o := range out.sentOrders() {
				require.False(t, keys[o.Key], "%s is ordered by both homes", o.Key)
				keys[o.Key] = true
			}
		}
	})
}

// Guards against run numbers that are not higher than earlier ones of the same task, or that are not exact in JSON.
func TestRunNumbersRise(t *testing.T) {
	accepted := time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
	n, other := newRunNumbers("edge-1/1"), newRunNumbers("edge-2/2")
	first := n.first(accepted, 0)
	require.Less(t, first, uint64(1<<53))
	require.Greater(t, nextRun(first, true), first)
	require.Greater(t, nextRun(first, false), nextRun(first, true))
	require.Greater(t, other.first(accepted.Add(time.Millisecond), 0), first)
	require.Greater(t, n.first(accepted, nextRun(first, true)), nextRun(first, true))
	require.Equal(t, first%runStep, n.first(accepted, nextRun(first, false))%runStep)
}
