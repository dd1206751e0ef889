package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a start on a worker that is of another back end since its restart: it answers at its address before its new
// entry has been read. With a single back end there is no other, and the worker gets tasks.
func TestRestartedWorkerOfUnknownBackendGetsNoTask(t *testing.T) {
	for _, sole := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.pool.SetPolicy(Policy{GuardsCapacity: true, SoleBackend: sole})
			f.restartFirst()
			time.Sleep(2 * time.Second)
			slots := f.pool.FreeCapacity().Slots
			key := f.order("first", 1000, 0, time.Second, 30*time.Second)
			f.keepAlive(time.Second, key)
			if sole {
				require.Equal(t, 1, slots)
				require.Equal(t, []string{"first"}, f.observer.startedJobs())
				return
			}
			require.Zero(t, slots, "told to other members")
			require.Empty(t, f.observer.startedJobs())
			f.listRestarted()
			f.keepAlive(time.Second, key)
			require.Equal(t, []string{"first"}, f.observer.startedJobs())
			require.Equal(t, contract.RunDone, f.state(key))
		})
	}
}
