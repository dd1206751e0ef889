package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// withLostRun lets f act after the owner of a job's only run has become unreachable.
func withLostRun(t *testing.T, f func(h *Home, out *recorder, run contract.RunKey)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go h.Submit(ctx, testBatch(1, time.Minute))
		synctest.Wait()
		run := out.sentOrders()[0].Key
		reportRun(h, run, contract.RunStarted, true)
		h.OwnerUnreachable(testOwner)
		f(h, out, run)
	})
}

// Guards against a run of an ended job that goes on, and is refreshed, because one message is lost: the owner was unreachable
// when the job ended.
func TestFoundRunOfEndedJobIsWithdrawnAgain(t *testing.T) {
	withLostRun(t, func(h *Home, out *recorder, run contract.RunKey) {
		h.Cancel(run.Batch)
		reportRun(h, run, contract.RunStarted, true)
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, len(out.withdrawn()), 3)
		require.Zero(t, out.refreshed, "contact of a refresh of a run of an ended job")
	})
}
