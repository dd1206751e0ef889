package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// setLabels gives the workers their kinds, and lists them.
func (f *fixture) setLabels(kinds ...string) {
	for i, kind := range kinds {
		f.list[i].Labels = []string{kind}
	}
	f.pool.SetHosts(f.list)
}

// restartFirst restarts the first worker. Its new entry is read by the next call of listRestarted.
func (f *fixture) restartFirst() {
	h := f.calls.hosts["w0"]
	h.Crash()
	time.Sleep(time.Millisecond)
	h.Restart()
}

// listRestarted lists the present incarnation of the first worker.
func (f *fixture) listRestarted(labels ...string) {
	f.list[0].StartTime = f.calls.hosts["w0"].StartTime()
	f.list[0].Labels = labels
	f.pool.SetHosts(f.list)
}

// orderLabelled orders a task that requires the label b.
func (f *fixture) orderLabelled(job string) contract.RunKey {
	return f.orderWith(job, func(o *contract.TaskOrder) { o.RequiredLabel = "b" })
}

// orderWith orders a task of half a worker, changed by a function.
func (f *fixture) orderWith(job string, change func(o *contract.TaskOrder)) contract.RunKey {
	f.setSize(job, 1000)
	f.setDefaultRunTime(job, 100*time.Millisecond)
	now := time.Now()
	o := contract.TaskOrder{
		Key: contract.RunKey{Batch: job, Run: 1}, Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: now,
		Target: now.Add(time.Second), Deadline: now.Add(30 * time.Second), Expected: 100 * time.Millisecond,
	}
	change(&o)
	f.pool.Order(testHome, o, now)
	return o.Key
}

// Guards against a start by the label of an earlier incarnation: a worker comes back as another kind, and its owner has
// noticed the restart but not read the new entry.
func TestLabelOfEarlierIncarnationStartsNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.setLabels("b", "a")
		f.restartFirst()
		time.Sleep(2 * time.Second)
		key := f.orderLabelled("labelled")
		require.Equal(t, contract.RunInfeasible, f.state(key), "the home asks other owners meanwhile")
		time.Sleep(300 * time.Millisecond)
		f.listRestarted("a")
		f.orderLabelled("after the entry")
		time.Sleep(300 * time.Millisecond)
		require.Empty(t, f.observer.startedJobs())

		f.restartFirst()
		time.Sleep(2 * time.Second)
		f.listRestarted("b")
		key = f.orderLabelled("kind is back")
		f.keepAlive(300*time.Millisecond, key)
		require.Equal(t, []string{"kind is back"}, f.observer.startedJobs())
	})
}

// Guards against a queued task that starts by the label of an earlier incarnation once its worker has been acquired again,
// and against one that waits for that worker while other owners have workers with the label.
func TestQueuedTaskLeavesRestartedWorkerOfUnknownKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setLabels("b")
		f.setRunTime("first", 5*time.Second)
		f.setRunTime("second", 5*time.Second)
		keys := []contract.RunKey{f.orderLabelled("first"), f.orderLabelled("second")}
		queued := f.orderLabelled("queued")
		f.keepAlive(100*time.Millisecond, append(keys, queued)...)
		require.Len(t, f.observer.startedJobs(), 2)
		f.restartFirst()
		f.keepAlive(2*time.Second, queued)
		require.Len(t, f.observer.startedJobs(), 2)
		require.Equal(t, contract.RunInfeasible, f.state(queued))
	})
}

// Guards against a VM that takes over a restarted worker, has read only the older entry, and starts tasks by its label.
func TestTakeoverWithOlderEntryStartsNoLabelledTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.pool.SetHosts(nil)
		f.restartFirst()
		time.Sleep(time.Second)
		f.setLabels("b")
		time.Sleep(time.Second)
		key := f.orderLabelled("labelled")
		f.keepAlive(time.Second, key)
		require.Empty(t, f.observer.startedJobs())
		plain := f.orderWith("plain", func(*contract.TaskOrder) {})
		f.keepAlive(100*time.Millisecond, plain)
		require.Equal(t, []string{"plain"}, f.observer.startedJobs())
	})
}

// Guards against a worker that is kept free for a task which it must not run: the entry with the label of the task is that
// of an earlier incarnation, and the tasks behind it wait in vain.
func TestWorkerOfUnknownKindIsNotReservedForLabelledTask(t *testing.T) {
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(2)
			defer f.pool.Close()
			f.setLabels("b", "b")
			// One worker keeps its kind and is full, so the labelled task waits for it.
			f.setRunTime("full-0", 20*time.Second)
			f.setRunTime("full-1", 20*time.Second)
			f.restartFirst()
			time.Sleep(2 * time.Second)
			full := []contract.RunKey{f.orderLabelled("full-0"), f.orderLabelled("full-1")}
			f.keepAlive(100*time.Millisecond, full...)
			require.Len(t, f.observer.startedJobs(), 2)
			keys := append(full, f.orderWith("labelled", func(o *contract.TaskOrder) {
				o.RequiredLabel, o.Alone = "b", alone
			}))
			f.keepAlive(2*reserveDelay, keys...)
			for i := range 4 {
				keys = append(keys, f.orderWith(fmt.Sprintf("plain-%d", i), func(o *contract.TaskOrder) { o.Priority = 1 }))
			}
			f.keepAlive(time.Second, keys...)
			require.Len(t, f.observer.startedJobs(), 6, "alone: %v", alone)
			require.NotContains(t, f.observer.startedJobs(), "labelled")
		})
	}
}

