package pool

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
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

// startObserver records the order in which tasks start. mu guards it.
type startObserver struct {
	mu      sync.Mutex
	started []string
	workers map[string]string
}

func (o *startObserver) Started(worker string, key contract.RunKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = append(o.started, key.Batch)
	o.workers[key.Batch] = worker
}

// startedJobs returns a copy of the jobs of the started tasks, in the order of their starts.
func (o *startObserver) startedJobs() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.started)
}

// workerOfJob returns a copy of the worker of each started job.
func (o *startObserver) workerOfJob() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.workers)
}

func (o *startObserver) Ended(string, contract.RunKey, contract.RunState, time.Time) {}

// hostCalls calls stand-ins of workers without a network.
type hostCalls struct {
	hosts map[string]*standin.RunHost
	// dropStops makes all stop calls time out without effect.
	dropStops bool
	// delayPolls makes polls take a round trip.
	delayPolls atomic.Bool
}

func (c *hostCalls) Start(
	ctx context.Context, a link.HostAddress, s link.HostStart,
) (link.StartVerdict, link.HostReply, error) {
	return c.hosts[a.Worker].Start(ctx, s)
}

func (c *hostCalls) Stop(
	ctx context.Context, a link.HostAddress, k contract.RunKey, token uint64,
) (link.HostReply, error) {
	if c.dropStops {
		<-ctx.Done()
		return link.HostReply{}, ctx.Err()
	}
	return c.hosts[a.Worker].Stop(ctx, k, token)
}

func (c *hostCalls) Poll(ctx context.Context, a link.HostAddress, h link.HostPoll) (link.PollReply, error) {
	if c.delayPolls.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	return c.hosts[a.Worker].Poll(ctx, h)
}

func (c *hostCalls) CloseIdleConnections(link.HostAddress) {}

// fixture is a pool with workers. durations holds the run times of tasks, sizes their CPU need, both by job. mu guards
// durations, sizes and reports: the workers read the first two and the pool writes the third while a test runs.
type fixture struct {
	pool      *Pool
	calls     *hostCalls
	list      []machine.Listing
	observer  *startObserver
	durations map[string]time.Duration
	sizes     map[string]int
	mu        sync.Mutex
	reports   map[contract.RunKey]contract.RunReport
}

func newFixture(workers int) *fixture {
	b := &fixture{
		calls: &hostCalls{hosts: make(map[string]*standin.RunHost)}, observer: &startObserver{workers: make(map[string]string)},
		durations: make(map[string]time.Duration),
		sizes:     make(map[string]int), reports: make(map[contract.RunKey]contract.RunReport),
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := machine.Resources{CPUMillis: 2000, MemoryMB: 1000}
		h := standin.NewRunHost(standin.RunHostOptions{
			ID: id, Capacity: capacity, MaxLease: time.Second, Observer: b.observer,
			Work: func(k contract.RunKey) standin.RunPlan {
				d := b.runTime(k.Batch)
				return standin.RunPlan{Duration: d, Stalls: d == 0}
			},
			Need: func(k contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: b.size(k.Batch)} },
		})
		b.calls.hosts[id] = h
		b.list = append(b.list, machine.Listing{
			Worker: id, Backend: "s", Address: id, StartTime: h.StartTime(), Capacity: capacity,
		})
	}
	b.pool = New(Options{
		Backend: "s", Calls: b.calls, Lease: time.Second, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
		Metrics: metrics.NewRegistry(), Takeover: func(contract.Takeover) {},
		Report: func(_ string, r contract.RunReport) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.reports[r.Key] = r
		},
	})
	b.pool.SetHosts(b.list)
	time.Sleep(100 * time.Millisecond)
	return b
}

func (b *fixture) setRunTime(job string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.durations[job] = d
}

// setDefaultRunTime sets the run time of a job that has none.
func (b *fixture) setDefaultRunTime(job string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.durations[job]; !ok {
		b.durations[job] = d
	}
}

func (b *fixture) runTime(job string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.durations[job]
}

func (b *fixture) setSize(job string, cpu int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes[job] = cpu
}

func (b *fixture) size(job string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sizes[job]
}

// order orders one task of a job.
func (b *fixture) order(job string, cpu, priority int, target, limit time.Duration) contract.RunKey {
	b.setSize(job, cpu)
	b.setDefaultRunTime(job, 100*time.Millisecond)
	key := contract.RunKey{Batch: job, Run: 1}
	now := time.Now()
	b.pool.Order(testHome, contract.TaskOrder{
		Key: key, Backend: "s", Need: machine.Resources{CPUMillis: cpu}, Priority: priority, Accepted: now,
		Target: now.Add(target), Deadline: now.Add(limit), Expected: 100 * time.Millisecond,
	}, now)
	return key
}

