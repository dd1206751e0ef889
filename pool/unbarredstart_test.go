package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/standin"
)

// isDoubtful selects the runs of the job "task".
func isDoubtful(k contract.RunKey) bool { return k.Batch == "task" }

// makeOrdersLate makes all workers leave the starts and stops of some runs without an answer. They execute the starts after a
// delay, the stops never.
func (f *fixture) makeOrdersLate(startDelay time.Duration, of func(contract.RunKey) bool) {
	for _, h := range f.calls.hosts {
		h.SetLateOrders(standin.LateOrders{StartDelay: startDelay, StopDelay: time.Hour, Of: of})
	}
}

func (f *fixture) endLateOrders() {
	for _, h := range f.calls.hosts {
		h.EndLateOrders()
	}
}

// begunLate returns the number of late starts that have begun a run.
func (f *fixture) begunLate() int {
	n := 0
	for _, h := range f.calls.hosts {
		_, begun := h.LateOrderCounts()
		n += begun
	}
	return n
}

// withdrawInDoubt orders a run whose start gets no answer, nor do its copies, and withdraws it after some time. Others are refreshed
// meanwhile.
func (f *fixture) withdrawInDoubt(after time.Duration, label string, others ...contract.RunKey) contract.RunKey {
	key := f.orderWith("task", func(o *contract.TaskOrder) { o.RequiredLabel = label })
	f.refreshFor(after, append(others, key)...)
	f.pool.Withdraw(testHome, []contract.RunKey{key})
	return key
}

// Guards against a second run of a task at the same time: neither the start of a withdrawn run nor its stop has had an answer, the lease
// after the start has passed, and the worker executes the start beside the next run. The orders are late for 0 to 1.4 s after the withdrawal.
func TestNextRunStartsOnceTheUnansweredStartIsBarred(t *testing.T) {
	const startDelay = 3200 * time.Millisecond
	for _, label := range []string{"", "b"} {
		for late := time.Duration(0); late < 1400*time.Millisecond; late += 20 * time.Millisecond {
			t.Run(fmt.Sprintf("label %q, late for %v", label, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(2)
					defer f.pool.Close()
					f.setLabels("a", "b")
					f.setRunTime("task", time.Second)
					f.makeOrdersLate(startDelay, nil)
					first := f.withdrawInDoubt(1500*time.Millisecond, label)
					withdrawn := time.Now()
					time.AfterFunc(late, f.endLateOrders)
					for !f.state(first).Final() {
						time.Sleep(time.Millisecond)
					}
					require.LessOrEqual(t, time.Since(withdrawn), 1400*time.Millisecond, "the home waits no longer than for a lease")
					next := f.orderWith("task", func(o *contract.TaskOrder) { o.Key.Run, o.RequiredLabel = 2, label })
					f.refreshFor(2500*time.Millisecond, next)
					require.Empty(t, f.observer.overlaps)
					require.Equal(t, contract.RunDone, f.state(next))
					time.Sleep(startDelay)
					require.Empty(t, f.observer.overlaps)
					require.Empty(t, f.pool.ReservedCPU(), "room kept for starts that are rejected")
				})
			})
		}
	}
}

// Guards against a second run of a task beside a late start that is executed while the stop of its run is under way: the worker
// answers the stop and lists the run, which takes a moment to end.
func TestNextRunWaitsForALateStartThatIsBeingStopped(t *testing.T) {
	for after := time.Duration(0); after < 100*time.Millisecond; after += 2 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.calls.delayPolls.Store(true)
			f.setRunTime("task", time.Second)
			f.makeOrdersLate(600*time.Millisecond+after, nil)
			first := f.withdrawInDoubt(200*time.Millisecond, "")
			time.AfterFunc(350*time.Millisecond, f.endLateOrders)
			for !f.state(first).Final() {
				time.Sleep(time.Millisecond)
			}
			f.refreshFor(3*time.Second, f.orderRun(2))
			require.Empty(t, f.observer.overlaps, "late by another %v", after)
		})
	}
}

