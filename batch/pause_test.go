package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// pausableClock is a clock that jumps ahead when its process has been paused.
type pausableClock struct{ paused atomic.Int64 }

func (c *pausableClock) now() time.Time { return time.Now().Add(time.Duration(c.paused.Load())) }

// pause lets time pass in which the process does not run.
func (c *pausableClock) pause(d time.Duration) { c.paused.Add(int64(d)) }

// afterPause submits a job, pauses the process of its home, reports the end of its run and calls f. It returns the number
// of runs that the home has ordered.
func afterPause(t *testing.T, f func(callerLeaves context.CancelFunc)) int {
	t.Helper()
	orders := 0
	synctest.Test(t, func(*testing.T) {
		clock := &pausableClock{}
		h, out := newTestHomeAt(clock.now)
		defer h.Close()
		caller, leave := context.WithCancel(context.Background())
		defer leave()
		go h.Submit(caller, testBatch(1, 10*time.Second))
		synctest.Wait()
		run := out.sentOrders()[0].Key
		reportRun(h, run, contract.RunStarted, true)
		time.Sleep(tickInterval)
		clock.pause(3 * time.Second)
		reportRun(h, run, contract.RunEnded, true)
		f(leave)
		time.Sleep(time.Second)
		orders = len(out.sentOrders())
	})
	return orders
}

// Guards against a second run of a task: a paused home orders it before it notices that the caller has left, and the
// caller has submitted the job to another home meanwhile.
func TestPausedHomeOrdersNoRunForCallerThatLeft(t *testing.T) {
	require.Equal(t, 1, afterPause(t, func(leave context.CancelFunc) {
		time.Sleep(20 * time.Millisecond)
		leave()
	}))
}

// Guards against jobs that are not continued after a pause of their home.
func TestPausedHomeContinuesItsJobs(t *testing.T) {
	require.Equal(t, 2, afterPause(t, func(context.CancelFunc) {}))
}

// Guards against a run that is ordered by a tick which read the clock before the process was paused, and goes on after it.
func TestTickInterruptedByPauseOrdersNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &pausableClock{}
		h, out := newTestHomeAt(clock.now)
		defer h.Close()
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		go h.Submit(ctx, testBatch(1, 10*time.Second))
		synctest.Wait()
		run := out.sentOrders()[0].Key
		reportRun(h, run, contract.RunStarted, true)
		before := clock.now()
		clock.pause(3 * time.Second)
		reportRun(h, run, contract.RunEnded, true)
		h.tick(before, false)
		require.Len(t, out.sentOrders(), 1)
	})
}
