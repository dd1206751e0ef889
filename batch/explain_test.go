package batch

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// counted returns the sum of all counters of a home.
func counted(h *Home) (sum int64) {
	h.o.Metrics.Each(func(_ string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			sum += c.Count()
		}
	})
	return sum
}

// Guards against an explanation that accepts, reserves, sends, counts or logs anything.
func TestExplanationChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h, out := newTestHomeWithLog("self/1", time.Now, slog.New(slog.NewTextHandler(&log, nil)))
		defer h.Close()
		free := h.o.Capacity.Owners("s", 0)
		e := h.Explain(testBatch(3, time.Second))
		require.True(t, e.Accepted)
		require.Len(t, e.Tasks, 3)
		for _, task := range e.Tasks {
			require.Equal(t, testOwner, task.Owner)
		}
		synctest.Wait()
		require.Equal(t, free, h.o.Capacity.Owners("s", 0))
		require.Zero(t, counted(h))
		require.Zero(t, h.Active())
		require.Empty(t, out.sentOrders())
		require.Empty(t, log.String())
		require.Equal(t, StateUnknown, h.State("00000000000000aa"))
	})
}

// Guards against an explanation that differs from what the home then does, for each decision on a new job.
func TestExplanationIsWhatTheHomeDecides(t *testing.T) {
	cases := map[string]struct {
		prepare func(h *Home)
		change  func(b *contract.Batch)
	}{
		"no worker can hold the tasks": {change: func(b *contract.Batch) { b.Steps[0].Need.CPUMillis = 64_001 }},
		"overloaded": {prepare: func(h *Home) {
			h.o.Capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{
				"s": {Slots: 1, Waiting: [zone.Priorities]time.Duration{time.Minute}}})
		}},
		"cancelled by a caller": {prepare: func(h *Home) {
			h.o.Cancels.Record(contract.JobCancel{Job: "00000000000000aa", At: h.o.Now()}, h.o.Now())
		}},
		"the process ends": {prepare: func(h *Home) { h.refusesNew.Store(true) }},
	}
	for reason, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			h, _ := newTestHome()
			defer h.Close()
			if c.prepare != nil {
				c.prepare(h)
			}
			b := testBatch(2, time.Second)
			if c.change != nil {
				c.change(&b)
			}
			e := h.Explain(b)
			require.False(t, e.Accepted)
			require.Equal(t, reason, e.Answer.Reason)
			require.Equal(t, h.Submit(context.Background(), b), e.Answer)
		})
	}
}

// Guards against an explanation by other rules than those that hold while there is too little room.
func TestExplanationOfAJobThatIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := shedHome(true)
		defer h.Close()
		h.o.Capacity.Update(testOwner, "z", false, map[string]*zone.BackendCapacity{"s": full(time.Minute)})
		b := testBatch(2, 30*time.Second)
		e := h.Explain(b)
		require.False(t, e.Accepted)
		require.Equal(t, shedOnArrival.String(), e.Answer.Reason)
		require.Zero(t, counted(h))
		require.Equal(t, h.Submit(context.Background(), b), e.Answer)
	})
}

// Guards against an explanation that says nothing of why a task is not ordered.
func TestExplanationNamesWhatTasksWaitFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newTestHome()
		defer h.Close()
		b := testBatch(1, time.Second)
		b.Steps = append(b.Steps, contract.Step{Count: 1, Need: b.Steps[0].Need, DependsOn: []int{0}})
		e := h.Explain(b)
		require.Equal(t, "waits for earlier steps", e.Tasks[1].Reason)
		h.o.Capacity.Remove(testOwner)
		e = h.Explain(b)
		require.True(t, e.Accepted)
		require.False(t, e.OwnerKnown)
		require.Equal(t, "waits for an owner of workers", e.Tasks[0].Reason)
	})
}

// Guards against a job that is said to be joined although its submission would start it anew, and the other way round.
func TestExplanationOfAKnownJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		b := testBatch(1, time.Second)
		done := make(chan Answer, 1)
		go func() { done <- h.Submit(context.Background(), b) }()
		synctest.Wait()
		require.Equal(t, StateQueued, h.Explain(b).Known)
		reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		require.Equal(t, Completed, (<-done).Outcome)
		require.Equal(t, StateCompleted, h.Explain(b).Known)

		refused := testBatch(1, time.Second)
		refused.ID = "00000000000000bb"
		h.o.Capacity.Remove(testOwner)
		require.Equal(t, Refused, h.Submit(context.Background(), refused).Outcome)
		require.Equal(t, StateUnknown, h.Explain(refused).Known)
	})
}
