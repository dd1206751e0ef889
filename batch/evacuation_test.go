package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
)

// evacuatedLabel is required by the tasks that only evacuated workers can run.
const evacuatedLabel = "a"

// withEvacuation submits a job, lets f act as its owner, and returns the answer. Once f stores true, the workers with
// evacuatedLabel are evacuated.
func withEvacuation(t *testing.T, b func() contract.Batch, evacuated bool, f func(h *Home, out *recorder, e *atomic.Bool)) Answer {
	t.Helper()
	var answer Answer
	synctest.Test(t, func(*testing.T) {
		h, out := newTestHome()
		defer h.Close()
		var e atomic.Bool
		e.Store(evacuated)
		h.o.Evacuated = func(_ string, _ machine.Resources, label string) bool { return e.Load() && label == evacuatedLabel }
		done := make(chan Answer, 1)
		go func() { done <- h.Submit(context.Background(), b()) }()
		synctest.Wait()
		f(h, out, &e)
		answer = <-done
	})
	return answer
}

func labelledBatch(tasks int) contract.Batch {
	b := testBatch(tasks, 20*time.Second)
	b.Steps[0].RequiredLabel = evacuatedLabel
	return b
}

// Guards against a job that is accepted although no worker may run a later step of it.
func TestJobWithAnEvacuatedStepIsRefused(t *testing.T) {
	twoSteps := func() contract.Batch {
		b := testBatch(1, 20*time.Second)
		b.Steps = append(b.Steps, labelledBatch(1).Steps[0])
		b.Steps[1].DependsOn = []int{0}
		return b
	}
	var orders int
	answer := withEvacuation(t, twoSteps, true, func(_ *Home, out *recorder, _ *atomic.Bool) { orders = len(out.sentOrders()) })
	require.Equal(t, Answer{Outcome: Refused, Reason: evacuatedReason, RetryAfter: evacuationRetry}, answer)
	require.Zero(t, orders)
}

// Guards against a queued job that is kept until its deadline after its owner has returned it, and against one that is told to
// come back as soon as workers that it cannot use have room.
func TestReturnedJobIsRefused(t *testing.T) {
	answer := withEvacuation(t, func() contract.Batch { return labelledBatch(1) }, false,
		func(h *Home, out *recorder, e *atomic.Bool) {
			e.Store(true)
			reportRun(h, out.sentOrders()[0].Key, contract.RunInfeasible, false)
		})
	require.Equal(t, Answer{Outcome: Refused, Reason: evacuatedReason, RetryAfter: evacuationRetry}, answer)
}

// Guards against a job that is ended by an evacuation although all its tasks are at their owners, where they may be starting.
func TestPlacedJobOutlastsEvacuation(t *testing.T) {
	answer := withEvacuation(t, func() contract.Batch { return labelledBatch(1) }, false,
		func(h *Home, out *recorder, e *atomic.Bool) {
			e.Store(true)
			time.Sleep(time.Second)
			reportRun(h, out.sentOrders()[0].Key, contract.RunDone, true)
		})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against the end of a job that has started: its runs go on, and the domain may be taken back in time for the rest.
func TestStartedJobOutlastsEvacuation(t *testing.T) {
	answer := withEvacuation(t, func() contract.Batch { return labelledBatch(2) }, false,
		func(h *Home, out *recorder, e *atomic.Bool) {
			orders := out.sentOrders()
			reportRun(h, orders[0].Key, contract.RunStarted, true)
			e.Store(true)
			reportRun(h, orders[1].Key, contract.RunInfeasible, false)
			time.Sleep(time.Second)
			e.Store(false)
			time.Sleep(time.Second)
			again := out.sentOrders()
			reportRun(h, orders[0].Key, contract.RunDone, true)
			reportRun(h, again[len(again)-1].Key, contract.RunDone, true)
		})
	require.Equal(t, Completed, answer.Outcome)
}

// Guards against a refusal while a worker may still execute a start that an earlier home has ordered.
func TestJobWithALateStartIsNotRefusedForEvacuation(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		h, _ := newTestHome()
		defer h.Close()
		h.o.Evacuated = func(string, machine.Resources, string) bool { return true }
		h.o.LateStarts.Record(contract.LateStart{
			Task: contract.RunKey{Batch: "00000000000000aa"}, Worker: "w", Until: time.Now().Add(time.Second),
		})
		require.Equal(t, Abandoned, h.Submit(context.Background(), testBatch(1, time.Second)).Outcome)
	})
}
