package pool

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// setDomains lists the workers in failure domains, in the order of the workers.
func (f *fixture) setDomains(domains ...string) {
	for i, domain := range domains {
		f.list[i].Zone = domain
	}
	f.pool.SetHosts(f.list)
}

// evacuate replaces the set of evacuated failure domains.
func (f *fixture) evacuate(domains ...string) {
	f.pool.mu.Lock()
	policy := f.pool.policy
	f.pool.mu.Unlock()
	policy.Evacuations = contract.NewEvacuations(policy.Evacuations.Version+1, domains)
	f.pool.SetPolicy(policy)
}

// inDomains runs a test with one worker in each failure domain.
func inDomains(t *testing.T, domains []string, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(len(domains))
		defer f.pool.Close()
		f.setDomains(domains...)
		time.Sleep(time.Second)
		test(t, f)
	})
}

// Guards against a task that starts on a worker of an evacuated domain although another worker has room, or waits for that
// worker, and against a domain that stays out of service after it was taken back.
func TestEvacuatedWorkerGetsNoTask(t *testing.T) {
	inDomains(t, []string{"a", "b"}, func(t *testing.T, f *fixture) {
		f.evacuate("a")
		for _, job := range []string{"1", "2", "3", "4"} {
			f.order(job, 1000, 0, time.Second, 5*time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, map[string]string{"1": "w1", "2": "w1", "3": "w1", "4": "w1"}, f.observer.workerOfJob())
		f.setRunTime("5", time.Second)
		f.order("5", 2000, 0, time.Second, 5*time.Second)
		f.order("waiting", 2000, 0, time.Second, 5*time.Second)
		time.Sleep(sweepInterval / 2)
		f.evacuate()
		time.Sleep(time.Millisecond)
		require.Equal(t, "w1", f.observer.workerOfJob()["5"])
		require.Equal(t, "w0", f.observer.workerOfJob()["waiting"], "started at once")
	})
}

// Guards against a large task that starves since the worker kept free for it is evacuated, while small ones fill the other one.
func TestEvacuatedWorkerIsNotKeptFree(t *testing.T) {
	for _, shed := range []bool{false, true} {
		inDomains(t, []string{"a", "b"}, func(t *testing.T, f *fixture) {
			f.pool.mu.Lock()
			f.pool.o.Overload.Shed = shed
			f.pool.mu.Unlock()
			f.evacuate("a")
			keys := []contract.RunKey{f.order("first", 1000, 0, time.Second, 20*time.Second)}
			time.Sleep(50 * time.Millisecond)
			keys = append(keys, f.order("large", 2000, 0, time.Second, 20*time.Second))
			for i := range 40 {
				keys = append(keys, f.order(fmt.Sprintf("small%d", i), 1000, 0, 500*time.Millisecond, 20*time.Second))
				f.pool.Refresh(testHome, keys, time.Now())
				time.Sleep(50 * time.Millisecond)
			}
			require.Contains(t, f.observer.startedJobs(), "large", "shed %v", shed)
		})
	}
}

// Guards against queued tasks that wait at an owner all of whose workers are evacuated, against orders that it takes afterwards,
// and against a run that ends because its worker is evacuated.
func TestEvacuationReturnsQueuedTasks(t *testing.T) {
	inDomains(t, []string{"a"}, func(t *testing.T, f *fixture) {
		f.setRunTime("running", 3*time.Second)
		running := f.order("running", 2000, 0, time.Second, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		queued := f.order("queued", 2000, 0, time.Second, 5*time.Second)
		f.evacuate("a")
		require.Equal(t, contract.RunInfeasible, f.state(queued))
		require.False(t, f.report(queued).MayHaveStarted)
		require.EqualValues(t, 1, f.pool.counter(metric.PoolTasksEvacuated).Count())
		require.Equal(t, contract.RunInfeasible, f.state(f.order("later", 1000, 0, time.Second, 5*time.Second)))
		f.refreshFor(4*time.Second, running)
		require.Equal(t, contract.RunDone, f.state(running), "its lease was extended")
		require.Equal(t, []string{"running"}, f.observer.startedJobs())
	})
}

// Guards against tasks that homes place at an owner whose workers are evacuated.
func TestEvacuatedWorkersCountNoSlots(t *testing.T) {
	inDomains(t, []string{"a", "b"}, func(t *testing.T, f *fixture) {
		both := f.pool.FreeCapacity()
		f.evacuate("a")
		one := f.pool.FreeCapacity()
		require.Equal(t, both.Slots, 2*one.Slots)
		require.Equal(t, both.Free, 2*one.Free)
		f.evacuate("a", "b")
		require.Zero(t, f.pool.FreeCapacity().Slots)
		f.evacuate()
		require.Equal(t, both, f.pool.FreeCapacity())
	})
}

// Guards against a start that is written after the evacuation although it was decided before.
func TestDecidedStartIsNotWrittenAfterEvacuation(t *testing.T) {
	inDomains(t, []string{"a"}, func(t *testing.T, f *fixture) {
		f.calls.writeDelay = 300 * time.Millisecond
		key := f.order("task", 1000, 0, time.Second, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		f.evacuate("a")
		time.Sleep(300 * time.Millisecond)
		require.Empty(t, f.observer.startedJobs())
		require.Equal(t, contract.RunInfeasible, f.state(key))
		require.False(t, f.report(key).MayHaveStarted)
		require.Empty(t, f.pool.o.LateStarts.All())
	})
}

// Guards against a start after the poll that has confirmed the worker, during which the domain was evacuated.
func TestStartIsNotConfirmedAfterEvacuation(t *testing.T) {
	inDomains(t, []string{"a"}, func(t *testing.T, f *fixture) {
		f.setLabels("b")
		time.Sleep(time.Second)
		f.calls.delayPolls.Store(true)
		time.Sleep(500 * time.Millisecond)
		key := f.orderLabelled("task")
		synctest.Wait()
		require.Positive(t, f.pool.counter(metric.PoolStartsConfirmed).Count())
		f.evacuate("a")
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, f.observer.startedJobs())
		require.Equal(t, contract.RunInfeasible, f.state(key))
		require.Zero(t, f.pool.counter(metric.PoolStarts).Count())
	})
}

// Guards against a start without a reply that is repeated at an evacuated worker, and against one that is not repeated after the
// domain was taken back.
func TestStartIsNotRepeatedWhileEvacuated(t *testing.T) {
	inDomains(t, []string{"a", "b"}, func(t *testing.T, f *fixture) {
		for _, h := range f.calls.hosts {
			h.SetHoldingStarts(1)
		}
		key := f.orderRun(1)
		time.Sleep(10 * time.Millisecond)
		f.evacuate("a", "b")
		for _, h := range f.calls.hosts {
			h.SetHoldingStarts(0)
		}
		f.refreshFor(5*time.Second, key)
		require.Zero(t, f.pool.counter(metric.PoolStartsRepeated).Count())
		require.Empty(t, f.observer.startedJobs())
		require.False(t, f.state(key).Final(), "the start may still be executed")
		f.evacuate()
		f.refreshFor(time.Second, key)
		require.Len(t, f.observer.startedJobs(), 1)
		require.Equal(t, contract.RunDone, f.state(key))
	})
}

// Guards against the next run of a task that starts at an evacuated worker, or elsewhere, while that worker may still execute the
// earlier start.
func TestBoundTaskWaitsForItsEvacuatedWorker(t *testing.T) {
	withUnansweredStart(t, 2, func(f *fixture, worker string, _ *standin.RunHost) {
		f.setDomains("a", "b")
		domain := map[string]string{"w0": "a", "w1": "b"}[worker]
		f.evacuate(domain)
		next := f.orderRun(2)
		f.refreshFor(5*time.Second, next)
		require.Empty(t, f.observer.startedJobs())
		require.Zero(t, f.pool.FreeCapacity().Waiting, "homes do not count it as work ahead of theirs")
		f.evacuate()
		f.refreshFor(time.Second, next)
		require.Equal(t, worker, f.observer.workerOfJob()["task"])
	})
}

// Guards against a bound task that goes back to its home without end: its order names the evacuated worker.
func TestOrderForEvacuatedWorkerWaits(t *testing.T) {
	inDomains(t, []string{"a"}, func(t *testing.T, f *fixture) {
		f.evacuate("a")
		key := f.orderWith("task", func(o *contract.TaskOrder) { o.OnlyWorker = "w0" })
		f.refreshFor(time.Second, key)
		require.Empty(t, f.observer.startedJobs())
		require.False(t, f.state(key).Final())
		require.Zero(t, f.pool.counter(metric.PoolTasksEvacuated).Count())
	})
}

// Guards against tasks that run alone and wait for an evacuated worker, or start there.
func TestTaskThatRunsAloneAvoidsEvacuatedWorkers(t *testing.T) {
	inDomains(t, []string{"a", "a", "b"}, func(t *testing.T, f *fixture) {
		f.setRunTime("busy", 200*time.Millisecond)
		f.evacuate("a")
		busy := f.order("busy", 1000, 0, time.Second, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		alone := f.orderAlone("alone", 1000)
		f.refreshFor(time.Second, busy, alone)
		require.Equal(t, "w2", f.observer.workerOfJob()["alone"])
		f.evacuate("a", "b")
		require.Equal(t, contract.RunInfeasible, f.state(f.orderAlone("another", 1000)))
	})
}

// Guards against too many of the serving workers being held for tasks that run alone, since evacuated ones were counted.
func TestEvacuatedWorkersLeaveNoMoreWorkersToTasksThatRunAlone(t *testing.T) {
	inDomains(t, []string{"a", "a", "a", "a", "a", "a", "b", "b"}, func(t *testing.T, f *fixture) {
		f.evacuate("a")
		for _, job := range []string{"alone1", "alone2"} {
			f.setRunTime(job, time.Second)
			f.orderAlone(job, 1000)
		}
		time.Sleep(10 * time.Millisecond)
		require.Len(t, f.observer.startedJobs(), 1)
		f.order("other", 2000, 0, time.Second, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		require.Contains(t, f.observer.startedJobs(), "other")
	})
}

// Guards against a confined route that is left without a worker: all on which it may start are evacuated.
func TestConfinedRouteKeepsAWorker(t *testing.T) {
	domains := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	inDomains(t, domains, func(t *testing.T, f *fixture) {
		f.confine(t, "deadly")
		for i, domain := range domains {
			f.evacuate(slices.Delete(slices.Clone(domains), i, i+1)...)
			f.orderWith(domain, func(o *contract.TaskOrder) { o.Route = "deadly" })
			time.Sleep(200 * time.Millisecond)
			require.Equal(t, f.list[i].Worker, f.observer.workerOfJob()[domain])
		}
	})
}

// Guards against a worker that is listed, or listed in another domain, after the evacuation.
func TestListedWorkerOfEvacuatedDomainGetsNoTask(t *testing.T) {
	inDomains(t, []string{"a", "b"}, func(t *testing.T, f *fixture) {
		f.evacuate("c")
		f.setDomains("c", "b")
		f.pool.SetHosts(f.list[:1])
		require.Equal(t, contract.RunInfeasible, f.state(f.order("moved", 1000, 0, time.Second, 5*time.Second)))
		f.setDomains("c", "c")
		time.Sleep(time.Second)
		require.Equal(t, contract.RunInfeasible, f.state(f.order("added", 1000, 0, time.Second, 5*time.Second)))
		require.Empty(t, f.observer.startedJobs())
		f.setDomains("c", "a")
		f.order("back", 1000, 0, time.Second, 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, "w1", f.observer.workerOfJob()["back"])
	})
}

// Guards against a task that is returned as evacuated although its only worker drains too.
func TestDrainingWorkerIsNotReportedAsEvacuated(t *testing.T) {
	inDomains(t, []string{"a"}, func(t *testing.T, f *fixture) {
		f.order("running", 2000, 0, time.Second, 5*time.Second)
		queued := f.order("queued", 2000, 0, time.Second, 5*time.Second)
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		f.evacuate("a")
		require.Equal(t, contract.RunInfeasible, f.state(queued))
		require.Zero(t, f.pool.counter(metric.PoolTasksEvacuated).Count())
	})
}
