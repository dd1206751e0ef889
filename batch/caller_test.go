package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// testCaller is a caller whose channel a test breaks. mu guards the fields below it.
type testCaller struct {
	mu   sync.Mutex
	gone bool
	// look is called with each look, unless it is nil.
	look func()
}

// Gone implements Caller.
func (c *testCaller) Gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.look != nil {
		c.look()
	}
	return c.gone
}

func (c *testCaller) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = true
}

// submitFrom submits a job of that many steps of one task.
func submitFrom(h *Home, c Caller, steps int) <-chan Answer {
	b := testBatch(1, 10*time.Second)
	for s := 1; s < steps; s++ {
		next := b.Steps[0]
		next.DependsOn = []int{s - 1}
		b.Steps = append(b.Steps, next)
	}
	answer := make(chan Answer, 1)
	go func() { answer <- h.SubmitFrom(context.Background(), c, b) }()
	synctest.Wait()
	return answer
}

// Guards against runs that are refreshed after the caller has left, and against a job that starts anew for that caller, since the
// context of its submission ends late on a slow VM.
func TestRunsOfGoneCallerAreWithdrawnInsteadOfRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		c := &testCaller{}
		answer := submitFrom(h, c, 1)
		reportRun(h, out.sentOrders()[0].Key, contract.RunStarted, true)
		time.Sleep(time.Second)
		c.leave()
		left := time.Now()
		time.Sleep(refreshInterval + tickInterval)
		_, refresh := out.echoes()
		require.False(t, refresh.ReceivedAt.After(left), "refreshed %v after the caller had left", refresh.ReceivedAt.Sub(left))
		require.Contains(t, out.withdrawn(), out.sentOrders()[0].Key)
		require.Equal(t, CallerLeft, (<-answer).Outcome)
		reportRun(h, out.sentOrders()[0].Key, contract.RunEnded, true)
		time.Sleep(time.Second)
		require.Len(t, out.sentOrders(), 1)
	})
}

// Guards against the order of a next run for a caller that has left since the last refresh.
func TestNoRunIsOrderedForGoneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		c := &testCaller{}
		answer := submitFrom(h, c, 2)
		reportRun(h, out.sentOrders()[0].Key, contract.RunStarted, true)
		time.Sleep(lookAge + time.Millisecond)
		c.leave()
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Len(t, out.sentOrders(), 1)
		require.Equal(t, CallerLeft, (<-answer).Outcome)
	})
}

// Guards against a run that is claimed from the next owner of its worker for a caller that has left.
func TestNoRunIsClaimedForGoneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		c := &testCaller{}
		submitFrom(h, c, 1)
		order := out.sentOrders()[0]
		reportRun(h, order.Key, contract.RunStarted, true)
		time.Sleep(lookAge + time.Millisecond)
		c.leave()
		h.Takeover("edge-2/1", contract.Takeover{Worker: "worker", Token: 1 << 40, Runs: []contract.RunKey{order.Key}})
		require.Len(t, out.sentOrders(), 1)
	})
}

// Guards against a message that echoes a contact which has arrived after the look at the caller began: a slow VM may be interrupted
// between the two, and the caller leaves meanwhile.
func TestNoContactAfterTheLookIsEchoed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lookTook, began atomic.Int64
		now := func() time.Time { return time.Now().Add(time.Duration(lookTook.Load())) }
		h, out := newTestHomeAt(now)
		defer h.Close()
		c := &testCaller{look: func() {
			began.Store(now().UnixNano())
			lookTook.Add(int64(30 * time.Millisecond))
		}}
		submitFrom(h, c, 2)
		reportRun(h, out.sentOrders()[0].Key, contract.RunStarted, true)
		time.Sleep(refreshInterval + 2*tickInterval)
		_, refresh := out.echoes()
		require.NotZero(t, began.Load())
		require.LessOrEqual(t, refresh.ReceivedAt.UnixNano(), began.Load())
		time.Sleep(lookAge + time.Millisecond)
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		order, _ := out.echoes()
		require.Len(t, out.sentOrders(), 2)
		require.LessOrEqual(t, order.ReceivedAt.UnixNano(), began.Load())
	})
}

// Guards against an order that takes the submission for younger than it is: on a slow VM, time passes until the job is accepted.
func TestFirstOrderEchoesNoContactAfterTheSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		b := testBatch(1, 10*time.Second)
		time.Sleep(lookAge)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go h.SubmitFrom(ctx, &testCaller{}, b)
		synctest.Wait()
		order, _ := out.echoes()
		require.False(t, order.ReceivedAt.After(b.Accepted))
		gone := &testCaller{gone: true}
		late := testBatch(1, 10*time.Second)
		late.ID = "00000000000000ff"
		time.Sleep(lookAge + time.Millisecond)
		require.Equal(t, CallerLeft, h.SubmitFrom(ctx, gone, late).Outcome)
		require.Len(t, out.sentOrders(), 1)
	})
}

// Guards against a job that ends although one of its callers still waits.
func TestJobOfOneRemainingCallerGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		first, second := &testCaller{}, &testCaller{}
		left, answer := submitFrom(h, first, 1), submitFrom(h, second, 1)
		first.leave()
		require.Equal(t, CallerLeft, (<-left).Outcome)
		time.Sleep(time.Second)
		require.Empty(t, out.withdrawn())
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-answer).Outcome)
	})
}

// Guards against looks that cost more than one system call for each job and refresh, and against any for short jobs.
func TestCallersAreLookedAtOnceForEachRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		looks := func() int64 { return metrics.GetOrRegisterCounter(metric.BatchCallerLooks, h.o.Metrics).Count() }
		// The job begins right after a refresh and ends before the next one.
		time.Sleep(refreshInterval + time.Millisecond)
		short := submitFrom(h, &testCaller{}, 1)
		time.Sleep(refreshInterval - 2*time.Millisecond)
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-short).Outcome)
		require.Zero(t, looks())
		b := testBatch(20, time.Minute)
		b.ID = "00000000000000ff"
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go h.SubmitFrom(ctx, &testCaller{}, b)
		time.Sleep(2 * time.Second)
		require.LessOrEqual(t, looks(), int64(2*time.Second/refreshInterval))
		require.GreaterOrEqual(t, looks(), int64(2*time.Second/refreshInterval)-1)
	})
}
