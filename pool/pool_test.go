package pool

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

const testHome = "home/1"

// fixture is a pool with workers. durations holds the run times of tasks, sizes their CPU need in thousandths of a
// core, both by job; a task with a run time of zero stalls. mu guards durations, sizes and reports: the workers read
// the first two and the pool writes the third while a test runs.
type fixture struct {
	pool      *Pool
	calls     *hostCalls
	list      []machine.Listing
	observer  *startObserver
	durations map[string]time.Duration
	sizes     map[string]int
	mu        sync.Mutex
	reports   map[contract.RunKey]contract.RunReport
	// reportLog holds all reports in their order.
	reportLog []contract.RunReport
	crashes   []contract.WorkerCrash
	// lateStarts and replaced are what the pool has announced of starts without a reply.
	lateStarts []contract.LateStart
	replaced   []string
	// crash selects the jobs whose tasks crash their worker, and how they do.
	crash map[string]standin.RunPlan
}

func newFixture(workers int) *fixture { return newFixtureOf(workers, false) }

// newFixtureOf returns a fixture whose workers start whatever they are told to start, if unguarded is set.
func newFixtureOf(workers int, unguarded bool) *fixture {
	f := &fixture{
		calls: &hostCalls{hosts: make(map[string]*standin.RunHost)},
		observer: &startObserver{workers: make(map[string]string), ended: make(map[string]time.Time),
			alive: make(map[contract.RunKey]map[contract.RunKey]string)}, durations: make(map[string]time.Duration),
		sizes: make(map[string]int), reports: make(map[contract.RunKey]contract.RunReport),
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := machine.Resources{CPUMillis: 2000, MemoryMB: 1000}
		h := standin.NewRunHost(standin.RunHostOptions{
			ID: id, Capacity: capacity, MaxLease: time.Second, Observer: f.observer, Unguarded: unguarded,
			Plan: func(k contract.RunKey) standin.RunPlan {
				if plan, ok := f.crash[k.Batch]; ok {
					return plan
				}
				d := f.runTime(k.Batch)
				return standin.RunPlan{Duration: d, Stalls: d == 0}
			},
			Need: func(k contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: f.size(k.Batch)} },
		})
		f.calls.hosts[id] = h
		f.list = append(f.list, machine.Listing{
			Worker: id, Backend: "s", Address: id, StartTime: h.StartTime(), Capacity: capacity,
		})
	}
	f.pool = New(Options{
		Backend: "s", Calls: f.calls, Lease: time.Second, Policy: Policy{GuardsCapacity: !unguarded, SoleBackend: true}, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
		Metrics: metrics.NewRegistry(), Takeover: func(contract.Takeover) {},
		Confinement: contract.NewConfinement(),
		Crashed: func(c contract.WorkerCrash) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.crashes = append(f.crashes, c)
		},
		LateStart: func(s contract.LateStart) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lateStarts = append(f.lateStarts, s)
		},
		WorkerReplaced: func(worker string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.replaced = append(f.replaced, worker)
		},
		Report: func(_ string, r contract.RunReport) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reports[r.Key] = r
			f.reportLog = append(f.reportLog, r)
		},
	})
	f.pool.SetHosts(f.list)
	time.Sleep(100 * time.Millisecond)
	return f
}

func (f *fixture) setRunTime(job string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.durations[job] = d
}

// setDefaultRunTime sets the run time of a job that has none.
func (f *fixture) setDefaultRunTime(job string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.durations[job]; !ok {
		f.durations[job] = d
	}
}

func (f *fixture) runTime(job string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.durations[job]
}

func (f *fixture) setSize(job string, cpu int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes[job] = cpu
}

func (f *fixture) size(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sizes[job]
}

// order orders one task of a job.
func (f *fixture) order(job string, cpu, priority int, target, limit time.Duration) contract.RunKey {
	f.setSize(job, cpu)
	f.setDefaultRunTime(job, 100*time.Millisecond)
	key := contract.RunKey{Batch: job, Run: 1}
	now := time.Now()
	f.pool.Order(testHome, contract.TaskOrder{
		Key: key, Backend: "s", Need: machine.Resources{CPUMillis: cpu}, Priority: priority, Accepted: now,
		Target: now.Add(target), Deadline: now.Add(limit), Expected: 100 * time.Millisecond,
	}, now)
	return key
}

func (f *fixture) state(k contract.RunKey) contract.RunState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[k].State
}

