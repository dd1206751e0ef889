package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// withLostRun lets f act after the owner of a job's only run has become unreachable. No message of it arrives any more.
func withLostRun(t *testing.T, f func(h *Home, out *recorder, run contract.RunKey)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		out.contact = &Contact{Timestamp: 1, ReceivedAt: time.Now()}
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

// Guards against a run that is placed for ever at a process that is gone: a report that had arrived before is handled after
// the departure of its owner.
func TestRunIsNotHeldAtAnOwnerThatIsGone(t *testing.T) {
	withLostRun(t, func(h *Home, out *recorder, run contract.RunKey) {
		reportRun(h, run, contract.RunStarted, true)
		time.Sleep(2 * time.Second)
		require.Len(t, out.sentOrders(), 1, "orders while messages of the owner may only be late")
		time.Sleep(ownerSilence)
		require.Greater(t, len(out.sentOrders()), 1)
		h.Cancel(run.Batch)
		time.Sleep(2 * ownerSilence)
		require.Zero(t, h.Active(), "jobs that have not ended")
	})
}
