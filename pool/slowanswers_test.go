package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// countLateStarts returns how many starts without a reply the pool has announced.
func (f *fixture) countLateStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lateStarts)
}

// Guards against a timeout that stays short once all answers take longer than it: only answered calls tell how long answers take, so each
// start would be in doubt and its worker would be avoided from then on. Short runs are over before their start is given up.
func TestStartTimeoutGrowsIfAllAnswersBecomeSlower(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"long runs": 300 * time.Millisecond, "short runs": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1)
				defer f.pool.Close()
				f.pool.mu.Lock()
				f.pool.o.AdaptStartTimeout = true
				for range 200 {
					f.pool.callTimes.record(4 * time.Millisecond)
				}
				f.pool.mu.Unlock()
				f.calls.answerDelay.Store(int64(2 * minStartTimeout))
				order := func(i int) {
					job := fmt.Sprintf("job-%d", i)
					f.setRunTime(job, runTime)
					key := f.order(job, 1000, 0, time.Second, 5*time.Second)
					f.refreshFor(500*time.Millisecond, key)
					require.Equal(t, contract.RunDone, f.state(key))
				}
				for i := range 20 {
					order(i)
				}
				before := f.countLateStarts()
				for i := range 20 {
					order(100 + i)
				}
				require.Equal(t, before, f.countLateStarts(), "the timeout has followed the answers")
			})
		})
	}
}
