package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// recordedCrashes returns a copy of the crashes that the pool has recorded.
func (f *fixture) recordedCrashes() []contract.WorkerCrash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]contract.WorkerCrash(nil), f.crashes...)
}

// stateOf returns the state of a run in its last report.
func (f *fixture) stateOf(key contract.RunKey) contract.RunState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[key].State
}

// refreshFor refreshes runs for a time.
func (f *fixture) refreshFor(d time.Duration, keys ...contract.RunKey) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.pool.Refresh(testHome, keys, time.Now())
	}
}

// orderAlone orders a task that runs alone on a worker.
func (f *fixture) orderAlone(job string, cpu int) contract.RunKey {
	f.setSize(job, cpu)
	now := time.Now()
	key := contract.RunKey{Batch: job, Run: 1}
	f.pool.Order(testHome, contract.TaskOrder{
		Key: key, Backend: "s", Need: machine.Resources{CPUMillis: cpu}, Accepted: now, Target: now.Add(time.Second),
		Deadline: now.Add(20 * time.Second), Expected: 100 * time.Millisecond, Alone: true,
	}, now)
	return key
}

// Guards against a crash of a worker that is reported like a run that was stopped, or before the lease has passed.
func TestRunsEndAsCrashedWithTheirWorkerAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.crash = map[string]standin.RunPlan{"deadly": {Duration: 50 * time.Millisecond, CrashesFor: 3 * time.Second}}
		f.setRunTime("innocent", 5*time.Second)
		f.setSize("innocent", 500)
		f.setSize("deadly", 500)
		innocent := f.order("innocent", 500, 0, time.Second, 20*time.Second)
		deadly := f.order("deadly", 500, 0, time.Second, 20*time.Second)
		f.refreshFor(400*time.Millisecond, innocent, deadly)
		require.Len(t, f.recordedCrashes(), 1)
		require.Len(t, f.recordedCrashes()[0].Tasks, 2)
		require.False(t, f.recordedCrashes()[0].Refuted)
		require.Equal(t, contract.RunStarted, f.stateOf(innocent), "the lease of the run has not passed")
		f.refreshFor(time.Second, innocent, deadly)
		require.Equal(t, contract.RunCrashed, f.stateOf(innocent))
		require.Equal(t, contract.RunCrashed, f.stateOf(deadly))
		f.refreshFor(3 * time.Second)
		require.Len(t, f.recordedCrashes(), 1, "the crash is recorded once")
	})
}

// Guards against faults that are counted as crashes under a task although the task cannot have caused them.
func TestOtherEndsOfAWorkerAreNoCrashes(t *testing.T) {
	cases := map[string]func(f *fixture, h *standin.RunHost){
		"silence": func(_ *fixture, h *standin.RunHost) { h.SetDelay(time.Hour) },
		"power loss": func(_ *fixture, h *standin.RunHost) {
			h.Crash()
			time.AfterFunc(900*time.Millisecond, h.Restart)
		},
		"refusal after a silence": func(_ *fixture, h *standin.RunHost) {
			h.SetDelay(time.Hour)
			time.AfterFunc(600*time.Millisecond, func() { h.SetRefusing(true) })
		},
		"end of a drain": func(f *fixture, h *standin.RunHost) {
			f.list[0].Draining = true
			f.pool.SetHosts(f.list)
			h.SetRefusing(true)
		},
		"listener replaced": func(_ *fixture, h *standin.RunHost) {
			h.SetRefusing(true)
			time.AfterFunc(100*time.Millisecond, func() { h.SetRefusing(false) })
		},
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1)
				defer f.pool.Close()
				f.setRunTime("task", 5*time.Second)
				key := f.order("task", 500, 0, time.Second, 20*time.Second)
				f.refreshFor(300*time.Millisecond, key)
				end(f, f.calls.hosts["w0"])
				f.refreshFor(2*time.Second, key)
				require.Empty(t, f.recordedCrashes())
				require.NotEqual(t, contract.RunCrashed, f.stateOf(key))
			})
		})
	}
}

