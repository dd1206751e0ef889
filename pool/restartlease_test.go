package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

// Guards against a run that outlives the time at which its home treats it as ended: its worker has been restarted between
// two polls, so that the end of the lease in the start call is a time on the clock of the earlier incarnation.
func TestLeaseOnUnnoticedRestartEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, age := range []time.Duration{0, maxOrderAge, 600 * time.Millisecond} {
			f := newFixture(1)
			f.calls.dropStops.Store(true)
			f.setRunTime("late", 10*time.Second)
			time.Sleep(3*idlePollInterval + idlePollInterval/2)
			f.calls.hosts["w0"].Crash()
			f.calls.hosts["w0"].Restart()
			sent := time.Now().Add(-age)
			f.pool.Order("home/2", contract.TaskOrder{
				Key: contract.RunKey{Batch: "late", Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 500},
				Accepted: sent, Target: sent.Add(time.Second), Deadline: sent.Add(20 * time.Second), Expected: time.Second,
			}, sent)
			time.Sleep(3 * time.Second)
			if end := f.observer.endOf("late"); len(f.observer.startedJobs()) > 0 {
				assert.LessOrEqual(t, end.Sub(sent), leaseAfterRefresh, "order of age %v", age)
			}
			f.pool.Close()
		}
	})
}

// Guards against a call and a round trip before each start: a poll is needed only before that of a run that the longest
// lease would keep for too long.
func TestOnlyStartsOfOldOrdersAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for age, confirmed := range map[time.Duration]int64{0: 0, 200 * time.Millisecond: 0, 201 * time.Millisecond: 1} {
			f := newFixture(1)
			time.Sleep(3*idlePollInterval + idlePollInterval/2)
			sent := time.Now().Add(-age)
			f.setRunTime("aged", 100*time.Millisecond)
			f.pool.Order(testHome, contract.TaskOrder{
				Key: contract.RunKey{Batch: "aged", Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 500},
				Accepted: sent, Target: sent.Add(time.Second), Deadline: sent.Add(20 * time.Second), Expected: time.Second,
			}, sent)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, []string{"aged"}, f.observer.startedJobs(), "order of age %v", age)
			assert.Equal(t, confirmed, f.pool.counter(metric.PoolStartsConfirmed).Count(), "order of age %v", age)
			f.pool.Close()
		}
	})
}
