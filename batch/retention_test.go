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
