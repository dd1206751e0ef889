package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/standin"
)

// recordLate records a start of "task" without a reply, as another member has announced it.
func (f *fixture) recordLate(worker string) {
	f.pool.o.LateStarts.Record(contract.LateStart{
		Task: contract.RunKey{Batch: "task"}, Worker: worker, Until: time.Now().Add(contract.LateStartRetention),
	})
}

// Guards against a second run of a task: another member has announced a start without a reply at a worker of this pool, and
// the next run starts on another one, also if that worker drains or is full.
func TestTaskStartsOnlyOnTheWorkerOfAnAnnouncedLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(5)
		defer f.pool.Close()
		f.recordLate("w3")
		f.list[3].Draining = true
		f.pool.SetHosts(f.list)
		key := f.orderRun(2)
		f.refreshFor(5*time.Second, key)
		require.Equal(t, contract.RunQueued, f.state(key))
		require.Empty(t, f.observer.startedJobs())
		f.list[3].Draining = false
		f.list[3].StartTime++
		f.pool.SetHosts(f.list)
		f.refreshFor(time.Second, key)
		require.Equal(t, "w3", f.observer.workerOfJob()["task"])
	})
}

// Guards against a second run of a task: its order names the only worker that may run it, and it starts on another one.
func TestOrderForOneWorkerStartsThere(t *testing.T) {
	for _, worker := range []string{"w0", "w1", "w2", "w3"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(4)
			defer f.pool.Close()
			f.orderWith("task", func(o *contract.TaskOrder) { o.OnlyWorker = worker })
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, worker, f.observer.workerOfJob()["task"])
		})
	}
}

// Guards against a second run of a task, and against one that waits where it can never start: a worker of another owner, or
// more than one worker, may still execute an earlier start. The home gets the run back as not started.
func TestTaskIsReturnedIfItCannotStartHere(t *testing.T) {
	for name, c := range map[string]struct {
		late  []string
		only  string
		state contract.RunState
	}{
		"late start at the worker of another owner":             {[]string{"other"}, "", contract.RunEnded},
		"late starts at two workers":                            {[]string{"w0", "w1"}, "", contract.RunEnded},
		"late start at another worker than that of the order":   {[]string{"w0"}, "w1", contract.RunEnded},
		"ordered for a worker of another owner":                 {nil, "other", contract.RunInfeasible},
		"ordered for a late start at a worker of another owner": {[]string{"other"}, "other", contract.RunInfeasible},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(3)
				defer f.pool.Close()
				for _, worker := range c.late {
					f.recordLate(worker)
				}
				key := f.orderWith("task", func(o *contract.TaskOrder) { o.OnlyWorker = c.only })
				time.Sleep(returnDelay + sweepInterval)
				report := f.report(key)
				require.Equal(t, c.state, report.State)
				require.False(t, report.MayHaveStarted)
				require.Equal(t, c.late, report.LateWorkers)
				time.Sleep(time.Second)
				require.Empty(t, f.observer.startedJobs())
			})
		})
	}
}

// Guards against a home and a pool of one VM that pass a task to each other without a pause, until the stack of the process
// overflows: the home does not know why the task cannot start here.
func TestTaskIsNotReturnedWhileItIsOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.recordLate("other")
		f.pool.o.Report = func(_ string, r contract.RunReport) {
			if r.State == contract.RunEnded && r.Key.Run < 10_000 {
				f.orderRun(r.Key.Run + 1)
			}
		}
		f.orderRun(1)
		time.Sleep(time.Second)
		returned := f.pool.counter(metric.PoolReturnedLate).Count()
		require.Positive(t, returned)
		require.LessOrEqual(t, returned, int64(time.Second/returnDelay))
		require.Empty(t, f.observer.startedJobs())
	})
}

