package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// withSlowWorker runs a test with a fast worker, w0, and a slow one, w1, of a pool that orders its queue by shares.
func withSlowWorker(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.pool.mu.Lock()
		f.pool.o.Overload.Shed = true
		f.pool.hosts["w1"].host.ResetSpeed(slowSpeed / 2)
		f.pool.mu.Unlock()
		test(t, f)
	})
}

// awaitingFaster makes a task one that is late on a slow worker and on time on another one for 500 ms.
func awaitingFaster(o *contract.TaskOrder) {
	o.Expected = 400 * time.Millisecond
	o.Target = o.Accepted.Add(1000 * time.Millisecond)
}

// Guards against a run that waits for a faster worker although none of these can hold it: only the slow one has the label or the
// memory that it needs.
func TestRunDoesNotWaitForFasterWorkersThatCannotHoldIt(t *testing.T) {
	for name, change := range map[string]func(o *contract.TaskOrder){
		"label": func(o *contract.TaskOrder) { o.RequiredLabel = "large" },
		"size":  func(o *contract.TaskOrder) { o.Need.MemoryMB = 4000 },
	} {
		t.Run(name, func(t *testing.T) {
			withSlowWorker(t, func(t *testing.T, f *fixture) {
				f.list[1].Labels, f.list[1].Capacity.MemoryMB = []string{"large"}, 8000
				f.pool.SetHosts(f.list)
				f.calls.hosts["w1"].SetCapacity(f.list[1].Capacity)
				f.orderOf("job", "r", 0, func(o *contract.TaskOrder) { awaitingFaster(o); change(o) })
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, "w1", f.observer.workerOfJob()["job"])
			})
		})
	}
}

// Guards against a slow worker that stays idle although other runs wait: it is kept free for a run that does not start there.
func TestNoWorkerIsReservedForARunThatWaitsForAFasterOne(t *testing.T) {
	withSlowWorker(t, func(t *testing.T, f *fixture) {
		whole := machine.Resources{CPUMillis: 2000}
		f.orderOf("busy", "r", 0, func(o *contract.TaskOrder) { o.Need, o.Expected = whole, 2*time.Second })
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, "w0", f.observer.workerOfJob()["busy"])
		first := f.orderOf("first", "r", 0, func(o *contract.TaskOrder) { awaitingFaster(o); o.Need = whole })
		f.refreshFor(reserveDelay+50*time.Millisecond, first)
		f.orderOf("second", "r", 1, func(o *contract.TaskOrder) {
			o.Need, o.Target = whole, o.Accepted.Add(95*time.Millisecond)
		})
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "w1", f.observer.workerOfJob()["second"])
	})
}

// Guards against a slow worker that is emptied for a task which runs alone and does not start there.
func TestNoSlowWorkerIsEmptiedForATaskThatWaitsForAFasterOne(t *testing.T) {
	withSlowWorker(t, func(t *testing.T, f *fixture) {
		f.orderOf("busy", "r", 0, func(o *contract.TaskOrder) { o.Need.CPUMillis, o.Expected = 2000, 2*time.Second })
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, "w0", f.observer.workerOfJob()["busy"])
		f.orderOf("alone", "r", 0, func(o *contract.TaskOrder) { awaitingFaster(o); o.Alone = true })
		f.orderOf("other", "r", 1, nil)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "w1", f.observer.workerOfJob()["other"])
	})
}

// Guards against a worker that is kept free for a run which may not start there: as many tasks of its step as are allowed on a
// worker run there already.
func TestNoWorkerIsReservedBeyondTheLimitOfAStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSheddingFixture()
		defer f.pool.Close()
		limited := func(o *contract.TaskOrder) { o.PerWorkerLimit, o.Expected = 1, 2*time.Second }
		keys := []contract.RunKey{f.orderOf("limited", "r", 0, limited)}
		keys = append(keys, f.orderOf("limited", "r", 0, func(o *contract.TaskOrder) { limited(o); o.Key.Index = 1 }))
		f.refreshFor(reserveDelay+50*time.Millisecond, keys...)
		f.orderOf("other", "r", 1, nil)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"limited", "other"}, f.observer.startedJobs())
	})
}

// Guards against runs that are taken from another owner for capacity which they do not get: while the queue is ordered by shares,
// a worker is kept free for the first run too.
func TestWorkerReservedInTheOrderBySharesIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSheddingFixture()
		defer f.pool.Close()
		f.roomCalls()
		small := f.orderOf("small", "r", 0, func(o *contract.TaskOrder) { o.Need.CPUMillis, o.Expected = 800, 5*time.Second })
		synctest.Wait()
		require.Len(t, f.pool.Offer(), 1, "nothing waits")
		large := f.orderOf("large", "r", 0, func(o *contract.TaskOrder) { o.Need.CPUMillis = 2000 })
		f.refreshFor(reserveDelay+50*time.Millisecond, small, large)
		require.Empty(t, f.pool.Offer(), "kept for the large task")
	})
}