func (b *fixture) state(k contract.RunKey) contract.RunState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports[k].State
}

// Guards against urgent tasks queued behind less urgent ones, and against late tasks that take capacity from tasks
// that can still meet their target. One worker gets more tasks than it can run at once.
func TestOrderOfWaitingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		b.order("first", 2000, 0, time.Second, 5*time.Second)
		b.order("late", 2000, 0, 50*time.Millisecond, 5*time.Second)
		b.order("low", 2000, 2, 4*time.Second, 5*time.Second)
		b.order("high", 2000, 0, 4*time.Second, 5*time.Second)
		b.order("soon", 2000, 0, 3*time.Second, 5*time.Second)
		time.Sleep(time.Second)
		require.Equal(t, []string{"first", "soon", "high", "low", "late"}, b.observer.startedJobs())
	})
}

// Guards against large tasks that never start because small ones fill each gap.
func TestLargeTaskIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		for i := range 40 {
			b.order(fmt.Sprintf("small-%d", i), 1000, 1, 20*time.Second, 30*time.Second)
			if i == 2 {
				b.order("large", 2000, 1, 10*time.Second, 30*time.Second)
			}
			if i > 2 {
				time.Sleep(45 * time.Millisecond)
			}
		}
		require.Contains(t, b.observer.startedJobs(), "large")
	})
}

// Guards against a stalled run that occupies its worker and delays its job for as long as its home refreshes it.
func TestStalledRunIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		b.setRunTime("stalls", 0)
		key := b.order("stalls", 1000, 0, time.Second, 5*time.Second)
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			b.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
		}
		require.Equal(t, contract.RunEnded, b.state(key))
	})
}

// Guards against new tasks on a draining worker, and against tasks queued for workers that cannot run them.
func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(2)
		defer b.pool.Close()
		b.list[0].Draining = true
		b.pool.SetHosts(b.list)
		for i := range 6 {
			b.order(fmt.Sprintf("job-%d", i), 1000, 0, time.Second, 5*time.Second)
		}
		time.Sleep(600 * time.Millisecond)
		workers := b.observer.workerOfJob()
		require.Len(t, workers, 6)
		for job, worker := range workers {
			require.Equal(t, "w1", worker, job)
		}
		b.list[1].Draining = true
		b.pool.SetHosts(b.list)
		require.Equal(t, contract.RunInfeasible, b.state(b.order("none", 1000, 0, time.Second, 5*time.Second)))
	})
}

// Guards against runs that continue after their home is unreachable or no longer refreshes them.
func TestRunsStopWithoutTheirHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		b.setRunTime("gone", 10*time.Second)
		b.setRunTime("silent", 10*time.Second)
		gone := b.order("gone", 1000, 0, time.Second, 20*time.Second)
		time.Sleep(100 * time.Millisecond)
		b.pool.HomeUnreachable(testHome)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, contract.RunEnded, b.state(gone))
		silent := b.order("silent", 1000, 0, time.Second, 20*time.Second)
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, contract.RunEnded, b.state(silent))
	})
}

// Guards against a run that is declared ended when the reply to an early poll, made before its start arrived, is
// delivered after a later poll has listed the run.
func TestDelayedPollReplyEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		b.calls.delayPolls.Store(true)
		b.setRunTime("a", 5*time.Second)
		b.calls.hosts["w0"].SetLosingAnswers(true)
		start := time.Now()
		key := b.order("a", 1000, 0, time.Second, 20*time.Second)
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, contract.RunStarted, b.state(key))
		b.pool.mu.Lock()
		host := b.pool.hosts["w0"]
		b.pool.mu.Unlock()
		early := link.PollReply{HostReply: link.HostReply{
			Clock: host.host.ClockAt(time.Now()), StartTime: b.list[0].StartTime,
		}}
		b.pool.handlePollReply(host, start.Add(time.Millisecond), early, nil)
		require.Equal(t, contract.RunStarted, b.state(key))
	})
}

// Guards against a run that is still alive when its client submits the job again, 1.3 s after its home has died. The
// run's stop call does not reach the worker, while another run keeps the lease of the worker alive.
func TestRunOfLostHomeExpiresBeforeResubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		b.setRunTime("lost", 5*time.Second)
		b.setRunTime("kept", 5*time.Second)
		lost := b.order("lost", 500, 0, time.Second, 10*time.Second)
		kept := b.order("kept", 500, 0, time.Second, 10*time.Second)
		b.calls.dropStops = true
		for died := time.Now(); time.Since(died) < 1300*time.Millisecond; time.Sleep(100 * time.Millisecond) {
			b.pool.Refresh(testHome, []contract.RunKey{kept}, time.Now())
		}
		reply, err := b.calls.hosts["w0"].Poll(context.Background(), link.HostPoll{Token: 1 << 62})
		require.NoError(t, err)
		for _, r := range reply.Running {
			require.NotEqual(t, lost, r.Key)
		}
	})
}

