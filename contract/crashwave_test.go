package contract

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against tasks that are given up although the workers are at fault: they crash in waves, the second time while the
// task is alone on one.
func TestCrashesInWavesAreNotBlamedOnTasks(t *testing.T) {
	now := time.Now()
	cases := map[string]func(l *CrashLedger, wave int, at time.Time){
		"an idle worker crashes too": func(l *CrashLedger, wave int, at time.Time) {
			l.Record(crashOf(fmt.Sprintf("idle-%d", wave), at.Add(500*time.Millisecond)), now)
		},
		"workers with tasks of other jobs crash too": func(l *CrashLedger, wave int, at time.Time) {
			for n := range waveJobs - 1 {
				l.Record(crashOf(fmt.Sprintf("w-%d-%d", wave, n), at.Add(time.Millisecond), fmt.Sprintf("job-%d-%d", wave, n)), now)
			}
		},
	}
	for name, others := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewCrashLedger()
			for wave := range 3 {
				at := now.Add(time.Duration(wave) * time.Second)
				l.Record(crashOf(fmt.Sprintf("w-%d", wave), at, "innocent"), now)
				others(l, wave, at)
			}
			require.Equal(t, CrashedInWaves, l.Judge(RunKey{Batch: "innocent"}))
			_, givenUp := l.GivenUpTask("innocent")
			require.False(t, givenUp)
		})
	}
}

// Guards against a task that crashes its workers and is never given up, because crashes that its job or other deadly tasks
// cause look like a wave.
func TestCrashesOfDeadlyTasksAreNoWave(t *testing.T) {
	now := time.Now()
	shared := crashOf("starting", now, "")
	shared.Tasks, shared.Shared = nil, true
	refuted := crashOf("refuted", now)
	refuted.Refuted = true
	otherBackend := crashOf("other", now)
	otherBackend.Backend = "another"
	cases := map[string][]WorkerCrash{
		"the tasks of one wide job crash all their workers at once": {
			crashOf("a", now, "deadly"), crashOf("b", now, "deadly"), crashOf("c", now, "deadly", "x"),
			crashOf("d", now, "deadly", "y"), crashOf("e", now, "deadly", "z"),
		},
		"two more deadly jobs at the same moment": {
			crashOf("a", now, "deadly-2"), crashOf("b", now, "deadly-2"), crashOf("c", now, "deadly-3"), crashOf("d", now, "deadly-3"),
		},
		"many other deadly tasks at other moments": {
			crashOf("a", now.Add(-100*time.Millisecond), "2"), crashOf("b", now.Add(-60*time.Millisecond), "3"),
			crashOf("c", now.Add(60*time.Millisecond), "4"), crashOf("d", now.Add(90*time.Millisecond), "5"),
		},
		"an idle worker crashed before, another much later":   {crashOf("a", now.Add(-time.Second)), crashOf("b", now.Add(2*time.Second))},
		"a start was on its way to a worker that has crashed": {shared},
		"the crash of an idle worker has been refuted":        {refuted},
		"an idle worker of another back end crashed":          {otherBackend},
	}
	for name, others := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewCrashLedger()
			l.Record(crashOf("first", now, "deadly"), now)
			for _, c := range others {
				l.Record(c, now)
			}
			l.Record(crashOf("second", now.Add(time.Second), "deadly"), now)
			require.Equal(t, GivenUp, l.Judge(RunKey{Batch: "deadly"}))
		})
	}
}

// Guards against a route that is confined to some of the workers because these crash in waves.
func TestCrashesInWavesConfineNoRoute(t *testing.T) {
	now := time.Now()
	var crashes []WorkerCrash
	for wave := range 4 {
		at := now.Add(-time.Duration(wave) * 900 * time.Millisecond)
		for n := range 5 {
			c := crashOf(fmt.Sprintf("w-%d-%d", wave, n), at, fmt.Sprintf("job-%d-%d", wave, n))
			crashes = append(crashes, c)
		}
	}
	confined, _ := NewConfinement().Update(crashes, func(string) int { return 24 }, now)
	require.Empty(t, confined)
}
