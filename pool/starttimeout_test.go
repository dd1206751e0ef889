package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against jobs that miss their target because an unanswered start is noticed late, and against a busy VM that gives up
// calls which workers have answered.
func TestStartTimeoutFollowsCallTimes(t *testing.T) {
	tests := []struct {
		name  string
		calls func(i int) time.Duration
		want  time.Duration
	}{
		{"fast answers", func(int) time.Duration { return 4 * time.Millisecond }, minStartTimeout},
		{"answers of varying age", func(i int) time.Duration { return time.Duration(2+i%2*20) * time.Millisecond }, 90 * time.Millisecond},
		{"a busy VM", func(i int) time.Duration { return time.Duration(20+i%3*40) * time.Millisecond }, startTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c callTimes
			require.Equal(t, startTimeout, c.startTimeout(), "without a call")
			for i := range 400 {
				c.record(tt.calls(i))
			}
			require.Equal(t, tt.want, c.startTimeout().Round(10*time.Millisecond))
		})
	}
}

// Guards against a start without a reply that takes most of the time which a short job has to its target: with the adapted
// timeout it is repeated, under the same run number, before the fixed one would have ended the first call.
func TestUnansweredStartIsRepeatedSooner(t *testing.T) {
	for _, adapt := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.pool.o.AdaptStartTimeout = adapt
			for i := range 200 {
				f.pool.callTimes.record(time.Duration(3+i%2) * time.Millisecond)
			}
			f.calls.hosts["w0"].SetHoldingStarts(1)
			f.setRunTime("short", time.Second)
			key := f.order("short", 1000, 0, 2*time.Second, 5*time.Second)
			time.Sleep(20 * time.Millisecond)
			f.calls.hosts["w0"].SetHoldingStarts(0)
			time.Sleep(startTimeout - 50*time.Millisecond)
			require.Equal(t, adapt, f.state(key) == contract.RunStarted)
			f.refreshFor(2*time.Second, key)
			f.calls.hosts["w0"].DeliverHeld()
			f.refreshFor(time.Second, key)
			require.Equal(t, contract.RunDone, f.state(key))
			require.Equal(t, []string{"short"}, f.observer.startedJobs(), "both copies are one run")
		})
	}
}
