package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
)

// lostStarts drops the first start: the call fails as in doubt after replyDelay, and the fence proves that the start
// did not happen.
type lostStarts struct {
	*fakeWorkers
	replyDelay time.Duration
	lost       atomic.Bool
}

func (s *lostStarts) Start(ctx context.Context, r StartRequest) (StartReply, error) {
	if s.lost.CompareAndSwap(false, true) {
		time.Sleep(s.replyDelay)
		return StartReply{}, fault.InDoubt.New("no answer")
	}
	return s.fakeWorkers.Start(ctx, r)
}

func (s *lostStarts) Resolve(context.Context, StartRequest) (StartReply, error) {
	return StartReply{}, fault.NotStarted.New("never started")
}

// Guards against inconsistent slot counts when a start was in doubt for longer than the short-task limit and then
// proves not to have happened: its slot has been reclassified as held by long work in the meantime.
func TestReclassifiedStartNeverHappened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1, 4, []backend.KindSpec{testKind}, runsFor(8*time.Second))
		defer b.d.Close()
		b.d.o.Starter = &lostStarts{fakeWorkers: b.workers, replyDelay: 2 * backend.LongThreshold}
		id, err := b.submit(2, "k")
		require.NoError(t, err)
		sched, _ := b.d.scheduler("s")
		for range 2500 {
			b.run(10 * time.Millisecond)
			require.True(t, sched.Check())
		}
		require.Equal(t, contract.VerdictComplete, b.answer(t, id).Verdict)
		require.Zero(t, sched.View().Busy)
	})
}
