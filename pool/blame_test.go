package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/standin"
)

// Guards against a task that is blamed for the crash of a worker which it had not reached: its start was on the way when the
// worker was already down. As the worker was idle, the crash counted as one under the task alone.
func TestStartOnItsWayIsNotBlamedForCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		worker := f.calls.hosts["w0"]
		time.Sleep(10 * time.Millisecond)
		worker.SetDelay(time.Hour)
		key := f.order("innocent", 500, 0, time.Second, 20*time.Second)
		time.Sleep(100 * time.Millisecond)
		worker.Crash()
		worker.SetDelay(0)
		worker.Restart()
		f.refreshFor(2*time.Second, key)
		require.Empty(t, f.recordedCrashes())
		require.Equal(t, contract.RunDone, f.stateOf(key), "it is started again there")
	})
}

// Guards against a task that is blamed alone for a crash although another one, whose start was not answered, may have begun
// on the worker.
func TestTaskBesideStartInDoubtIsNotBlamedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		worker := f.calls.hosts["w0"]
		f.crash = map[string]standin.RunPlan{"deadly": {Duration: 60 * time.Millisecond, CrashesFor: 3 * time.Second}}
		f.setRunTime("innocent", 5*time.Second)
		innocent := f.order("innocent", 500, 0, time.Second, 20*time.Second)
		f.refreshFor(300*time.Millisecond, innocent)
		worker.SetLosingReplies(true)
		deadly := f.order("deadly", 500, 0, time.Second, 20*time.Second)
		f.refreshFor(time.Second, innocent, deadly)
		crashes := f.recordedCrashes()
		require.Len(t, crashes, 1)
		require.True(t, crashes[0].Involves(innocent.Task()))
		require.False(t, crashes[0].Alone())
	})
}

// Guards against an idle worker whose exit is dated to the reply of its next incarnation, up to half a second after the first
// refused connection: the crashes of busy workers in the same wave would not be seen to be simultaneous.
func TestExitOfIdleWorkerIsDatedToTheFirstRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1)
		defer f.pool.Close()
		time.Sleep(2 * time.Second)
		exit := time.Now()
		worker := f.calls.hosts["w0"]
		worker.Crash()
		worker.SetRefusing(true)
		time.Sleep(500*time.Millisecond + idlePollInterval/10)
		worker.Restart()
		time.Sleep(2 * time.Second)
		crashes := f.recordedCrashes()
		require.Len(t, crashes, 1)
		require.Empty(t, crashes[0].Tasks)
		require.LessOrEqual(t, crashes[0].At.Sub(exit), idlePollInterval)
	})
}
