package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// submitAndLeave submits a job of two tasks whose caller leaves once they are ordered, and returns the orders.
func submitAndLeave(t *testing.T, h *Home, out *recorder) []contract.TaskOrder {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan Answer, 1)
	go func() { done <- h.Submit(ctx, testBatch(2, 3*time.Second)) }()
	synctest.Wait()
	orders := out.sentOrders()
	require.Len(t, orders, 2)
	cancel()
	require.Equal(t, CallerLeft, (<-done).Outcome)
	return orders
}

// Guards against a job that is answered as cancelled, although nobody has cancelled it, because its caller has lost its
// connection and submits it again to the same home.
func TestJobStartsAnewAfterItsCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		earlier := submitAndLeave(t, h, out)
		for _, o := range earlier {
			reportRun(h, o.Key, contract.RunEnded, true)
		}
		require.Equal(t, StateUnknown, h.State(testBatch(2, time.Second).ID))
		again := make(chan Answer, 1)
		go func() { again <- h.Submit(context.Background(), testBatch(2, 3*time.Second)) }()
		synctest.Wait()
		orders := out.sentOrders()[2:]
		require.Len(t, orders, 2)
		for i, o := range orders {
			require.Greater(t, o.Key.Run, earlier[i].Key.Run, "workers reject a run that is not higher")
			reportRun(h, o.Key, contract.RunDone, true)
		}
		require.Equal(t, Completed, (<-again).Outcome)
	})
}

// Guards against a second run beside one that is still being stopped, and against an answer that is not that of the job,
// when the caller submits it again before its runs are over.
func TestJobOfReturningCallerWaitsForItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		earlier := submitAndLeave(t, h, out)
		again := make(chan Answer, 1)
		go func() { again <- h.Submit(context.Background(), testBatch(2, 3*time.Second)) }()
		time.Sleep(200 * time.Millisecond)
		require.Len(t, out.sentOrders(), 2, "the runs are not over")
		for _, o := range earlier {
			reportRun(h, o.Key, contract.RunEnded, true)
		}
		synctest.Wait()
		orders := out.sentOrders()[2:]
		require.Len(t, orders, 2)
		for _, o := range orders {
			reportRun(h, o.Key, contract.RunDone, true)
		}
		require.Equal(t, Completed, (<-again).Outcome)
	})
}

// Guards against a caller that waits beyond its deadline for the runs of a job that earlier callers had left.
func TestReturningCallerIsAnsweredAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		submitAndLeave(t, h, out)
		start := time.Now()
		require.Equal(t, Abandoned, h.Submit(context.Background(), testBatch(2, 3*time.Second)).Outcome)
		require.LessOrEqual(t, time.Since(start), 3*time.Second+2*tickInterval)
	})
}

// Guards against a job that is answered as abandoned for as long as answers are kept, because it was not completed before
// the deadline of an earlier submission.
func TestAbandonedJobStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		first := make(chan Answer, 1)
		go func() { first <- h.Submit(context.Background(), testBatch(1, 500*time.Millisecond)) }()
		synctest.Wait()
		reportRun(h, out.sentOrders()[0].Key, contract.RunStarted, true)
		require.Equal(t, Abandoned, (<-first).Outcome)
		reportRun(h, out.sentOrders()[0].Key, contract.RunEnded, true)
		again := make(chan Answer, 1)
		go func() { again <- h.Submit(context.Background(), testBatch(1, 3*time.Second)) }()
		synctest.Wait()
		require.Len(t, out.sentOrders(), 2)
		reportRun(h, out.sentOrders()[1].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-again).Outcome)
	})
}
