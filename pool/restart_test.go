package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a second run of a task: the worker forgets with its restart that the delayed start was barred.
func TestDelayedStartDoesNotRunAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		host := f.calls.hosts["w0"]
		time.Sleep(time.Minute)
		host.SetDelay(3 * time.Second)
		f.setRunTime("delayed", 5*time.Second)
		key := f.order("delayed", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(10 * time.Millisecond)
		host.SetDelay(0)
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(key))
		host.Crash()
		time.Sleep(500 * time.Millisecond)
		host.Restart()
		time.Sleep(5 * time.Second)
		require.NotContains(t, f.observer.startedJobs(), "delayed")
	})
}