// Guards against urgent tasks queued behind less urgent ones, and against late tasks that take capacity from tasks
// that can still meet their target. One worker gets more tasks than it can run at once.
func TestOrderOfWaitingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.order("first", 2000, 0, time.Second, 5*time.Second)
		f.order("late", 2000, 0, 50*time.Millisecond, 5*time.Second)
		f.order("low", 2000, 2, 4*time.Second, 5*time.Second)
		f.order("high", 2000, 0, 4*time.Second, 5*time.Second)
		f.order("soon", 2000, 0, 3*time.Second, 5*time.Second)
		time.Sleep(time.Second)
		require.Equal(t, []string{"first", "soon", "high", "low", "late"}, f.observer.startedJobs())
	})
}

// Guards against large tasks that never start because small ones fill each gap.
func TestLargeTaskIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		for i := range 40 {
			f.order(fmt.Sprintf("small-%d", i), 1000, 1, 20*time.Second, 30*time.Second)
			if i == 2 {
				f.order("large", 2000, 1, 10*time.Second, 30*time.Second)
			}
			if i > 2 {
				time.Sleep(45 * time.Millisecond)
			}
		}
		require.Contains(t, f.observer.startedJobs(), "large")
	})
}

// Guards against a stalled run that occupies its worker and delays its job for as long as its home refreshes it.
func TestStalledRunIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("stalls", 0)
		key := f.order("stalls", 1000, 0, time.Second, 5*time.Second)
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
		}
		require.Equal(t, contract.RunEnded, f.state(key))
	})
}

// Guards against new tasks on a draining worker, and against tasks queued for workers that cannot run them.
func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		for i := range 6 {
			f.order(fmt.Sprintf("job-%d", i), 1000, 0, time.Second, 5*time.Second)
		}
		time.Sleep(600 * time.Millisecond)
		workers := f.observer.workerOfJob()
		require.Len(t, workers, 6)
		for job, worker := range workers {
			require.Equal(t, "w1", worker, job)
		}
		f.list[1].Draining = true
		f.pool.SetHosts(f.list)
		require.Equal(t, contract.RunInfeasible, f.state(f.order("none", 1000, 0, time.Second, 5*time.Second)))
	})
}

// Guards against runs that continue after their home is unreachable or no longer refreshes them.
func TestRunsStopWithoutTheirHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("gone", 10*time.Second)
		f.setRunTime("silent", 10*time.Second)
		gone := f.order("gone", 1000, 0, time.Second, 20*time.Second)
		time.Sleep(100 * time.Millisecond)
		f.pool.HomeUnreachable(testHome)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(gone))
		silent := f.order("silent", 1000, 0, time.Second, 20*time.Second)
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(silent))
	})
}

// Guards against a run that is declared ended when the reply to an early poll, made before its start arrived, is
// delivered after a later poll has listed the run.
func TestDelayedPollReplyEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.calls.delayPolls.Store(true)
		f.setRunTime("a", 5*time.Second)
		f.calls.hosts["w0"].SetLosingReplies(true)
		start := time.Now()
		key := f.order("a", 1000, 0, time.Second, 20*time.Second)
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, contract.RunStarted, f.state(key))
		f.pool.mu.Lock()
		host := f.pool.hosts["w0"]
		f.pool.mu.Unlock()
		early := link.PollReply{HostReply: link.HostReply{
			Clock: host.host.ClockAt(time.Now()), StartTime: f.list[0].StartTime,
		}}
		f.pool.handlePollReply(host, host.host.Token, start.Add(time.Millisecond), early, nil)
		require.Equal(t, contract.RunStarted, f.state(key))
	})
}

// Guards against a run that is still alive when its client submits the job again, 1.3 s after its home has died. The
// run's stop call does not reach the worker, while another run keeps the lease of the worker alive.
func TestRunOfLostHomeExpiresBeforeResubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("lost", 5*time.Second)
		f.setRunTime("kept", 5*time.Second)
		lost := f.order("lost", 500, 0, time.Second, 10*time.Second)
		kept := f.order("kept", 500, 0, time.Second, 10*time.Second)
		f.calls.dropStops.Store(true)
		for died := time.Now(); time.Since(died) < 1300*time.Millisecond; time.Sleep(100 * time.Millisecond) {
			f.pool.Refresh(testHome, []contract.RunKey{kept}, time.Now())
		}
		reply, err := f.calls.hosts["w0"].Poll(context.Background(), link.HostPoll{Token: 1 << 62})
		require.NoError(t, err)
		for _, r := range reply.Running {
			require.NotEqual(t, lost, r.Key, "the run of the lost home is still alive")
		}
	})
}

