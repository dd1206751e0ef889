package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/fault"
)

func acceptedJob(t *testing.T, tasks int) (*JobTable, JobID) {
	t.Helper()
	table := NewJobTable(1, 7)
	id := table.Mint(1)[0]
	fresh, err := table.Accept(JobSpec{ID: id, Service: "s", Tasks: make([]TaskSpec, tasks)}, time.Now())
	require.NoError(t, err)
	require.True(t, fresh)
	return table, id
}

// Guards against a second start of a task, by resubmission or by a repeated assignment.
func TestTaskStartsOnce(t *testing.T) {
	table, id := acceptedJob(t, 1)
	fresh, err := table.Accept(JobSpec{ID: id, Tasks: make([]TaskSpec, 1)}, time.Now())
	require.NoError(t, err)
	require.False(t, fresh)
	_, ok := table.Start(TaskID{Job: id}, "w")
	require.True(t, ok)
	_, ok = table.Start(TaskID{Job: id}, "w")
	require.False(t, ok)
}

// Guards against a partial answer: one failed task must suppress all results.
func TestFailedJobCarriesNoResults(t *testing.T) {
	table, id := acceptedJob(t, 2)
	for i := range 2 {
		_, ok := table.Start(TaskID{Job: id, Index: i}, "w")
		require.True(t, ok)
	}
	_, last := table.Finish(TaskID{Job: id, Index: 1}, TaskReport{Outcome: OutcomeDone}, []byte("r"), time.Now())
	require.False(t, last)
	a, last := table.Finish(TaskID{Job: id}, TaskReport{Outcome: OutcomeUnknown}, nil, time.Now())
	require.True(t, last)
	require.Equal(t, VerdictFailed, a.Verdict)
	require.Nil(t, a.Results)
	require.True(t, a.Consistent())
}

// Guards against a cancelled task that starts later, and against a false "not run" for a task that has started.
func TestCancelFinishesOnlyWaitingTasks(t *testing.T) {
	table, id := acceptedJob(t, 2)
	_, ok := table.Start(TaskID{Job: id}, "w")
	require.True(t, ok)
	n, err := table.Cancel(id, "cancelled", time.Now())
	require.NoError(t, err)
	require.Equal(t, 1, n)
	_, ok = table.Start(TaskID{Job: id, Index: 1}, "w")
	require.False(t, ok)
	a, last := table.Finish(TaskID{Job: id}, TaskReport{Outcome: OutcomeDone}, nil, time.Now())
	require.True(t, last)
	require.Equal(t, OutcomeDone, a.Reports[0].Outcome)
	require.Equal(t, OutcomeNotRun, a.Reports[1].Outcome)
}

// Guards against running a job again after its answer has expired.
func TestExpiredJobIsNotAcceptedAgain(t *testing.T) {
	table, id := acceptedJob(t, 1)
	now := time.Now()
	_, err := table.Cancel(id, "cancelled", now)
	require.NoError(t, err)
	require.Equal(t, 1, table.Expire(now.Add(AnswerRetention)))
	_, err = table.Accept(JobSpec{ID: id, Tasks: make([]TaskSpec, 1)}, now)
	require.Equal(t, fault.Expired.FullName(), fault.Code(err))
}
