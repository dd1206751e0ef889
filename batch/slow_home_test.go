package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pauseLimit so short that a home on a slow VM, whose ticks are 600 ms apart, never orders a run.
func TestSlowHomeOrdersRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var slow atomic.Bool
		now := func() time.Time {
			if !slow.Load() {
				return time.Now()
			}
			// A twelfth of the speed: ticks are 600 ms apart.
			return start.Add(12 * time.Since(start))
		}
		h, out := newTestHomeAt(now)
		defer h.Close()
		slow.Store(true)
		time.Sleep(2*tickInterval + tickInterval/100)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := testBatch(1, time.Minute)
		b.Accepted = now()
		b.Deadline = b.Accepted.Add(time.Minute)
		go h.Submit(ctx, b)
		time.Sleep(time.Second)
		require.NotEmpty(t, out.sentOrders(), "%v after the job was submitted", now().Sub(b.Accepted))
	})
}

// Guards against a job that a slow home, whose ticks are 600 ms apart, announces only after its caller may have submitted it to another
// member: with the first status after the tick at which it has become old enough.
func TestSlowHomeAnnouncesBeforeTheNextTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Time { return start.Add(12 * time.Since(start)) }
		h, out := newTestHomeAt(now)
		defer h.Close()
		time.Sleep(4*tickInterval - time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b := testBatch(1, time.Minute)
		b.Accepted = now()
		b.Deadline = b.Accepted.Add(time.Minute)
		go h.Submit(ctx, b)
		time.Sleep(2 * time.Millisecond)
		require.Len(t, out.announced(), 1)
		out.mu.Lock()
		defer out.mu.Unlock()
		require.True(t, out.announcedAtOnce)
	})
}
