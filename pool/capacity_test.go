package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// setCapacity changes the capacity of a worker and lists it.
func (f *fixture) setCapacity(worker int, cpu int) {
	capacity := machine.Resources{CPUMillis: cpu, MemoryMB: 1000}
	f.list[worker].Capacity = capacity
	f.calls.hosts[f.list[worker].Worker].SetCapacity(capacity)
	f.pool.SetHosts(f.list)
}

// overfilled returns the number of starts that have brought a worker over its capacity.
func (f *fixture) overfilled() int {
	n := 0
	for _, h := range f.calls.hosts {
		n += h.Overfilled()
	}
	return n
}

// orderLong orders a task that runs until it is stopped, within the time of a test.
func (f *fixture) orderLong(job string, cpu int) contract.RunKey {
	f.setRunTime(job, 5*time.Second)
	return f.order(job, cpu, 0, 20*time.Second, 30*time.Second)
}

// keepAlive refreshes runs for a while.
func (f *fixture) keepAlive(d time.Duration, keys ...contract.RunKey) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.pool.Refresh(testHome, keys, time.Now())
	}
}

// Guards against a start on a worker whose capacity has shrunk below what runs there or is being stopped, and against
// the end of runs that no longer fit.
func TestShrunkWorkerGetsNoTaskUntilItsRunsFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(1, true)
		defer f.pool.Close()
		first, second := f.orderLong("first", 1000), f.orderLong("second", 1000)
		time.Sleep(20 * time.Millisecond)
		require.Len(t, f.observer.startedJobs(), 2)
		f.setCapacity(0, 1200)
		third := f.orderLong("third", 800)
		f.keepAlive(time.Second, first, second, third)
		require.Equal(t, contract.RunStarted, f.state(first))
		require.Equal(t, contract.RunStarted, f.state(second))
		require.Len(t, f.observer.startedJobs(), 2)

		f.calls.dropStops.Store(true)
		f.pool.Withdraw(testHome, []contract.RunKey{first, second})
		f.keepAlive(500*time.Millisecond, third)
		require.Len(t, f.observer.startedJobs(), 2, "what is being stopped holds its capacity")
		f.calls.dropStops.Store(false)
		f.keepAlive(500*time.Millisecond, third)
		require.Len(t, f.observer.startedJobs(), 3)
		require.Zero(t, f.overfilled())

		fourth := f.orderLong("fourth", 1000)
		f.keepAlive(300*time.Millisecond, third, fourth)
		require.Len(t, f.observer.startedJobs(), 3)
		f.setCapacity(0, 2000)
		f.keepAlive(300*time.Millisecond, third, fourth)
		require.Len(t, f.observer.startedJobs(), 4, "the capacity has grown again")
		require.Zero(t, f.overfilled())
	})
}

// Guards against starts over the capacity of a worker right after its acquisition, when the sizes of the runs found there
// are not known: they are larger than the tasks that the new owner has seen.
func TestStartsAfterTakeoverFitBesideFoundRuns(t *testing.T) {
	for _, claim := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixtureOf(1, true)
			defer f.pool.Close()
			f.order("typical", 100, 0, time.Second, 5*time.Second)
			time.Sleep(200 * time.Millisecond)
			f.pool.SetHosts(nil)
			found := f.startElsewhere(t, 900, "found-0", "found-1")
			var small []contract.RunKey
			for i := range 10 {
				f.pool.SetHosts(f.list)
				small = append(small, f.orderLong(fmt.Sprintf("small-%d", i), 300))
			}
			for range 20 {
				time.Sleep(10 * time.Millisecond)
				if claim {
					f.claim(found, 900)
				}
				f.pool.Refresh(testHome, small, time.Now())
			}
			f.keepAlive(time.Second, append(small, found...)...)
			require.Zero(t, f.overfilled(), "runs are claimed: %v", claim)
			if !claim {
				require.Len(t, f.observer.startedJobs(), 9, "six small ones fit once the others have been stopped")
			}
		})
	}
}

// startElsewhere starts a run of each job on the first worker, as its previous owner.
func (f *fixture) startElsewhere(t *testing.T, cpu int, jobs ...string) []contract.RunKey {
	t.Helper()
	host := f.calls.hosts["w0"]
	probed, err := host.Poll(context.Background(), link.HostPoll{})
	require.NoError(t, err)
	token := newToken(f.list[0].StartTime, probed.Clock)
	var keys []contract.RunKey
	for _, job := range jobs {
		f.setSize(job, cpu)
		f.setRunTime(job, 5*time.Second)
		key := contract.RunKey{Batch: job, Run: 1}
		verdict, _, err := host.Start(context.Background(), link.HostStart{
			Key: key, LeaseEnd: probed.Clock + time.Second, Token: token,
		})
		require.NoError(t, err)
		require.Equal(t, link.StartAccepted, verdict)
		keys = append(keys, key)
	}
	return keys
}