// Guards against runs that are declared ended because the listing of a restarted worker names another incarnation than
// its replies: the task would be started a second time.
func TestListingOfOtherIncarnationEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		defer b.pool.Close()
		b.calls.hosts["w0"].Crash()
		time.Sleep(time.Second)
		b.calls.hosts["w0"].Restart()
		time.Sleep(time.Second)
		b.setRunTime("a", 800*time.Millisecond)
		key := b.order("a", 500, 0, time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, contract.RunStarted, b.state(key))
		b.list[0].StartTime = b.calls.hosts["w0"].StartTime()
		b.pool.SetHosts(b.list)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, contract.RunStarted, b.state(key))
	})
}

// Guards against a restarted worker that no VM can acquire. A call with the fencing token of the previous incarnation
// has reached it, and later owners had lower tokens because these counted from its new clock.
func TestTokenOfPreviousIncarnationDoesNotBlockOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(1)
		b.pool.Close()
		time.Sleep(time.Minute)
		last := New(b.pool.o)
		last.SetHosts(b.list)
		time.Sleep(time.Second)
		b.calls.hosts["w0"].Crash()
		b.calls.hosts["w0"].Restart()
		time.Sleep(2 * time.Second)
		last.Close()
		b.list[0].StartTime = b.calls.hosts["w0"].StartTime()
		next := New(b.pool.o)
		defer next.Close()
		next.SetHosts(b.list)
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"w0"}, next.Owned())
	})
}

// Guards against workers that no later owner can acquire: a probe of a worker with another owner is fenced, and its
// reply does not contain the start time from which tokens are derived.
func TestNextOwnerAcquiresWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour)
		b := newFixture(1)
		b.pool.Close()
		next := New(b.pool.o)
		defer next.Close()
		next.SetHosts(b.list)
		time.Sleep(time.Second)
		require.Equal(t, []string{"w0"}, next.Owned())
	})
}

// Guards against exceeding the limit of tasks of a step per worker, and against a limit that affects other jobs.
func TestLimitOfTasksPerWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(2)
		defer b.pool.Close()
		b.setSize("spread", 500)
		b.setRunTime("spread", time.Second)
		now := time.Now()
		for i := range 4 {
			b.pool.Order(testHome, contract.TaskOrder{
				Key: contract.RunKey{Batch: "spread", Index: i, Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 500},
				Accepted: now, Target: now.Add(time.Second), Deadline: now.Add(10 * time.Second), Expected: time.Second,
				PerWorkerLimit: 1,
			}, now)
		}
		b.order("other", 500, 0, time.Second, 10*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.ElementsMatch(t, []string{"spread", "spread", "other"}, b.observer.startedJobs())
	})
}

// Guards against capacity spent on jobs that are never completed: under a load of 1.5 times the capacity, the
// remaining tasks of started jobs must not wait behind the first tasks of newer ones.
func TestStartedJobsAreCompletedUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, tasks = 60, 3
		b := newFixture(1)
		defer b.pool.Close()
		for i := range jobs {
			job := fmt.Sprintf("job-%d", i)
			b.setSize(job, 1000)
			b.setRunTime(job, 100*time.Millisecond)
			now := time.Now()
			var keys []contract.RunKey
			for n := range tasks {
				key := contract.RunKey{Batch: job, Index: n, Run: 1}
				keys = append(keys, key)
				b.pool.Order(testHome, contract.TaskOrder{
					Key: key, Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: now, Target: now.Add(220 * time.Millisecond),
					Deadline: now.Add(1500 * time.Millisecond), Expected: 100 * time.Millisecond,
				}, now)
			}
			go func() {
				for ; time.Since(now) < 1500*time.Millisecond; time.Sleep(200 * time.Millisecond) {
					b.pool.Refresh(testHome, keys, time.Now())
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		complete := 0
		for i := range jobs {
			done := 0
			for n := range tasks {
				if b.state(contract.RunKey{Batch: fmt.Sprintf("job-%d", i), Index: n, Run: 1}) == contract.RunDone {
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
		b := newFixture(1)
		defer b.pool.Close()
		key := b.order("a", 1000, 0, time.Second, 10*time.Second)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, contract.RunDone, b.state(key))
		b.pool.HomeUnreachable(testHome)
		b.mu.Lock()
		clear(b.reports)
		b.mu.Unlock()
		b.pool.Withdraw(testHome, []contract.RunKey{key})
		require.Equal(t, contract.RunDone, b.state(key))
	})
}
