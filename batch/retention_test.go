package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

// Guards against a client that submits the largest jobs and leaves each, and so makes the home keep all their tasks for as long as
// their answers.
func TestEndedJobsKeepNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newTestHome()
		defer h.Close()
		h.o.Capacity.Remove(testOwner)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan Answer, 1)
		b := testBatch(contract.MaxBatchTasks, 3*time.Second)
		go func() { done <- h.Submit(ctx, b) }()
		synctest.Wait()
		require.Equal(t, StateQueued, h.State(b.ID))
		last := lastRunOf(h, b.ID)
		cancel()
		require.Equal(t, CallerLeft, (<-done).Outcome)
		for j := range h.lockedJobs() {
			require.Equal(t, jobEnded, j.state)
			require.Zero(t, cap(j.tasks))
			require.Zero(t, cap(j.batch.Steps)+cap(j.steps))
		}
		require.Equal(t, last, lastRunOf(h, b.ID), "workers reject the runs of a copy that are not higher")
	})
}

// lastRunOf returns the highest number of a run of a job.
func lastRunOf(h *Home, id string) uint64 {
	for j := range h.lockedJobs() {
		if j.batch.ID == id {
			return j.lastRun()
		}
	}
	return 0
}

// Guards against a refusal, which states that nothing has run, of a job that another member holds, that was cancelled or accepted
// here, or of which a worker may still execute a start.
func TestOnlyUnknownJobsAreRefusedUnsubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, out := newTestHome()
		defer h.Close()
		b := testBatch(1, time.Minute)
		refusal := Answer{Outcome: Refused, Reason: "no room", RetryAfter: time.Second}
		require.Equal(t, refusal, h.RefusalOf(&b, refusal.Reason, refusal.RetryAfter))
		outcome := func(id string) Outcome {
			b.ID = id
			return h.RefusalOf(&b, refusal.Reason, refusal.RetryAfter).Outcome
		}
		h.o.Held.Record(contract.HeldJob{Job: "held", Home: "other/1", Accepted: time.Now(), HeardAt: time.Now()})
		require.Equal(t, Abandoned, outcome("held"))
		h.o.LateStarts.Record(contract.LateStart{
			Task: contract.RunKey{Batch: "late"}, Worker: lateWorker, Until: time.Now().Add(contract.LateStartRetention),
		})
		require.Equal(t, Abandoned, outcome("late"))
		h.o.Cancels.Record(contract.JobCancel{Job: "cancelled", At: time.Now()}, time.Now())
		require.Equal(t, Abandoned, outcome("cancelled"))
		for _, o := range submitAndLeave(t, h, out) {
			reportRun(h, o.Key, contract.RunEnded, true)
		}
		left := testBatch(1, time.Minute).ID
		require.Equal(t, StateUnknown, h.State(left))
		require.Equal(t, Abandoned, outcome(left))
	})
}