// Guards against a worker that counts as crashed for good although the same incarnation answers again.
func TestAnswerOfTheSameIncarnationRefutesItsCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("task", 2*time.Second)
		key := f.order("task", 500, 0, time.Second, 20*time.Second)
		f.refreshFor(300*time.Millisecond, key)
		f.calls.hosts["w0"].SetRefusing(true)
		f.refreshFor(400*time.Millisecond, key)
		f.calls.hosts["w0"].SetRefusing(false)
		f.refreshFor(3*time.Second, key)
		crashes := f.recordedCrashes()
		require.Len(t, crashes, 2)
		require.False(t, crashes[0].Refuted)
		require.True(t, crashes[1].Refuted)
		require.Equal(t, contract.RunDone, f.stateOf(key))
	})
}

// Guards against a task that runs beside others although it must be alone, and against one that never starts because
// smaller tasks fill each gap.
func TestTaskThatRunsAloneGetsAnEmptyWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		beside := make(map[string]bool)
		for i := range 40 {
			job := string(rune('a'+i%26)) + string(rune('a'+i/26))
			f.setRunTime(job, time.Duration(200+10*i)*time.Millisecond)
			f.setSize(job, 900)
			f.order(job, 900, 0, time.Second, 20*time.Second)
			beside[job] = true
		}
		f.setRunTime("alone", 300*time.Millisecond)
		alone := f.orderAlone("alone", 100)
		var started, ended time.Time
		for range 3000 {
			time.Sleep(time.Millisecond)
			f.refreshAll()
			f.pool.mu.Lock()
			for _, h := range f.pool.hosts {
				if h.hasAlone() {
					require.Len(t, h.runs, 1)
				}
			}
			r := f.pool.runs[alone]
			if started.IsZero() && r.state != runWaiting {
				started = time.Now()
			}
			if ended.IsZero() && r.state == runFinal {
				ended = time.Now()
			}
			f.pool.mu.Unlock()
		}
		require.False(t, started.IsZero())
		require.False(t, ended.IsZero())
		require.Equal(t, contract.RunDone, f.stateOf(alone))
		require.Contains(t, f.observer.startedJobs()[:12], "alone", "it waits for the runs of one worker only")
	})
}

// refreshAll refreshes all runs that the pool holds.
func (f *fixture) refreshAll() {
	f.pool.mu.Lock()
	var keys []contract.RunKey
	for key := range f.pool.runs {
		keys = append(keys, key)
	}
	f.pool.mu.Unlock()
	f.pool.Refresh(testHome, keys, time.Now())
}

// confine confines a route to a quarter of eight workers.
func (f *fixture) confine(t *testing.T, route string) {
	now := time.Now()
	var crashes []contract.WorkerCrash
	for i := range 4 {
		crashes = append(crashes, contract.WorkerCrash{
			Worker: "x", StartTime: int64(i), Backend: "s", At: now.Add(-time.Duration(i) * 300 * time.Millisecond),
			Tasks: []contract.CrashedTask{{Route: route}},
		})
	}
	confined, _ := f.pool.o.Confinement.Update(crashes, func(string) int { return 8 }, now)
	require.Equal(t, []string{route}, confined)
}

// Guards against tasks of a confined route that start on all workers, and against other tasks that cannot use the workers
// left to them.
func TestConfinedRouteStartsOnlyOnSomeWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(8)
		defer f.pool.Close()
		now := time.Now()
		f.confine(t, "deadly")
		orderUnder := func(job, route string, alone bool) {
			f.setRunTime(job, time.Second)
			f.setSize(job, 1500)
			f.pool.Order(testHome, contract.TaskOrder{
				Key: contract.RunKey{Batch: job, Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 1500}, Accepted: now,
				Target: now.Add(time.Second), Deadline: now.Add(20 * time.Second), Expected: time.Second, Route: route, Alone: alone,
			}, now)
		}
		for i := range 8 {
			orderUnder("deadly"+string(rune('0'+i)), "deadly", false)
		}
		time.Sleep(100 * time.Millisecond)
		started := len(f.observer.startedJobs())
		require.NotZero(t, started)
		require.LessOrEqual(t, started, 2, "a quarter of the workers")
		for i := range 8 {
			orderUnder("sound"+string(rune('0'+i)), "sound", false)
		}
		time.Sleep(100 * time.Millisecond)
		require.GreaterOrEqual(t, len(f.observer.startedJobs()), 7)
	})
}
