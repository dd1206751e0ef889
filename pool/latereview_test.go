package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// replaceIncarnation puts another incarnation of a worker at its address, while the poll of the earlier one stays open.
func (f *fixture) replaceIncarnation(worker string) *standin.RunHost {
	host := standin.NewRunHost(standin.RunHostOptions{
		ID: worker, Capacity: machine.Resources{CPUMillis: 2000, MemoryMB: 1000}, MaxLease: time.Second, Observer: f.observer,
		Plan: func(k contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: f.runTime(k.Batch)} },
		Need: func(k contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: f.size(k.Batch)} },
	})
	synctest.Wait()
	f.calls.hosts[worker] = host
	return host
}

// Guards against two runs of a task: a home orders the next run for the worker of a late start, of which the owner has not been
// told by its earlier owner, and the owner starts it without polling the worker. The worker has restarted, no connection has
// broken, and the earlier start has been executed.
func TestOrderForOneWorkerIsConfirmedWithoutARecord(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			time.Sleep(time.Second)
			f.setRunTime("task", 5*time.Second)
			f.setSize("task", 1000)
			if recorded {
				f.recordLate("w0")
			}
			time.Sleep(600 * time.Millisecond)
			host := f.replaceIncarnation("w0")
			_, _, err := host.Start(context.Background(), link.HostStart{
				Key: contract.RunKey{Batch: "task", Run: 1}, LeaseEnd: time.Minute, Token: 1,
			})
			require.NoError(t, err)
			key := f.orderWith("task", func(o *contract.TaskOrder) { o.Key.Run, o.OnlyWorker = 2, "w0" })
			f.refreshFor(2*time.Second, key)
			require.Emptyf(t, f.observer.overlaps, "the owner has a record: %v", recorded)
			require.Positive(t, f.pool.counter(metric.PoolStartsConfirmed).Count())
		})
	}
}

// Guards against a home that takes a start for late which a worker has rejected after more than startReportDelay: it neither
// moves the task to an owner with room nor orders the next run elsewhere for 16.3 s.
func TestSlowRejectionOfAStartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(time.Second)
		f.calls.writeDelay = 2 * startReportDelay
		key := f.order("task", 1000, 0, time.Second, 20*time.Second)
		f.setSize("task", 5000)
		for range 100 {
			time.Sleep(time.Millisecond)
			if f.pool.counter(metric.PoolStartsRejected).Count() > 0 {
				break
			}
		}
		require.EqualValues(t, 1, f.pool.counter(metric.PoolStartsRejected).Count())
		require.Empty(t, f.pool.o.LateStarts.Workers(key))
		require.Empty(t, f.report(key).LateWorkers, "the home still takes the start for late")
	})
}

// Guards against a worker that is kept free for a task which can never start there: the task is bound to the worker, whose
// incarnation has less capacity than the task needs.
func TestWorkerIsNotReservedForABoundTaskThatItCannotHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.recordLate("w0")
		f.setCapacity(0, 800)
		bound := f.orderWith("task", func(o *contract.TaskOrder) {
			o.Key.Run, o.OnlyWorker, o.Target, o.Deadline = 2, "w0", o.Accepted.Add(20*time.Second), o.Accepted.Add(30*time.Second)
		})
		f.refreshFor(2*reserveDelay, bound)
		small := f.order("small", 500, 1, 20*time.Second, 30*time.Second)
		f.refreshFor(5*time.Second, bound, small)
		require.Contains(t, f.observer.startedJobs(), "small")
	})
}

// Guards against the stop of a run that is wanted: an earlier home of its job has used a higher number, as each run that did not
// start advances its numbers by ten seconds, and the next owner of the worker has barred a run of that home.
func TestRunOfLaterHomeWithLowerNumberIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.pool.SetHosts(nil)
		keys := f.startElsewhere(t, 1000, "task")
		earlierHome := keys[0]
		earlierHome.Run = 2
		f.pool.Withdraw("earlier/1", []contract.RunKey{earlierHome})
		f.pool.SetHosts(f.list)
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			f.pool.mu.Lock()
			r, found := f.pool.runs[keys[0]]
			token, stopped := uint64(0), false
			if found {
				token, stopped = r.token, r.cancelled
			}
			f.pool.mu.Unlock()
			require.False(t, stopped, "the current run is being stopped")
			if found {
				now := time.Now()
				f.pool.Order(testHome, contract.TaskOrder{
					Key: keys[0], Backend: "s", Need: machine.Resources{CPUMillis: 1000}, Accepted: now, Spec: []byte("spec"),
					Target: now.Add(time.Second), Deadline: now.Add(20 * time.Second), Expected: time.Second, Claim: true, ClaimToken: token,
				}, now)
			}
		}
		require.Equal(t, contract.RunStarted, f.state(keys[0]))
	})
}

// Guards against two runs of a task: the starts of a run that was withdrawn and of the next one have both got no reply from their
// worker, and its next incarnation executes both before it is acquired.
func TestTwoLateStartsAtOneWorkerGetNoTwoRuns(t *testing.T) {
	withUnansweredStart(t, 3, func(f *fixture, _ string, host *standin.RunHost) {
		f.setRunTime("task", 5*time.Second)
		host.SetHoldingStarts(1)
		key := f.orderRun(2)
		time.Sleep(20 * time.Millisecond)
		host.SetHoldingStarts(0)
		require.Len(t, host.Held(), 2)
		host.Crash()
		time.Sleep(100 * time.Millisecond)
		host.Restart()
		host.DeliverHeld()
		f.refreshFor(2*time.Second, key)
		require.Empty(t, f.observer.overlaps)
	})
}
