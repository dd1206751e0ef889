package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// setKind changes the labels of a worker, and lists its present incarnation.
func (d *deployment) setKind(worker, kind string) {
	d.store.update(func() {
		for i := range d.store.workers {
			if l := &d.store.workers[i]; l.Worker == worker {
				l.Labels, l.StartTime = []string{kind}, d.hosts[worker].StartTime()
			}
		}
	})
}

// changedWorker is the worker that restarts as another kind in the tests of this file.
const changedWorker = "worker-0-0"

// restartChanged restarts changedWorker at once. Its new entry is not listed yet.
func (d *deployment) restartChanged() {
	d.hosts[changedWorker].Crash()
	time.Sleep(3 * time.Millisecond)
	d.hosts[changedWorker].Restart()
}

// labelledJob returns a job of one task that requires a label, with a time limit of 3 s.
func labelledJob(id, label string) contract.Batch {
	b := testJob(id, 1, 3*time.Second)
	b.Steps[0].RequiredLabel = label
	return b
}

// setStoreUnavailable makes the store reject a VM, or serve it again.
func (d *deployment) setStoreUnavailable(vm string, unavailable bool) {
	d.store.update(func() { d.store.unavailable[vm], d.store.unavailableSince[vm] = unavailable, time.Now() })
}

// Guards against labelled tasks that start on a worker which has come back as another kind while the store is down, whoever
// owns it: the owner that saw the restart, or one that takes it over with the older entry. Other tasks must start there.
func TestNoTaskStartsByLabelOfEarlierIncarnation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 3)
		defer d.close()
		var workers []string
		for id := range d.hosts {
			d.setKind(id, "b")
			workers = append(workers, id)
		}
		time.Sleep(time.Second)
		for vm := range d.daemons {
			d.setStoreUnavailable(vm, true)
		}
		d.restartChanged()
		stop := make(chan struct{})
		d.wg.Go(func() {
			for i := 0; ; i++ {
				d.submit(fmt.Sprintf("edge-1-%d", i%2), labelledJob(fmt.Sprintf("%016x", i), "b"))
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
		startsOn := func() (n int) {
			d.observer.mu.Lock()
			defer d.observer.mu.Unlock()
			for _, worker := range d.observer.started {
				if worker == changedWorker {
					n++
				}
			}
			return n
		}
		time.Sleep(2 * time.Second)
		require.Zero(t, startsOn(), "under the owner that saw the restart")
		d.killDaemon(d.ownerOf(changedWorker))
		time.Sleep(3 * time.Second)
		require.NotEmpty(t, d.ownerOf(changedWorker))
		require.Zero(t, startsOn(), "under the next owner")
		close(stop)
		time.Sleep(4 * time.Second)
		vm := d.ownerOf(changedWorker)
		answers := make([]<-chan batch.Answer, 2*len(workers))
		for i := range answers {
			answers[i] = d.submit(vm, testJob(fmt.Sprintf("%016x", 1<<32+i), 1, 3*time.Second))
		}
		for _, answer := range answers {
			require.Equal(t, batch.Completed, (<-answer).Outcome)
		}
		require.NotZero(t, startsOn(), "tasks without a label")
	})
}

