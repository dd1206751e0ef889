package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a second run of a task: a start that was barred on the previous incarnation is delivered to an idle
// worker that has been restarted, before its owner has polled it.
func TestDelayedStartDoesNotRunBeforeRestartIsNoticed(t *testing.T) {
	const step = 50 * time.Millisecond
	executed := make(map[time.Duration]int)
	for phase := time.Duration(0); phase < time.Second; phase += step {
		for before := step / 5; before < time.Second; before += step {
			synctest.Test(t, func(t *testing.T) {
				if delayedStartRuns(t, phase, before) {
					executed[before]++
				}
			})
		}
	}
	require.Empty(t, executed, "starts executed, by the time from the restart to their delivery, of 20 each")
}

// delayedStartRuns reports whether a start that was barred is executed after its worker has crashed and restarted. phase
// shifts the crash against the polls, before is the time from the restart to the delivery of the start.
func delayedStartRuns(t *testing.T, phase, before time.Duration) bool {
	const delay = 3 * time.Second
	f := newFixture(1)
	defer f.pool.Close()
	host := f.calls.hosts["w0"]
	time.Sleep(time.Minute)
	host.SetDelay(delay)
	f.setRunTime("delayed", 5*time.Second)
	sent := time.Now()
	key := f.order("delayed", 1000, 0, time.Second, 10*time.Second)
	time.Sleep(10 * time.Millisecond)
	host.SetDelay(0)
	f.pool.Withdraw(testHome, []contract.RunKey{key})
	time.Sleep(400 * time.Millisecond)
	require.Equal(t, contract.RunEnded, f.state(key))
	time.Sleep(phase)
	host.Crash()
	time.Sleep(time.Until(sent.Add(delay - before)))
	host.Restart()
	time.Sleep(3 * time.Second)
	return len(f.observer.startedJobs()) > 0
}
