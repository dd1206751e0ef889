package pool

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/link"
)

// Guards against a run that is reported as ended while its worker runs it: the store returns the entry of the worker's
// earlier incarnation, at another address, after that of the present one.
func TestEntryOfEarlierIncarnationEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("kept", 10*time.Second)
		key := f.order("kept", 500, 0, time.Second, 20*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.Contains(t, f.observer.startedJobs(), "kept")
		stale := slices.Clone(f.list)
		stale[0].Address, stale[0].StartTime = "earlier", stale[0].StartTime-5000
		f.pool.SetHosts(stale)
		if f.state(key).Final() {
			require.NotZero(t, f.observer.endOf("kept"), "the worker runs a task that was reported as %v", f.state(key))
		}
	})
}

// Guards against leases on the clock of an earlier incarnation: its reply arrives after one of the present incarnation.
func TestReplyOfEarlierIncarnationSetsNoClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(5 * time.Second)
		worker := f.calls.hosts["w0"]
		f.pool.mu.Lock()
		h, token, born := f.pool.hosts["w0"], f.pool.hosts["w0"].host.Token, worker.StartTime()
		f.pool.mu.Unlock()
		earlier, sent := link.PollReply{HostReply: link.HostReply{Clock: 5 * time.Second, StartTime: born}}, time.Now()
		worker.Crash()
		worker.Restart()
		time.Sleep(2 * idlePollInterval)
		f.pool.handlePollReply(h, token, sent, earlier, nil)
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		require.Less(t, h.host.ClockAt(time.Now()), 4*idlePollInterval, "clock of the present incarnation")
	})
}
