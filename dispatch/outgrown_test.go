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

// lostStarts never delivers the first start: it stays unanswered for a time, and the fence proves that it did not
// happen.
type lostStarts struct {
	*fakeWorkers
	silent time.Duration
	lost   atomic.Bool
}

func (s *lostStarts) Start(ctx context.Context, r StartRequest) (StartReply, error) {
	if s.lost.CompareAndSwap(false, true) {
		time.Sleep(s.silent)
		return StartReply{}, fault.InDoubt.New("no answer")
	}
	return s.fakeWorkers.Start(ctx, r)
}

func (s *lostStarts) Resolve(context.Context, StartRequest) (StartReply, error) {
	return StartReply{}, fault.NotStarted.New("never started")
}

// Guards against slot counts that go wrong when a start that was in doubt for longer than short work may take turns out
// not to have happened: its slot counts as held by long work by then.
func TestLostStartOutgrowsItsClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 4, []backend.KindSpec{okKind}, takes(8*time.Second))
		defer b.d.Close()
		b.d.o.Starter = &lostStarts{fakeWorkers: b.workers, silent: 2 * backend.LongThreshold}
		id, err := b.submit(2, "k")
		require.NoError(t, err)
		l, _ := b.d.lane("s")
		for range 2500 {
			b.run(10 * time.Millisecond)
			require.True(t, l.Check())
		}
		require.Equal(t, contract.VerdictComplete, b.answer(t, id).Verdict)
		require.Zero(t, l.View().Busy)
	})
}