// Guards against a task that waits for a rack in which only an earlier incarnation of a worker was, while another worker is
// idle.
func TestTaskDoesNotWaitForRackOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.setLabels("r1", "r2")
		f.setRunTime("full-0", 20*time.Second)
		f.setRunTime("full-1", 20*time.Second)
		f.restartFirst()
		time.Sleep(2 * time.Second)
		f.pool.mu.Lock()
		f.pool.hosts["w1"].host.MarkFullUntil(time.Now().Add(100 * time.Millisecond))
		f.pool.mu.Unlock()
		plain := func(*contract.TaskOrder) {}
		keys := []contract.RunKey{f.orderWith("full-0", plain), f.orderWith("full-1", plain)}
		f.keepAlive(200*time.Millisecond, keys...)
		require.Equal(t, map[string]string{"full-0": "w0", "full-1": "w0"}, f.observer.workerOfJob())
		keys = append(keys, f.orderWith("near its data", func(o *contract.TaskOrder) {
			o.PreferredRack, o.Expected = "r1", time.Second
		}))
		f.keepAlive(100*time.Millisecond, keys...)
		require.Equal(t, "w1", f.observer.workerOfJob()["near its data"])
	})
}

// Guards against a restarted worker that gets no tasks because an earlier incarnation was draining, for as long as its own
// entry cannot be read.
func TestDrainOfEarlierIncarnationKeepsNoTaskAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		require.Equal(t, contract.RunInfeasible, f.state(f.order("draining", 1000, 0, time.Second, 5*time.Second)))
		f.restartFirst()
		time.Sleep(2 * time.Second)
		f.order("restarted", 1000, 0, time.Second, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, []string{"restarted"}, f.observer.startedJobs())
		f.listRestarted()
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		require.Equal(t, contract.RunInfeasible, f.state(f.order("drains too", 1000, 0, time.Second, 5*time.Second)))
	})
}

// Guards against a drain that is missed because the entry of the next incarnation is read before that has replied.
func TestDrainOfNextIncarnationHoldsBeforeItsFirstReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.list[0].StartTime += 1000
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		require.Equal(t, contract.RunInfeasible, f.state(f.order("draining", 1000, 0, time.Second, 5*time.Second)))
	})
}

// Guards against a worker that is judged by the speed of an earlier incarnation of another kind, and against run times that
// are learned for the kind of an earlier incarnation.
func TestSpeedFollowsKindOfIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setLabels("fast")
		speedOf := func(kind string) (host, typical float64) {
			f.pool.mu.Lock()
			defer f.pool.mu.Unlock()
			return f.pool.hosts["w0"].host.Speed(), f.pool.speeds[kind]
		}
		for i := range 20 {
			f.setRunTime(fmt.Sprintf("quick-%d", i), 40*time.Millisecond)
			f.order(fmt.Sprintf("quick-%d", i), 1000, 0, time.Second, 5*time.Second)
		}
		time.Sleep(2 * time.Second)
		host, typical := speedOf("fast")
		require.Greater(t, host, 1.5)
		require.Greater(t, typical, 1.1)
		f.pool.mu.Lock()
		f.pool.speeds["slow"] = 0.5
		f.pool.mu.Unlock()

		f.restartFirst()
		time.Sleep(2 * time.Second)
		host, _ = speedOf("fast")
		require.Equal(t, 1.0, host, "of unknown kind")
		f.setRunTime("unknown", 400*time.Millisecond)
		f.order("unknown", 1000, 0, 5*time.Second, 5*time.Second)
		f.keepAlive(600*time.Millisecond, contract.RunKey{Batch: "unknown", Run: 1})
		_, after := speedOf("fast")
		require.Equal(t, typical, after)
		f.listRestarted("slow")
		host, _ = speedOf("slow")
		require.Equal(t, 0.5, host)
	})
}

// Guards against a labelled task that starts on a worker which has restarted as another kind since its last reply, without
// breaking a connection.
func TestLabelledTaskDoesNotStartOnUnnoticedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.calls.delayPolls.Store(true)
		f.setLabels("b")
		time.Sleep(2 * time.Second)
		f.orderLabelled("before")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{"before"}, f.observer.startedJobs())
		for delay := time.Millisecond; delay < idlePollInterval; delay += 20 * time.Millisecond {
			f.restartFirst()
			time.Sleep(delay)
			key := f.orderLabelled(fmt.Sprintf("after %v", delay))
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, contract.RunInfeasible, f.state(key), "after %v", delay)
			time.Sleep(2 * time.Second)
			f.listRestarted("b")
			time.Sleep(idlePollInterval)
		}
		require.Equal(t, []string{"before"}, f.observer.startedJobs())
	})
}

// Guards against a labelled task that is lost, or that starts, when the worker does not answer the poll before its start.
func TestLabelledTaskWaitsForWorkerThatDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.setLabels("b", "a")
		time.Sleep(300 * time.Millisecond)
		f.calls.hosts["w0"].Crash()
		key := f.orderLabelled("labelled")
		f.keepAlive(time.Second, key)
		require.Empty(t, f.observer.startedJobs())
		f.calls.hosts["w0"].Restart()
		f.keepAlive(time.Second, key)
		f.listRestarted("b")
		key = f.orderLabelled("second")
		f.keepAlive(5*time.Second, key)
		require.Equal(t, []string{"second"}, f.observer.startedJobs())
	})
}
