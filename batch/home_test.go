package batch

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const testOwner = "edge-1/1"

// recorder keeps the messages to owners.
type recorder struct {
	orders      []contract.TaskOrder
	withdrawals []contract.RunKey
	acks        []contract.RunKey
}

func (r *recorder) Order(_ string, o contract.TaskOrder) { r.orders = append(r.orders, o) }
func (r *recorder) Refresh(Place, []contract.RunKey)     {}
func (r *recorder) Recall(Place, []contract.RunKey)      {}
func (r *recorder) Withdraw(_ Place, keys []contract.RunKey) {
	r.withdrawals = append(r.withdrawals, keys...)
}
func (r *recorder) Acknowledge(_ Place, keys []contract.RunKey) { r.acks = append(r.acks, keys...) }

func newTestHome() (*Home, *recorder) {
	rooms := zone.NewRooms("self/1", "z")
	rooms.Update(testOwner, "z", false, map[string]*zone.BackendRoom{"s": {Free: 100, Slots: 100}})
	out := &recorder{}
	return New(Options{
		Owners: out, Rooms: rooms, Now: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Fits: func(_ string, need machine.Resources, _ string) (bool, bool) { return need.CPUMillis <= 64_000, true },
	}), out
}

func testBatch(tasks int, limit time.Duration) contract.Batch {
	return contract.Batch{
		ID: "00000000000000aa", Route: "r", Backend: "s", Attempts: 2, TargetFactor: 1.6, Accepted: time.Now(),
		Deadline: time.Now().Add(limit),
		Steps:    []contract.Step{{Count: tasks, Need: machine.Resources{CPUMillis: 1000}, Estimate: 100 * time.Millisecond}},
	}
}

// play submits a job, lets f play its owner, and returns the answer.
func play(t *testing.T, b func() contract.Batch, f func(h *Home, out *recorder)) Answer {
	t.Helper()
	var answer Answer
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		done := make(chan Answer, 1)
		go func() { done <- h.Submit(context.Background(), b()) }()
		synctest.Wait()
		f(h, out)
		answer = <-done
	})
	return answer
}

func tell(h *Home, key contract.RunKey, state contract.RunState, ran bool) {
	h.Report(Place{Owner: testOwner, Backend: "s"}, contract.RunReport{Key: key, State: state, Ran: ran, Token: 1})
}

// Guards against a refusal of a job of which a run may have started: its owner went, and the run has only lapsed.
func TestRefusalNeedsProof(t *testing.T) {
	answer := play(t, func() contract.Batch { return testBatch(1, 3*time.Second) }, func(h *Home, _ *recorder) {
		h.o.Rooms.Remove(testOwner)
		h.OwnerGone(testOwner, time.Now())
	})
	require.Equal(t, Abandoned, answer.Outcome)
}

// Guards against a job that is said to have run, and is not sent elsewhere, although no run has started.
func TestUnstartedJobIsRefused(t *testing.T) {
	answer := play(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		h.o.Rooms.Remove(testOwner)
		tell(h, out.orders[0].Key, contract.RunUnknown, false)
	})
	require.Equal(t, Refused, answer.Outcome)
}

// Guards against an answer before all tasks have ended, and against ends that are not acknowledged.
func TestAnswerIsComplete(t *testing.T) {
	answer := play(t, func() contract.Batch { return testBatch(3, time.Second) }, func(h *Home, out *recorder) {
		require.Len(t, out.orders, 3)
		for _, o := range slices.Clone(out.orders) {
			require.Equal(t, StateQueued, h.State("00000000000000aa"))
			tell(h, o.Key, contract.RunQueued, false)
		}
		for _, o := range slices.Clone(out.orders) {
			tell(h, o.Key, contract.RunStarted, true)
			require.Equal(t, StateRunning, h.State("00000000000000aa"))
			tell(h, o.Key, contract.RunDone, true)
			tell(h, o.Key, contract.RunDone, true)
		}
		require.Len(t, out.acks, 6)
		require.Equal(t, StateCompleted, h.State("00000000000000aa"))
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a task that is tried more often, or less, than its route allows.
func TestAttemptsAreCounted(t *testing.T) {
	answer := play(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		tell(h, out.orders[0].Key, contract.RunFailed, true)
		require.Len(t, out.orders, 2)
		require.Greater(t, out.orders[1].Key.Run, out.orders[0].Key.Run)
		tell(h, out.orders[1].Key, contract.RunFailed, true)
		require.Len(t, out.orders, 2)
	})
	require.Equal(t, Failed, answer.Outcome)
}

// Guards against work that goes on after its caller has left.
func TestWorkEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan Answer, 1)
		go func() { done <- h.Submit(ctx, testBatch(2, time.Second)) }()
		synctest.Wait()
		cancel()
		require.Equal(t, Cancelled, (<-done).Outcome)
		require.Len(t, out.withdrawals, 2)
	})
}

