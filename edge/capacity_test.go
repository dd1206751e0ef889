package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// setCapacity changes the capacity of some workers, and lists it. No owner can know a smaller capacity before it has read
// the entry, so a worker shrinks once all have. The store wakes its readers at the change, and no message takes time: all of
// that is done when every goroutine waits, before the time of the test moves on.
func (d *deployment) setCapacity(cpu int, workers ...string) {
	capacity := machine.Resources{CPUMillis: cpu, MemoryMB: 131_072}
	for _, id := range workers {
		d.hosts[id].SetCapacity(capacity.Max(d.listedCapacity(id)))
	}
	d.store.update(func() {
		for i := range d.store.workers {
			if l := &d.store.workers[i]; slices.Contains(workers, l.Worker) {
				l.Capacity = capacity
			}
		}
	})
	synctest.Wait()
	for _, id := range workers {
		d.hosts[id].SetCapacity(capacity)
	}
}

// listedCapacity returns the capacity in a worker's entry.
func (d *deployment) listedCapacity(worker string) machine.Resources {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	i := slices.IndexFunc(d.store.workers, func(l machine.Listing) bool { return l.Worker == worker })
	return d.store.workers[i].Capacity
}

// Guards against a job that is answered as failed, as one that no worker can ever hold, because the capacity of all
// workers has shrunk for a while.
func TestJobWaitsWhileWorkersHaveShrunk(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 2)
		defer d.close()
		d.setCapacity(taskCPU/2, "worker-0-0", "worker-0-1")
		time.Sleep(100 * time.Millisecond)
		long := d.submit("edge-0-0", testJob("00000000000000aa", 4, 5*time.Second))
		short := d.submit("edge-0-1", testJob("00000000000000bb", 2, time.Second))
		require.Equal(t, batch.Refused, (<-short).Outcome)
		require.Empty(t, d.observer.started)
		d.setCapacity(2*taskCPU, "worker-0-0", "worker-0-1")
		require.Equal(t, batch.Completed, (<-long).Outcome)
		never := testJob("00000000000000cc", 1, time.Second)
		never.Steps[0].Need.CPUMillis = 64_001
		require.Equal(t, batch.Failed, (<-d.submit("edge-0-0", never)).Outcome)
	})
}

// Guards against starts over the capacity of a worker that has shrunk, by the process that owned it, the one that takes it
// over when that process dies, and one that is restarted.
func TestShrunkWorkerIsNotOverfilledAfterItsOwnerDies(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeploymentOf(t, 1, 3, 2, true)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 400 * time.Millisecond} }
		stop := make(chan struct{})
		d.wg.Go(func() {
			for i := 0; ; i++ {
				d.submit("edge-0-0", testJob(fmt.Sprintf("%016x", i), 2, 4*time.Second))
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
		workers := []string{"worker-0-0", "worker-0-1"}
		time.Sleep(time.Second)
		for i, cpu := range []int{taskCPU, 64_000, taskCPU + taskCPU/2, taskCPU - 1, 64_000} {
			d.setCapacity(cpu, workers...)
			time.Sleep(300 * time.Millisecond)
			vm := []string{"edge-0-1", "edge-0-2"}[i%2]
			d.killDaemon(vm)
			time.Sleep(2 * time.Second)
			d.startDaemon(zoneName(0), vm)
			time.Sleep(2 * time.Second)
		}
		close(stop)
		time.Sleep(5 * time.Second)
		for _, id := range workers {
			require.Zero(t, d.hosts[id].Overfilled(), id)
		}
		require.Greater(t, len(d.observer.started), 50)
	})
}

// Guards against starts over a capacity that has shrunk, in a failure domain of which only some members read the list of
// workers, when one of these cannot reach the store.
func TestReaderWithoutStoreDoesNotHideShrunkWorkers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const workers = 12
		d := newDeploymentOf(t, 1, directReadLimit+4, workers, true)
		defer d.close()
		d.plan = func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 400 * time.Millisecond} }
		time.Sleep(2 * feedTimeout)
		var reading, names []string
		for vm, daemon := range d.daemons {
			if daemon.feed.Reads() {
				reading = append(reading, vm)
			}
		}
		require.Len(t, reading, readers)
		d.store.update(func() { d.store.unavailable[slices.Min(reading)] = true })
		for w := range workers {
			names = append(names, fmt.Sprintf("worker-0-%d", w))
		}
		d.setCapacity(taskCPU, names...)
		time.Sleep(time.Second)
		for i := range 10 {
			d.submit(fmt.Sprintf("edge-0-%d", i), testJob(fmt.Sprintf("%016x", i), 4, 10*time.Second))
		}
		time.Sleep(5 * time.Second)
		over := 0
		for _, id := range names {
			if d.hosts[id].Overfilled() > 0 && d.ownerOf(id) != slices.Min(reading) {
				over++
			}
		}
		require.Zero(t, over, "workers filled over their capacity by members that can reach the store")
		require.Len(t, d.observer.started, 40)
	})
}

// ownerOf returns the VM that owns a worker.
func (d *deployment) ownerOf(worker string) string {
	for vm, daemon := range d.daemons {
		if slices.Contains(daemon.pool(testBackend).Owned(), worker) {
			return vm
		}
	}
	return ""
}
