package batch

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	lateWorker = "w"
	// otherOwner is an owner with more free capacity than testOwner.
	otherOwner = "other/1"
)

func (r *recorder) ownerOf(order int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderOwners[order]
}

func (r *recorder) recalled() []contract.RunKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.recalls)
}

// ownerOfWorker returns the owner that the test has set.
func (r *recorder) ownerOfWorker(worker string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	owner, ok := r.workerOwners[worker]
	return owner, ok
}

func (r *recorder) setWorkerOwners(owners map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workerOwners = owners
}

// last returns the number of orders and the last one.
func (r *recorder) last() (int, contract.TaskOrder) {
	orders := r.sentOrders()
	return len(orders), orders[len(orders)-1]
}

// withLateStart lets f act after the first run of a task has ended, whose start at lateWorker may still be executed. The worker
// is owned by otherOwner now.
func withLateStart(t *testing.T, limit time.Duration, f func(h *Home, out *recorder)) Answer {
	t.Helper()
	return withOwner(t, func() contract.Batch { return testBatch(1, limit) }, func(h *Home, out *recorder) {
		h.o.Capacity.Update(otherOwner, "z", false, map[string]*zone.BackendCapacity{"s": {Free: 100, Slots: 100}})
		out.setWorkerOwners(map[string]string{lateWorker: otherOwner})
		reportLate(h, out.ownerOf(0), out.sentOrders()[0].Key, contract.RunEnded, lateWorker)
		f(h, out)
	})
}

// reportLate reports a run that may have started, and the workers that may still execute a start of its task.
func reportLate(h *Home, owner string, key contract.RunKey, state contract.RunState, workers ...string) {
	h.Report(PoolRef{Owner: owner, Backend: "s"}, contract.RunReport{
		Key: key, State: state, MayHaveStarted: true, Token: 1, LateWorkers: workers,
	})
}