// Guards against a job that no worker can hold and that waits for one until its time limit.
func TestImpossibleJobIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		b := testBatch(1, time.Second)
		b.Steps[0].Need.CPUMillis = 100_000
		start := time.Now()
		require.Equal(t, Failed, h.Submit(context.Background(), b).Outcome)
		require.Equal(t, start, time.Now())
		require.Empty(t, out.orders)
	})
}

// Guards against a job that runs twice because it is sent again to the same home.
func TestRepeatedSubmissionJoinsTheJob(t *testing.T) {
	answer := play(t, func() contract.Batch { return testBatch(1, time.Second) }, func(h *Home, out *recorder) {
		again := make(chan Answer, 1)
		go func() { again <- h.Submit(context.Background(), testBatch(1, time.Second)) }()
		synctest.Wait()
		require.Len(t, out.orders, 1)
		tell(h, out.orders[0].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-again).Outcome)
		require.Equal(t, Completed, h.Submit(context.Background(), testBatch(1, time.Second)).Outcome)
		require.Len(t, out.orders, 1)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a storm of orders: an owner whose messages are delayed rejects each order at once.
func TestRejectedOrdersAreSpaced(t *testing.T) {
	play(t, func() contract.Batch { return testBatch(1, 3*time.Second) }, func(h *Home, out *recorder) {
		for begin, seen := time.Now(), 0; time.Since(begin) < time.Second; time.Sleep(time.Millisecond) {
			orders := slices.Clone(out.orders)
			for _, o := range orders[seen:] {
				tell(h, o.Key, contract.RunUnknown, false)
			}
			seen = len(orders)
		}
		h.Cancel("00000000000000aa")
		require.Less(t, len(out.orders), 10)
	})
}

// Guards against a step that starts before all tasks of the steps that it depends on are done, and against a job that is
// answered before its last step.
func TestStepsWaitForThoseTheyDependOn(t *testing.T) {
	answer := play(t, func() contract.Batch {
		b := testBatch(2, 3*time.Second)
		b.Steps = append(b.Steps, b.Steps[0], b.Steps[0])
		b.Steps[1].Count, b.Steps[1].DependsOn = 1, []int{0}
		b.Steps[2].Count, b.Steps[2].DependsOn = 1, []int{0, 1}
		return b
	}, func(h *Home, out *recorder) {
		steps := func() []int {
			var all []int
			for _, o := range out.orders {
				all = append(all, o.Key.Step)
			}
			return all
		}
		finish := func(n int) {
			key := out.orders[n].Key
			tell(h, key, contract.RunStarted, true)
			tell(h, key, contract.RunDone, true)
		}
		finish(0)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, []int{0, 0}, steps())
		finish(1)
		require.Equal(t, []int{0, 0, 1}, steps())
		finish(2)
		require.Equal(t, []int{0, 0, 1, 2}, steps())
		finish(3)
	})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against an answer that comes after the time limit: a refusal waits for the proof that nothing has started, which an
// owner out of reach gives late or never.
func TestUnprovenRefusalIsAnsweredAtTheTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newTestHome()
		defer h.Close()
		begin := time.Now()
		time.AfterFunc(900*time.Millisecond, func() {
			h.o.Rooms.Remove(testOwner)
			h.OwnerGone(testOwner, time.Now())
		})
		answer := h.Submit(context.Background(), testBatch(1, time.Second))
		require.Equal(t, Abandoned, answer.Outcome)
		require.Less(t, time.Since(begin), 1100*time.Millisecond)
	})
}
