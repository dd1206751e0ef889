package batch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against jobs that are kept without a bound, against one that is refused although it is known here or may have run, and against
// room that is not given back when answers expire.
func TestJobsKeptAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 3
		h, out := newTestHome()
		defer h.Close()
		h.o.MaxJobs = most
		submit := func(id string) Answer {
			b := testBatch(1, time.Second)
			b.ID = id
			answer := make(chan Answer, 1)
			go func() { answer <- h.Submit(context.Background(), b) }()
			synctest.Wait()
			if orders := out.sentOrders(); len(orders) > 0 && orders[len(orders)-1].Key.Batch == id {
				reportRun(h, orders[len(orders)-1].Key, contract.RunDone, true)
			}
			return <-answer
		}
		id := func(n int) string { return fmt.Sprintf("%016x", n) }
		for n := range most {
			require.Equal(t, Completed, submit(id(n)).Outcome)
		}
		refused := submit(id(most))
		require.Equal(t, Refused, refused.Outcome)
		require.Equal(t, noRoomRetry, refused.RetryAfter)
		require.Equal(t, Completed, submit(id(0)).Outcome, "a copy of a known job")
		h.o.Cancels.Record(contract.JobCancel{Job: id(most), At: time.Now()}, time.Now())
		require.Equal(t, Abandoned, submit(id(most)).Outcome, "a cancelled job may have run")
		time.Sleep(answerRetention + time.Second)
		require.Zero(t, h.kept.Load())
		require.Equal(t, Completed, submit(id(most+1)).Outcome)
		require.EqualValues(t, 1, h.kept.Load())
	})
}