// Guards against a queued task that waits for a worker after the announcement of a late start elsewhere, or after its worker
// has been assigned to another owner.
func TestQueuedTaskIsReturnedOnceItCannotStartHere(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"announcement": func(f *fixture) { f.recordLate("other") },
		"reassignment": func(f *fixture) {
			f.recordLate("w0")
			f.pool.SetHosts(f.list[1:])
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(2)
				defer f.pool.Close()
				f.setRunTime("blocks", time.Hour)
				blocking := f.order("blocks", 2000, 0, time.Second, time.Hour)
				also := f.orderWith("blocks", func(o *contract.TaskOrder) { o.Key.Index, o.Need.CPUMillis = 1, 2000 })
				key := f.orderRun(2)
				f.refreshFor(time.Second, key, blocking, also)
				require.Equal(t, contract.RunQueued, f.state(key))
				change(f)
				f.refreshFor(2*sweepInterval, key, blocking, also)
				require.Equal(t, contract.RunEnded, f.state(key))
				require.False(t, f.report(key).MayHaveStarted)
			})
		})
	}
}

// Guards against an order for one worker that waits there for good, although its home knows of no late start any more.
func TestOrderForOneWorkerIsReturnedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.list[0].Draining = true
		f.pool.SetHosts(f.list)
		key := f.orderWith("task", func(o *contract.TaskOrder) { o.OnlyWorker = "w0" })
		f.refreshFor(contract.LateStartRetention, key)
		require.Equal(t, contract.RunQueued, f.state(key))
		f.refreshFor(3*sweepInterval, key)
		require.Equal(t, contract.RunEnded, f.state(key))
	})
}

// Guards against tasks that wait for one worker which takes none, and that keep other workers free, or hide that they are.
func TestTaskThatWaitsForOneWorkerReservesNoOther(t *testing.T) {
	withUnansweredStart(t, 2, func(f *fixture, _ string, host *standin.RunHost) {
		host.Crash()
		f.refreshFor(time.Second)
		key := f.orderRun(2)
		f.refreshFor(2*reserveDelay, key)
		require.Equal(t, f.pool.FreeCapacity().Slots, f.pool.FreeCapacity().Free)
		small := f.order("small", 500, 1, 10*time.Second, 20*time.Second)
		f.refreshFor(300*time.Millisecond, key, small)
		require.Equal(t, []string{"small"}, f.observer.startedJobs())
	})
}

// Guards against a late start that other members do not hear of, and one that they keep although its worker is gone.
func TestLateStartsAreAnnounced(t *testing.T) {
	withUnansweredStart(t, 1, func(f *fixture, worker string, _ *standin.RunHost) {
		f.mu.Lock()
		require.Len(t, f.lateStarts, 1)
		s := f.lateStarts[0]
		f.mu.Unlock()
		require.Equal(t, contract.RunKey{Batch: "task"}, s.Task)
		require.Equal(t, worker, s.Worker)
		require.InDelta(t, contract.LateStartRetention, time.Until(s.Until), float64(time.Second))
		f.pool.mu.Lock()
		h, token := f.pool.hosts[worker], f.pool.hosts[worker].host.Token
		f.pool.mu.Unlock()
		f.pool.handlePollReply(h, token, time.Now(), link.PollReply{HostReply: link.HostReply{OtherWorker: true}}, nil)
		f.mu.Lock()
		require.Equal(t, []string{worker}, f.replaced)
		f.mu.Unlock()
		require.Empty(t, f.pool.o.LateStarts.All())
		f.refreshFor(2*time.Second, f.orderRun(2))
	})
}

// Guards against a record that ends when the worker lists the run, although an earlier start of the task may still be executed
// there, and against one that is kept although its only start has been executed.
func TestListEndsTheRecordOfTheOnlyStart(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.setRunTime("task", 5*time.Second)
			if earlier {
				f.recordLate("w0")
			}
			f.calls.hosts["w0"].SetLosingReplies(true)
			key := f.orderRun(2)
			f.refreshFor(500*time.Millisecond, key)
			require.Equal(t, contract.RunStarted, f.state(key))
			require.Len(t, f.lateStarts, 1)
			require.Equal(t, earlier, f.pool.o.LateStarts.Has(key))
			if earlier {
				require.Equal(t, []string{"w0"}, f.report(key).LateWorkers)
			}
		})
	}
}

// Guards against a home that does not learn where an earlier start may still be executed: the report of a barred run.
func TestReportOfABarredRunNamesLateWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.recordLate("w1")
		key := contract.RunKey{Batch: "task", Run: 7}
		f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
		require.Equal(t, contract.RunUnknown, f.state(key))
		require.Equal(t, []string{"w1"}, f.report(key).LateWorkers)
	})
}
