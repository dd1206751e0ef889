package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against jobs that are late only because they started on a slow worker a moment before a better one became free, as
// happens at demand peaks, and against runs that wait for a better worker until they are late.
func TestRunWaitsForFasterWorkerWhileItCan(t *testing.T) {
	tests := []struct {
		name   string
		target time.Duration
		faster bool
		want   string
	}{
		{"on time on the fast worker, which becomes free soon", 260 * time.Millisecond, true, "fast"},
		{"on time on the slow worker too", time.Second, true, "slow"},
		{"late on either", 90 * time.Millisecond, true, "slow"},
		{"the fast worker becomes free too late", 260 * time.Millisecond, false, "slow"},
		{"no fast worker", 260 * time.Millisecond, false, "slow"},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(2)
				defer f.pool.Close()
				f.pool.o.Overload = contract.OverloadPolicy{Shed: true}
				f.pool.mu.Lock()
				f.pool.hosts["w1"].host.ResetSpeed(slowSpeed / 2)
				if i == len(tests)-1 {
					f.pool.hosts["w0"].host.ResetSpeed(slowSpeed / 2)
				}
				f.pool.mu.Unlock()
				names := map[string]string{"w0": "fast", "w1": "slow"}
				f.setRunTime("busy", 2*time.Second)
				if tt.faster {
					f.setRunTime("busy", 80*time.Millisecond)
				}
				busy := f.order("busy", 2000, 0, 4*time.Second, 5*time.Second)
				time.Sleep(20 * time.Millisecond)
				require.Equal(t, contract.RunStarted, f.state(busy))
				f.order("job", 2000, 0, tt.target, 5*time.Second)
				time.Sleep(600 * time.Millisecond)
				started := f.observer.workerOfJob()
				if started["busy"] == "w1" {
					names["w0"], names["w1"] = "slow", "fast"
				}
				require.Equal(t, tt.want, names[started["job"]])
			})
		})
	}
}

// Guards against an owner that is invited to give up runs for slow workers on which they would be late.
func TestRunsAreNotGivenUpForSlowWorkers(t *testing.T) {
	now := time.Now()
	r := &run{order: contract.TaskOrder{
		Accepted: now, Target: now.Add(260 * time.Millisecond), Deadline: now.Add(time.Second), Expected: 100 * time.Millisecond,
	}}
	q := queue{runs: []*run{r}}
	always := func(*run) bool { return true }
	gap := contract.FreeGap{Speed: slowSpeed / 2, Tasks: 1}
	require.Empty(t, chooseRuns(&q, []contract.FreeGap{gap}, now, always))
	gap.Speed = 1
	require.Equal(t, []*run{r}, chooseRuns(&q, []contract.FreeGap{gap}, now, always))
}
