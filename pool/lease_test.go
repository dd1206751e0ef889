package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// Guards against a run that outlives the time at which its home treats it as ended: an order that the network has
// delayed is started on a worker whose lease was extended for the runs of another home, its home is not heard of again,
// and the stop does not reach the worker.
func TestDelayedOrderDoesNotOutliveItsRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, age := range []time.Duration{0, maxOrderAge, 600 * time.Millisecond, refreshTimeout} {
			f := newFixture(1)
			f.calls.dropStops.Store(true)
			f.setRunTime("other", 10*time.Second)
			other := f.order("other", 1000, 0, time.Second, 20*time.Second)
			f.setRunTime("delayed", 10*time.Second)
			f.setSize("delayed", 500)
			time.Sleep(time.Second)
			refresh := func() { f.pool.Refresh(testHome, []contract.RunKey{other}, time.Now()) }
			refresh()
			time.Sleep(maxPollWait)
			refresh()
			sent := time.Now().Add(-age)
			f.pool.Order("home/2", contract.TaskOrder{
				Key: contract.RunKey{Batch: "delayed", Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 500},
				Accepted: sent, Target: sent.Add(time.Second), Deadline: sent.Add(20 * time.Second),
				Expected: time.Second,
			}, sent)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				refresh()
			}
			if age <= maxOrderAge {
				require.Contains(t, f.observer.startedJobs(), "delayed", "order of age %v", age)
			}
			if end := f.observer.endOf("delayed"); !end.IsZero() {
				require.LessOrEqual(t, end.Sub(sent), leaseAfterRefresh, "order of age %v", age)
			} else {
				require.NotContains(t, f.observer.startedJobs(), "delayed", "order of age %v", age)
			}
			f.pool.Close()
		}
	})
}
