package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func crashOf(worker string, at time.Time, jobs ...string) WorkerCrash {
	c := WorkerCrash{Worker: worker, StartTime: 1, Backend: "s", At: at}
	for _, job := range jobs {
		c.Tasks = append(c.Tasks, CrashedTask{Key: RunKey{Batch: job}, Route: "r"})
	}
	return c
}

// Guards against an innocent task that is given up with the task that crashed their workers.
func TestTaskThatWasNeverAloneIsNotGivenUp(t *testing.T) {
	now := time.Now()
	l := NewCrashLedger()
	for _, w := range []string{"w1", "w2", "w3"} {
		require.True(t, l.Record(crashOf(w, now, "deadly", "innocent"), now))
	}
	require.Equal(t, Suspected, l.Judge(RunKey{Batch: "innocent", Run: 7}))
	l.Record(crashOf("w4", now, "deadly"), now)
	require.Equal(t, GivenUp, l.Judge(RunKey{Batch: "deadly", Run: 9}))
	require.Equal(t, Suspected, l.Judge(RunKey{Batch: "innocent"}))
	task, ok := l.GivenUpTask("deadly")
	require.True(t, ok)
	require.Equal(t, RunKey{Batch: "deadly"}, task)
	_, ok = l.GivenUpTask("innocent")
	require.False(t, ok)
}

// Guards against one crash that counts twice, since several members announce it or one does repeatedly.
func TestCrashOfOneIncarnationCountsOnce(t *testing.T) {
	now := time.Now()
	l := NewCrashLedger()
	require.True(t, l.Record(crashOf("w1", now, "task"), now))
	require.False(t, l.Record(crashOf("w1", now.Add(time.Second), "task"), now))
	require.Equal(t, Suspected, l.Judge(RunKey{Batch: "task"}))
}

// Guards against a task that is given up for the crash of a worker that was only unreachable, whichever message arrives
// first.
func TestRefutedCrashDoesNotCount(t *testing.T) {
	now := time.Now()
	refuted := crashOf("w1", now, "task")
	refuted.Refuted = true
	for _, order := range [][]WorkerCrash{{crashOf("w1", now, "task"), refuted}, {refuted, crashOf("w1", now, "task")}} {
		l := NewCrashLedger()
		for _, c := range order {
			l.Record(c, now)
		}
		require.Equal(t, NoCrash, l.Judge(RunKey{Batch: "task"}))
	}
}

// Guards against a ledger that grows without bound, and against one that never forgets.
func TestLedgerIsBoundedInNumberAndTime(t *testing.T) {
	now := time.Now()
	l := NewCrashLedger()
	for i := range 2 * maxCrashes {
		c := crashOf("w", now.Add(time.Duration(i)), "task")
		c.StartTime = int64(i)
		l.Record(c, now)
	}
	require.Len(t, l.Crashes(), maxCrashes)
	require.EqualValues(t, maxCrashes, l.Crashes()[0].StartTime, "the oldest are dropped first")
	l.Expire(now.Add(CrashRetention + time.Second))
	require.Empty(t, l.Crashes())
	require.False(t, l.Record(crashOf("old", now.Add(-2*CrashRetention), "task"), now))
}
