package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a record that is dropped with one copy of a start although another one may still be executed: the owner has repeated
// the start, which it reports once for each call, and is lost; the next owner of the worker lists the run, which one copy has started.
func TestRecordOfARepeatedStartIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go h.Submit(ctx, testBatch(1, time.Minute))
		synctest.Wait()
		key := out.sentOrders()[0].Key
		reportLate(h, testOwner, key, contract.RunQueued, lateWorker)
		time.Sleep(200 * time.Millisecond)
		reportLate(h, testOwner, key, contract.RunQueued, lateWorker)
		h.Report(PoolRef{Owner: otherOwner, Backend: "s"}, contract.RunReport{
			Key: key, State: contract.RunStarted, Worker: lateWorker, Token: 2, MayHaveStarted: true,
		})
		require.Equal(t, []string{lateWorker}, h.o.LateStarts.Workers(key))
	})
}
