package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against jobs that are still without an answer when a stopping process ends, because their own deadline is later.
func TestLimitedDeadlineEndsJobs(t *testing.T) {
	for _, started := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h, out := newTestHome()
			defer h.Close()
			done := make(chan Answer, 1)
			go func() { done <- h.Submit(context.Background(), testBatch(1, 30*time.Second)) }()
			synctest.Wait()
			key := out.sentOrders()[0].Key
			if started {
				reportRun(h, key, contract.RunStarted, true)
			}
			const left = 2 * time.Second
			start := time.Now()
			h.LimitDeadlines(start.Add(left))
			replied := make(chan struct{})
			go func() {
				defer close(replied)
				// The owner answers the withdrawal.
				for len(out.withdrawn()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				reportRun(h, key, contract.RunEnded, started)
			}()
			answer := <-done
			took := time.Since(start)
			<-replied
			require.LessOrEqual(t, took, left+2*tickInterval)
			if started {
				require.Equal(t, Abandoned, answer.Outcome)
				return
			}
			require.Equal(t, Refused, answer.Outcome)
		})
	}
}

// Guards against a job that is accepted by a process which has already seen that all its jobs are answered, and ends.
func TestHomeOfEndingProcessRefusesNewJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		first := make(chan Answer, 1)
		go func() { first <- h.Submit(context.Background(), testBatch(1, time.Second)) }()
		synctest.Wait()
		h.RefuseNew()
		require.Equal(t, 1, h.Active())
		other := testBatch(1, time.Second)
		other.ID = "00000000000000bb"
		require.Equal(t, Refused, h.Submit(context.Background(), other).Outcome)
		joined := make(chan Answer, 1)
		go func() { joined <- h.Submit(context.Background(), testBatch(1, time.Second)) }()
		synctest.Wait()
		require.Len(t, out.sentOrders(), 1)
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-first).Outcome)
		require.Equal(t, Completed, (<-joined).Outcome)
		require.Zero(t, h.Active())
	})
}