// Guards against a next run that keeps its worker free of other tasks while it waits for the stop of the earlier run.
func TestTaskThatWaitsForAStopReservesNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.makeOrdersLate(time.Hour, isDoubtful)
		f.withdrawInDoubt(300*time.Millisecond, "")
		f.refreshFor(500 * time.Millisecond)
		next := f.orderRun(2)
		f.refreshFor(time.Second, next)
		for i := range 10 {
			other := f.order(fmt.Sprintf("other-%d", i), 500, 2, 20*time.Second, 25*time.Second)
			f.refreshFor(300*time.Millisecond, next, other)
			require.Equal(t, contract.RunDone, f.state(other), "task %d", i)
		}
		f.endLateOrders()
		f.refreshFor(time.Second, next)
		require.Equal(t, contract.RunDone, f.state(next))
	})
}

// Guards against a next run on another worker beside a late start: the worker of the start lists its run after the run was reported as over,
// and the record of the start is dropped.
func TestLateStartOfARunThatIsOverKeepsItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2)
		defer f.pool.Close()
		f.setRunTime("task", 10*time.Second)
		f.makeOrdersLate(2*time.Second, nil)
		first := f.withdrawInDoubt(20*time.Millisecond, "")
		f.refreshFor(1900 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(first))
		for f.begunLate() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []string{f.observer.workerOfJob()["task"]}, f.pool.o.LateStarts.Workers(first))
	})
}

// Guards against a second run of a task beside a late start that its worker lists as running: the lease that its owner knows of has
// ended, but that of the late start counts from its execution. The worker leaves the stops of that run without an answer.
func TestNextRunWaitsWhileALateStartIsListed(t *testing.T) {
	for delay := 1500 * time.Millisecond; delay < 2500*time.Millisecond; delay += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.setRunTime("task", 5*time.Second)
			f.makeOrdersLate(delay, func(k contract.RunKey) bool { return k.Run == 1 })
			first := f.withdrawInDoubt(500*time.Millisecond, "")
			for !f.state(first).Final() {
				time.Sleep(time.Millisecond)
			}
			next := f.orderRun(2)
			f.refreshFor(10*time.Second, next)
			require.Empty(t, f.observer.overlaps, "executed %v late", delay)
			require.Equal(t, contract.RunDone, f.state(next))
		})
	}
}

// Guards against a late start that counts as over while its worker lists it, since the lease that its owner knows of has ended: its room is
// free for others, and the worker is suspended again and again.
func TestListedLateStartIsNotOver(t *testing.T) {
	for delay := 1500 * time.Millisecond; delay < 2500*time.Millisecond; delay += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			defer f.pool.Close()
			f.setRunTime("task", 5*time.Second)
			f.makeOrdersLate(delay, nil)
			first := f.withdrawInDoubt(500*time.Millisecond, "")
			for f.begunLate() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * lateStartPollInterval)
			h, _ := f.firstHost()
			for f.observer.endOf("task").IsZero() {
				require.Equal(t, []contract.RunKey{first}, f.runsOf(h), "executed %v late", delay)
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(2 * lateStartPollInterval)
			require.Empty(t, f.runsOf(h), "executed %v late", delay)
		})
	}
}

// Guards against a second run of a task beside an earlier one that only the poll before the start shows.
func TestEarlierRunInThePollBeforeAStartHoldsTheStartBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("task", time.Second)
		f.recordLate("w0")
		f.calls.delayPolls.Store(true)
		time.Sleep(time.Second)
		_, token := f.firstHost()
		next := f.orderRun(2)
		time.AfterFunc(time.Millisecond, func() {
			earlier := contract.RunKey{Batch: "task", Run: 1}
			_, _, err := f.calls.hosts["w0"].Start(t.Context(), link.HostStart{Key: earlier, Token: token, LeaseEnd: time.Minute})
			require.NoError(t, err)
		})
		f.refreshFor(3*time.Second, next)
		require.Empty(t, f.observer.overlaps)
		require.Equal(t, []string{"task", "task"}, f.observer.startedJobs())
		require.Equal(t, contract.RunDone, f.state(next))
	})
}

