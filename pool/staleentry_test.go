package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/link"
)

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
