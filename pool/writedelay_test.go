package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
)

// Guards against a second run of a task: a slow VM writes a start after its home has counted the run as over. Neither a refresh
// that arrives meanwhile nor the lease of other runs makes it valid again.
func TestStartIsNotWrittenOnceItsLeaseIsOver(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 800 * time.Millisecond, 1250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			time.Sleep(time.Second)
			f.calls.writeDelay = delay
			key := f.orderRun(1)
			for range 5 {
				time.Sleep(100 * time.Millisecond)
				f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
			}
			time.Sleep(delay - 400*time.Millisecond)
			started := f.observer.startedJobs()
			if delay < maxLease-minStartLease {
				require.Len(t, started, 1)
				return
			}
			require.Empty(t, started, "written %v after the decision", delay)
			require.Zero(t, f.pool.counter(metric.PoolStartsInDoubt).Count(), "a start that is not written is no late start")
		})
	}
}
