package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a task that is run again after it was done: its worker has restarted unnoticed, and forgets the outcome before
// anybody has read it, since a poll acknowledges the outcomes of the earlier incarnation by their number.
func TestOutcomeOfRestartedWorkerIsNotAcknowledgedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		for i := range 3 {
			f.order(fmt.Sprintf("before-%d", i), 500, 0, time.Second, 5*time.Second)
		}
		time.Sleep(time.Minute + idlePollInterval/2)
		host := f.calls.hosts["w0"]
		host.Crash()
		host.Restart()
		f.calls.delayPolls.Store(true)
		f.setRunTime("done", 20*time.Millisecond)
		key := f.order("done", 500, 0, time.Second, 5*time.Second)
		// The polls get no answer until the run has ended.
		time.Sleep(time.Millisecond)
		host.SetDelay(time.Hour)
		time.Sleep(100 * time.Millisecond)
		require.False(t, f.observer.endOf("done").IsZero())
		host.SetDelay(0)
		time.Sleep(time.Second)
		require.Equal(t, contract.RunDone, f.state(key))
	})
}