// Guards against two runs of a task: the next run is ordered elsewhere than on the worker that may still execute an earlier
// start, or moved to another owner. Later runs whose reports name no worker stay there too, and the run follows the worker to its
// next owner, whatever the owners' free capacity.
func TestNextRunIsOrderedOnlyOnTheWorkerOfALateStart(t *testing.T) {
	answer := withLateStart(t, 20*time.Second, func(h *Home, out *recorder) {
		owners := []string{otherOwner, testOwner}
		for run := range 20 {
			owner := owners[run/10]
			n, last := out.last()
			require.Equal(t, run+2, n, "orders")
			require.Equal(t, owner, out.ownerOf(run+1), "run %d", run)
			require.Equal(t, lateWorker, last.OnlyWorker)
			time.Sleep(10 * moveAfter)
			require.NotContains(t, out.recalled(), last.Key, "a task that waits for the worker is moved")
			if run == 9 {
				out.setWorkerOwners(map[string]string{lateWorker: owners[1]})
				h.o.Capacity.Remove(owners[1])
			}
			reportLate(h, owner, last.Key, contract.RunEnded)
		}
		_, last := out.last()
		reportLate(h, testOwner, last.Key, contract.RunDone)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a task that is bound to a worker after its earlier start cannot be executed any more.
func TestTaskIsNotBoundToAWorkerWithoutALateStart(t *testing.T) {
	answer := withLateStart(t, 30*time.Second, func(h *Home, out *recorder) {
		_, last := out.last()
		require.Equal(t, lateWorker, last.OnlyWorker)
		h.o.LateStarts.Expire(time.Now().Add(contract.LateStartRetention - time.Millisecond))
		reportLate(h, otherOwner, last.Key, contract.RunEnded)
		_, last = out.last()
		require.Equal(t, lateWorker, last.OnlyWorker)
		h.o.LateStarts.Expire(time.Now().Add(contract.LateStartRetention))
		reportLate(h, otherOwner, last.Key, contract.RunEnded)
		_, last = out.last()
		require.Empty(t, last.OnlyWorker)
		reportRun(h, last.Key, contract.RunDone, true)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a run that ends as provably not started and binds its task to a worker.
func TestRunThatDidNotStartLeavesNoLateStart(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		reportRun(h, out.sentOrders()[0].Key, contract.RunEnded, false)
		n, last := out.last()
		require.Equal(t, 2, n)
		require.Empty(t, last.OnlyWorker)
		require.Empty(t, h.o.LateStarts.All())
		reportRun(h, last.Key, contract.RunDone, true)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against two runs of a task: it is ordered while the worker that may still execute its earlier start has no owner, the
// owner has no such worker, or there are two such workers.
func TestTaskIsNotOrderedWithoutTheWorkerOfALateStart(t *testing.T) {
	answer := withLateStart(t, 10*time.Second, func(h *Home, out *recorder) {
		waits := func(reason string, report func()) {
			t.Helper()
			n, _ := out.last()
			report()
			time.Sleep(time.Second)
			after, _ := out.last()
			require.Equal(t, n, after, reason)
		}
		_, last := out.last()
		out.setWorkerOwners(nil)
		waits("worker without an owner", func() {
			reportLate(h, otherOwner, last.Key, contract.RunEnded, lateWorker)
		})

		out.setWorkerOwners(map[string]string{lateWorker: otherOwner})
		time.Sleep(100 * time.Millisecond)
		n, last := out.last()
		reportLate(h, otherOwner, last.Key, contract.RunInfeasible, lateWorker)
		after, _ := out.last()
		require.Equal(t, n, after, "owner that has just reported the run as infeasible")
		time.Sleep(2 * maxPlaceRetry)
		after, last = out.last()
		require.Greater(t, after, n)
		require.Equal(t, otherOwner, out.ownerOf(after-1))

		out.setWorkerOwners(map[string]string{lateWorker: testOwner})
		reportLate(h, otherOwner, last.Key, contract.RunInfeasible, lateWorker)
		n, last = out.last()
		require.Equal(t, after+1, n, "the next owner gets the order at once")
		require.Equal(t, testOwner, out.ownerOf(n-1))

		out.setWorkerOwners(map[string]string{lateWorker: testOwner, "x": testOwner})
		waits("two workers", func() { reportLate(h, testOwner, last.Key, contract.RunEnded, lateWorker, "x") })

		h.o.LateStarts.Executed(last.Key, "x")
		time.Sleep(100 * time.Millisecond)
		_, last = out.last()
		require.Equal(t, lateWorker, last.OnlyWorker)
		reportLate(h, testOwner, last.Key, contract.RunDone)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a record that is lost since the report which names the worker is of an earlier run, of a job that has ended here,
// or of one that this home has never had: the next home of the job may be this one.
func TestLateStartsAreRecordedFromAnyReport(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go h.Submit(ctx, testBatch(1, time.Minute))
		synctest.Wait()
		key := out.sentOrders()[0].Key
		earlier := key
		earlier.Run--
		reportLate(h, otherOwner, earlier, contract.RunQueued, "earlier")
		reportLate(h, otherOwner, key, contract.RunLost, "other-owner")
		reportRun(h, key, contract.RunDone, true)
		reportLate(h, testOwner, key, contract.RunQueued, "ended")
		require.Equal(t, []string{"earlier", "ended", "other-owner"}, h.o.LateStarts.Workers(key))
		key.Batch = "00000000000000bb"
		reportLate(h, testOwner, key, contract.RunQueued, "unknown")
		require.Equal(t, []string{"unknown"}, h.o.LateStarts.Workers(key))
	})
}

// Guards against a task that is bound to a worker, or not ordered at all, because the worker's reply to a start was slow or a
// rejection; and against a record that is dropped with it although the owner, an earlier report or a later one says that a
// start is late.
func TestSlowReplyToAStartLeavesNoLateStart(t *testing.T) {
	late := contract.RunReport{State: contract.RunEnded, Worker: lateWorker, LateWorkers: []string{lateWorker}}
	for _, c := range []struct {
		name    string
		before  bool
		owner   string
		report  contract.RunReport
		workers []string
	}{
		{"started", false, testOwner, contract.RunReport{State: contract.RunStarted, Worker: lateWorker}, nil},
		{"started at another worker", false, testOwner, contract.RunReport{State: contract.RunStarted, Worker: "x"}, nil},
		{"failed", false, testOwner, contract.RunReport{State: contract.RunFailed, Worker: lateWorker}, nil},
		{"rejected", false, testOwner, contract.RunReport{State: contract.RunEnded}, nil},
		{"found by another owner", false, otherOwner, contract.RunReport{State: contract.RunStarted, Worker: lateWorker}, nil},
		{"found elsewhere", false, otherOwner, contract.RunReport{State: contract.RunStarted, Worker: "x"}, []string{lateWorker}},
		{"ended, by another owner", false, otherOwner, contract.RunReport{State: contract.RunEnded}, []string{lateWorker}},
		{"still queued", false, testOwner, contract.RunReport{State: contract.RunQueued}, []string{lateWorker}},
		{"rejected, and queued again", false, testOwner, contract.RunReport{State: contract.RunQueued, Worker: lateWorker}, nil},
		{"lost", false, testOwner, contract.RunReport{State: contract.RunLost, Worker: lateWorker}, []string{lateWorker}},
		{"late", false, testOwner, late, []string{lateWorker}},
		{"started, beside an earlier start", true, testOwner, contract.RunReport{State: contract.RunStarted, Worker: lateWorker},
			[]string{lateWorker}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, out := newTestHome()
				defer h.Close()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go h.Submit(ctx, testBatch(1, time.Minute))
				synctest.Wait()
				key := out.sentOrders()[0].Key
				if c.before {
					h.o.LateStarts.Record(contract.LateStart{Task: key.Task(), Worker: lateWorker, Until: time.Now().Add(time.Second)})
				}
				reportLate(h, testOwner, key, contract.RunQueued, lateWorker)
				reportLate(h, testOwner, key, contract.RunQueued, lateWorker)
				require.Equal(t, []string{lateWorker}, h.o.LateStarts.Workers(key))
				c.report.Key, c.report.Token = key, 1
				h.Report(PoolRef{Owner: c.owner, Backend: "s"}, c.report)
				require.Equal(t, c.workers, h.o.LateStarts.Workers(key))
			})
		})
	}
}

// Guards against a job that waits until its deadline for a task that cannot end in time any more, is answered earlier than that,
// or is refused although a run may have started.
func TestJobWithALateStartEndsOnceItCannotEndInTime(t *testing.T) {
	// The tests' tasks are expected to take 100 ms.
	const limit, expected = 2 * time.Second, 100 * time.Millisecond
	for _, queued := range []bool{false, true} {
		answer := withLateStart(t, limit, func(h *Home, out *recorder) {
			if !queued {
				_, last := out.last()
				out.setWorkerOwners(nil)
				reportLate(h, otherOwner, last.Key, contract.RunEnded, lateWorker)
			}
			time.Sleep(limit - expected)
			require.Equal(t, 1, h.Active())
			time.Sleep(tickInterval + 10*time.Millisecond)
			_, last := out.last()
			if queued {
				require.Contains(t, out.withdrawn(), last.Key)
			}
		})
		require.Equal(t, Abandoned, answer.Outcome)
		require.Equal(t, lateStartReason, answer.Reason)
	}
}

// Guards against a job that is given up although the run of its task on the worker may have started and may end in time.
func TestJobIsNotGivenUpWhileItsRunMayHaveStarted(t *testing.T) {
	answer := withLateStart(t, 2*time.Second, func(h *Home, out *recorder) {
		_, last := out.last()
		reportLate(h, otherOwner, last.Key, contract.RunQueued, lateWorker)
		time.Sleep(2*time.Second - 10*time.Millisecond)
		reportLate(h, otherOwner, last.Key, contract.RunDone)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against an answer that no run has started while a worker may still execute a start that an earlier home has ordered.
func TestJobWithALateStartIsNotRefused(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		record := func(id string) {
			h.o.LateStarts.Record(contract.LateStart{
				Task: contract.RunKey{Batch: id, Index: 1}, Worker: lateWorker, Until: time.Now().Add(time.Minute),
			})
		}
		submit := func(id string, limit time.Duration) Answer {
			b := testBatch(2, limit)
			b.ID = id
			return h.Submit(context.Background(), b)
		}
		require.Equal(t, Refused, submit("a", 50*time.Millisecond).Outcome)
		record("a")
		require.Equal(t, Abandoned, submit("a", 50*time.Millisecond).Outcome)
		record("b")
		require.Equal(t, Abandoned, submit("b", time.Second).Outcome)
		orders := out.sentOrders()
		require.NotEmpty(t, orders)
		require.False(t, slices.ContainsFunc(orders, func(o contract.TaskOrder) bool { return o.Key.Index == 1 }))
		h.RefuseNew()
		record("c")
		require.Equal(t, Abandoned, submit("c", time.Second).Outcome)
		require.Equal(t, Refused, submit("d", time.Second).Outcome)
	})
}

// Guards against an earlier run of a task that goes on until its new owner stops it as not claimed: it was started late, beside the
// present run, and is withdrawn at once. The current run, a later one and those of other jobs are not.
func TestTakeoverWithAnEarlierRunIsAnsweredWithItsWithdrawal(t *testing.T) {
	answer := withOwner(t, func() contract.Batch { return testBatch(2, time.Second) }, func(h *Home, out *recorder) {
		runs := out.sentOrders()
		// The first task is done, the second one runs.
		reportRun(h, runs[0].Key, contract.RunDone, true)
		h.Report(PoolRef{Owner: testOwner, Backend: "s"}, contract.RunReport{
			Key: runs[1].Key, State: contract.RunStarted, Worker: lateWorker, Token: 1, MayHaveStarted: true,
		})
		earlier, later, other := []contract.RunKey{runs[0].Key, runs[1].Key}, runs[1].Key, runs[1].Key
		earlier[0].Run--
		earlier[1].Run -= 2
		later.Run++
		other.Batch = "00000000000000bb"
		h.Takeover(otherOwner, contract.Takeover{
			Worker: lateWorker, Token: 2, Runs: []contract.RunKey{earlier[0], earlier[1], runs[1].Key, later, other},
		})
		require.ElementsMatch(t, earlier, out.withdrawn())
		reportRun(h, runs[1].Key, contract.RunDone, true)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a worker that is polled more often for a start of an own pool that is only slow to be answered.
func TestSlowReplyInAnOwnPoolIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		submitFrom(h, &testCaller{}, 1)
		order := out.sentOrders()[0]
		report := contract.RunReport{Key: order.Key, State: contract.RunQueued, MayHaveStarted: true, LateWorkers: []string{lateWorker}}
		h.Report(PoolRef{Owner: h.o.Self, Backend: "s"}, report)
		require.True(t, h.o.LateStarts.Empty())
		h.Report(PoolRef{Owner: testOwner, Backend: "s"}, report)
		require.Equal(t, []string{lateWorker}, h.o.LateStarts.Workers(order.Key), "another owner may be lost")
	})
}