// Guards against runs that are declared ended because the listing of a restarted worker names another incarnation than
// its replies: the task would be started a second time.
func TestListingOfOtherIncarnationEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.calls.hosts["w0"].Crash()
		time.Sleep(time.Second)
		f.calls.hosts["w0"].Restart()
		time.Sleep(time.Second)
		f.setRunTime("a", 800*time.Millisecond)
		key := f.order("a", 500, 0, time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, contract.RunStarted, f.state(key))
		f.list[0].StartTime = f.calls.hosts["w0"].StartTime()
		f.pool.SetHosts(f.list)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, contract.RunStarted, f.state(key))
	})
}

// Guards against a restarted worker that no VM can acquire. A call with the fencing token of the previous incarnation
// has reached it, and later owners had lower tokens because these counted from its new clock.
func TestTokenOfPreviousIncarnationDoesNotBlockOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		f.pool.Close()
		time.Sleep(time.Minute)
		last := New(f.pool.o)
		last.SetHosts(f.list)
		time.Sleep(time.Second)
		f.calls.hosts["w0"].Crash()
		f.calls.hosts["w0"].Restart()
		time.Sleep(2 * time.Second)
		last.Close()
		f.list[0].StartTime = f.calls.hosts["w0"].StartTime()
		next := New(f.pool.o)
		defer next.Close()
		next.SetHosts(f.list)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"w0"}, next.Owned())
	})
}

// Guards against workers that no later owner can acquire: a probe of a worker with another owner is fenced, and its
// reply does not contain the start time from which tokens are derived.
func TestNextOwnerAcquiresWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour)
		f := newFixture(1)
		f.pool.Close()
		next := New(f.pool.o)
		defer next.Close()
		next.SetHosts(f.list)
		time.Sleep(time.Second)
		require.Equal(t, []string{"w0"}, next.Owned())
	})
}

// Guards against exceeding the limit of tasks of a step per worker, and against a limit that affects other jobs.
func TestLimitOfTasksPerWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.setSize("spread", 500)
		f.setRunTime("spread", time.Second)
		now := time.Now()
		for i := range 4 {
			f.pool.Order(testHome, contract.TaskOrder{
				Key: contract.RunKey{Batch: "spread", Index: i, Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 500},
				Accepted: now, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second), Expected: time.Second,
				PerWorkerLimit: 1,
			}, now)
		}
		f.order("other", 500, 0, time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.ElementsMatch(t, []string{"spread", "spread", "other"}, f.observer.startedJobs())
	})
}

// Guards against capacity spent on jobs that are never completed: under a load of 1.5 times the capacity, the
// remaining tasks of started jobs must not wait behind the first tasks of newer ones.
func TestStartedJobsAreCompletedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, tasks = 60, 3
		f := newFixture(1)
		defer f.pool.Close()
		for i := range jobs {
			job := fmt.Sprintf("job-%d", i)
			f.setSize(job, 1000)
			f.setRunTime(job, 100*time.Millisecond)
			now := time.Now()
			var keys []contract.RunKey
			for n := range tasks {
				key := contract.RunKey{Batch: job, Index: n, Run: 1}
				keys = append(keys, key)
				f.pool.Order(testHome, contract.TaskOrder{
					Key: key, Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: now,
					Target: now.Add(220 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
					Expected: 100 * time.Millisecond,
				}, now)
			}
			go func() {
				for ; time.Since(now) < 1500*time.Millisecond; time.Sleep(200 * time.Millisecond) {
					f.pool.Refresh(testHome, keys, time.Now())
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		complete := 0
		for i := range jobs {
			done := 0
			for n := range tasks {
				if f.state(contract.RunKey{Batch: fmt.Sprintf("job-%d", i), Index: n, Run: 1}) == contract.RunDone {
					done++
				}
			}
			if done == tasks {
				complete++
			}
		}
		capacity := jobs * 2 / tasks
		require.Greater(t, complete, capacity*3/4, "completed jobs; the capacity suffices for %d", capacity)
	})
}

// Guards against a false refusal: a home that was paused must learn that its run has ended, although the owner has
// meanwhile treated the home as unreachable.
func TestOutcomesAreRetainedForUnreachableHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		key := f.order("a", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, contract.RunDone, f.state(key))
		f.pool.HomeUnreachable(testHome)
		f.mu.Lock()
		clear(f.reports)
		f.mu.Unlock()
		f.pool.Withdraw(testHome, []contract.RunKey{key})
		require.Equal(t, contract.RunDone, f.state(key))
	})
}
