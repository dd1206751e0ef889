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

// Guards against two runs of a task: a restarted worker runs an earlier run of the task, which was started late there. The
// owner stops it; until then the present run must not count as ended because the takeover does not name it.
func TestTakeoverWithAnotherRunOfTheTaskEndsNone(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		run := out.sentOrders()[0].Key
		h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{
			Key: run, State: contract.RunStarted, Worker: "w", Token: 1, MayHaveStarted: true,
		})
		earlier := run
		earlier.Run--
		h.Takeover(testOwner, contract.Takeover{Worker: "w", Token: 2, Runs: []contract.RunKey{earlier}})
		require.Len(t, out.sentOrders(), 1)
		h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{Key: run, State: contract.RunEnded, Token: 1,
			MayHaveStarted: true})
		require.Len(t, out.sentOrders(), 2)
		reportRun(h, out.sentOrders()[1].Key, contract.RunDone, true)
	})
	require.Equal(t, Completed, answer.Outcome)
}