// claim claims runs as their home does.
func (f *fixture) claim(keys []contract.RunKey, cpu int) {
	now := time.Now()
	for _, key := range keys {
		f.pool.Order(testHome, contract.TaskOrder{
			Key: key, Backend: "s", Need: machine.Resources{CPUMillis: cpu}, Accepted: now, Spec: []byte("spec"),
			Target: now.Add(time.Second), Deadline: now.Add(20 * time.Second), Expected: time.Second, Claim: true,
		}, now)
	}
}

// Guards against a start beside a run that was not ordered, whose size is not known.
func TestNoStartBesideRunThatWasNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(1, true)
		defer f.pool.Close()
		kept := f.orderLong("kept", 200)
		time.Sleep(20 * time.Millisecond)
		f.calls.dropStops.Store(true)
		f.setSize("stray", 1700)
		f.setRunTime("stray", 5*time.Second)
		f.pool.mu.Lock()
		h := f.pool.hosts["w0"]
		token, end := h.host.Token, h.host.ExtendLease(900*time.Millisecond, time.Now())
		f.pool.mu.Unlock()
		_, _, err := f.calls.hosts["w0"].Start(context.Background(), link.HostStart{
			Key: contract.RunKey{Batch: "stray", Run: 1}, LeaseEnd: end, Token: token,
		})
		require.NoError(t, err)
		f.keepAlive(300*time.Millisecond, kept)
		other := f.orderLong("other", 200)
		f.keepAlive(400*time.Millisecond, kept, other)
		require.Equal(t, []string{"kept", "stray"}, f.observer.startedJobs())
		f.calls.dropStops.Store(false)
		f.keepAlive(500*time.Millisecond, kept, other)
		require.Contains(t, f.observer.startedJobs(), "other")
		require.Zero(t, f.overfilled())
	})
}

// Guards against a free capacity of a pool that is reduced by workers which have shrunk below what runs there.
func TestShrunkWorkerDoesNotReduceFreeCapacityOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(2, true)
		defer f.pool.Close()
		f.orderLong("first", 1000)
		f.orderLong("second", 1000)
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 2, f.pool.FreeCapacity().Free)
		shrunk := 0
		if f.observer.workerOfJob()["first"] == "w1" {
			shrunk = 1
		}
		f.setCapacity(shrunk, 100)
		got := f.pool.FreeCapacity()
		require.Equal(t, 2, got.Free)
		require.Equal(t, 2, got.Slots)
	})
}

// Guards against starts by the capacity of an earlier incarnation: a worker comes back smaller, and answers before its new
// entry has been read.
func TestRestartedWorkerIsNotFilledByItsOldCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(1, true)
		defer f.pool.Close()
		host := f.calls.hosts["w0"]
		host.Crash()
		time.Sleep(2 * time.Second)
		host.SetCapacity(machine.Resources{CPUMillis: 1000, MemoryMB: 1000})
		host.Restart()
		probe := f.order("probe", 100, 0, 10*time.Second, 30*time.Second)
		first, second := f.orderLong("first", 1000), f.orderLong("second", 1000)
		f.keepAlive(5*time.Second, probe, first, second)
		require.Zero(t, host.Overfilled())
		f.list[0].StartTime = host.StartTime()
		f.setCapacity(0, 1000)
		f.keepAlive(time.Second, probe, first, second)
		require.Len(t, f.observer.startedJobs(), 2)
		require.Zero(t, host.Overfilled())
	})
}

// Guards against a worker that guards its capacity and gets no tasks after a restart while its entry cannot be read.
func TestRestartedGuardedWorkerGetsTasksBeforeItsEntryIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.calls.hosts["w0"].Crash()
		time.Sleep(2 * time.Second)
		f.calls.hosts["w0"].Restart()
		key := f.orderLong("first", 1000)
		f.keepAlive(3*time.Second, key)
		require.Len(t, f.observer.startedJobs(), 1)
	})
}

// Guards against owners that report free slots on slow workers as good ones, so that homes place tasks there.
func TestFreeCapacityCountsSlowWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3)
		defer f.pool.Close()
		f.order("sizes", 1000, 0, time.Second, 5*time.Second)
		time.Sleep(time.Second)
		require.Zero(t, f.pool.FreeCapacity().SlowFree)
		f.pool.mu.Lock()
		f.pool.hosts["w1"].host.ResetSpeed(slowSpeed / 2)
		f.pool.mu.Unlock()
		capacity := f.pool.FreeCapacity()
		require.Equal(t, 6, capacity.Free)
		require.Equal(t, 2, capacity.SlowFree)
	})
}