// Guards against a restarted worker that is lost to labelled tasks, and if it does not guard its capacity to all, for as long
// as the store rejects its owner, although other members have read its entry.
func TestEntryOfRestartedWorkerIsLearnedFromOtherMembers(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			d := newDeploymentOf(t, 2, 2, 1, unguarded)
			defer d.close()
			d.setKind(changedWorker, "a")
			d.setKind("worker-1-0", "a")
			time.Sleep(time.Second)
			owner := d.ownerOf(changedWorker)
			before := d.daemons[owner].workers.in([]string{zoneName(0), zoneName(1)})
			d.setStoreUnavailable(owner, true)
			d.restartChanged()
			d.setKind(changedWorker, "b")
			time.Sleep(3 * time.Second)
			job := labelledJob("00000000000000aa", "b")
			require.Equal(t, batch.Completed, (<-d.submit("edge-1-0", job)).Outcome)
			require.Equal(t, owner, d.ownerOf(changedWorker))

			// The list that this owner has still shows the previous incarnation.
			d.daemons[owner].setListings(before)
			_, ok := d.daemons[owner].workers.entry(changedWorker, d.hosts[changedWorker].StartTime())
			require.True(t, ok)
			job = labelledJob("00000000000000bb", "a")
			require.Equal(t, batch.Completed, (<-d.submit("edge-1-0", job)).Outcome)
			require.Equal(t, []string{changedWorker, "worker-1-0"}, d.observer.started)

			// The entry that is learned is that of the incarnation that replies, also when it changes again.
			d.restartChanged()
			d.setKind(changedWorker, "c")
			time.Sleep(3 * time.Second)
			job = labelledJob("00000000000000cc", "c")
			require.Equal(t, batch.Completed, (<-d.submit("edge-1-0", job)).Outcome)
			d.setStoreUnavailable(owner, false)
			d.setKind(changedWorker, "d")
			time.Sleep(time.Second)
			job = labelledJob("00000000000000dd", "d")
			require.Equal(t, batch.Completed, (<-d.submit("edge-1-0", job)).Outcome, "the store is read again")
		})
	}
}

// Guards against an entry that another member sends unasked, or too late, and that replaces a newer one.
func TestEntryThatIsNotMissingIsIgnored(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, 1)
		defer d.close()
		daemon := d.daemons["edge-0-0"]
		old, ok := daemon.workers.entry(changedWorker, d.hosts[changedWorker].StartTime())
		require.True(t, ok)
		d.restartChanged()
		d.setKind(changedWorker, "b")
		time.Sleep(time.Second)
		daemon.handleEntry("edge-0-1/1", encodeEntry(old))
		now, ok := daemon.workers.entry(changedWorker, d.hosts[changedWorker].StartTime())
		require.True(t, ok)
		require.Equal(t, []string{"b"}, now.Labels)
		unknown := machine.Listing{Worker: "worker-0-9", Backend: testBackend, Address: "worker-0-9", StartTime: 1}
		daemon.handleEntry("edge-0-1/1", encodeEntry(unknown))
		_, ok = daemon.workers.entry("worker-0-9", 1)
		require.False(t, ok)
	})
}

// Guards against the answer that a job has failed because no worker can hold its tasks, given by a home whose list of workers
// is old: the store rejects it, and a worker has restarted as the kind that the job needs.
func TestOldListProvesNoMissingLabel(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 2, 2, 1)
		defer d.close()
		for id := range d.hosts {
			d.setKind(id, "a")
		}
		time.Sleep(time.Second)
		const home = "edge-1-0"
		submit := func(id, label string, cpu int) batch.Answer {
			job := labelledJob(id, label)
			job.Steps[0].Need.CPUMillis = cpu
			return <-d.submit(home, job)
		}
		require.Equal(t, batch.Failed, submit("00000000000000aa", "b", taskCPU).Outcome, "the list is new")
		d.setStoreUnavailable(home, true)
		time.Sleep(time.Second)
		d.restartChanged()
		d.setKind(changedWorker, "b")
		time.Sleep(maxListAge)
		require.Equal(t, batch.Completed, submit("00000000000000bb", "b", taskCPU).Outcome)
		require.Equal(t, batch.Failed, submit("00000000000000cc", "b", 64_001).Outcome, "larger than any worker has been")
		require.Equal(t, batch.Refused, submit("00000000000000dd", "c", taskCPU).Outcome, "has not run and may be sent again")
	})
}

// Guards against a list that looks old for good once the machine has been suspended: the daemon's clock then runs ahead of
// the one by which the reading of the list is dated.
func TestListIsNotOldAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		ahead := func() time.Time { return time.Now().Add(time.Hour) }
		d := newDeploymentWith(deploymentOptions{clock: ahead}, t, 1, 1, 1)
		defer d.close()
		d.setKind(changedWorker, "a")
		time.Sleep(time.Second)
		fits, known := d.daemons["edge-0-0"].fits(testBackend, machine.Resources{CPUMillis: taskCPU}, "b")
		require.False(t, fits)
		require.True(t, known)
	})
}