// Guards against a worker that does not guard its capacity and gets more than it holds: other tasks take the room of a withdrawn run, and
// its start is executed late beside them.
func TestLateStartDoesNotOverfillItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureOf(1, true)
		defer f.pool.Close()
		f.makeOrdersLate(4*time.Second, isDoubtful)
		f.withdrawInDoubt(500*time.Millisecond, "")
		f.refreshFor(1500 * time.Millisecond)
		f.refreshFor(700*time.Millisecond, f.order("before", 500, 0, time.Second, 5*time.Second))
		others := []contract.RunKey{f.orderLong("first", 1000), f.orderLong("second", 1000)}
		for f.begunLate() == 0 {
			f.keepAlive(10*time.Millisecond, others...)
		}
		require.Zero(t, f.overfilled())
		f.endLateOrders()
		f.keepAlive(time.Second, others...)
		require.Len(t, f.observer.startedJobs(), 4)
		require.Zero(t, f.overfilled())
	})
}

// Guards against a worker that gets more runs of a step than the step allows: another one starts in the place of a withdrawn run, whose
// start is executed late beside it.
func TestLateStartCountsForTheLimitOfItsStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("task", 3*time.Second)
		f.makeOrdersLate(2500*time.Millisecond, func(k contract.RunKey) bool { return k.Index == 0 })
		one := func(o *contract.TaskOrder) { o.PerWorkerLimit = 1 }
		first := f.orderWith("task", one)
		f.refreshFor(200*time.Millisecond, first)
		f.pool.Withdraw(testHome, []contract.RunKey{first})
		f.refreshFor(1500 * time.Millisecond)
		require.Equal(t, contract.RunEnded, f.state(first))
		second := f.orderWith("task", func(o *contract.TaskOrder) {
			one(o)
			o.Key.Index = 1
		})
		for f.begunLate() == 0 {
			f.refreshFor(100*time.Millisecond, second)
		}
		require.Len(t, f.observer.startedJobs(), 1)
		f.endLateOrders()
		f.refreshFor(2*time.Second, second)
		require.Len(t, f.observer.startedJobs(), 2)
	})
}

// Guards against a worker that is out of use for one order without an answer: while it leaves the stop of a withdrawn run without an answer,
// the lease of its other runs expires, or no task starts there. The worker answers its lists. It does not execute the start, or does so late.
func TestUnansweredStopKeepsNoWorkerFromOtherTasks(t *testing.T) {
	for withdrawnAfter := time.Duration(0); withdrawnAfter <= time.Second; withdrawnAfter += 100 * time.Millisecond {
		keepsWorkerInUse(t, withdrawnAfter, time.Hour)
		keepsWorkerInUse(t, withdrawnAfter, 2*time.Second)
	}
}

func keepsWorkerInUse(t *testing.T, withdrawnAfter, startDelay time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("long", time.Minute)
		long := f.order("long", 500, 0, time.Minute, 2*time.Minute)
		f.setRunTime("task", 3*time.Second)
		f.makeOrdersLate(startDelay, isDoubtful)
		withdrawn := f.withdrawInDoubt(withdrawnAfter, "", long)
		for i := range 60 {
			short := f.order(fmt.Sprintf("short-%d", i), 500, 0, time.Second, 10*time.Second)
			for range 3 {
				time.Sleep(100 * time.Millisecond)
				f.pool.Refresh(testHome, []contract.RunKey{long, short}, time.Now())
			}
			require.Equal(t, contract.RunDone, f.state(short), "task %d", i)
		}
		require.Equal(t, contract.RunStarted, f.state(long))
		require.True(t, f.observer.endOf("long").IsZero())
		require.Equal(t, contract.RunEnded, f.state(withdrawn))
		require.Equal(t, map[string]int{"w0": 500}, f.pool.ReservedCPU(), "the start cannot be executed any more")
	})
}

// Guards against a second run of a task elsewhere, beside one that its worker lists past the end of the lease that its owner has granted: late
// copies of the start extend the lease of all runs there, while the owner extends it for none because of a stop without an answer.
func TestRunThatIsListedPastItsLeaseIsNotOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		f.setRunTime("task", 10*time.Second)
		stopped := f.orderLong("stopped", 500)
		f.makeOrdersLate(time.Second, isDoubtful)
		key := f.orderRun(1)
		f.keepAlive(900*time.Millisecond, key, stopped)
		f.calls.dropStops.Store(true)
		f.pool.Withdraw(testHome, []contract.RunKey{stopped})
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			f.pool.Refresh(testHome, []contract.RunKey{key}, time.Now())
			if len(f.observer.startedJobs()) == 2 && f.observer.endOf("task").IsZero() {
				require.False(t, f.state(key).Final())
			}
		}
		require.True(t, f.state(key).Final())
	})
}
