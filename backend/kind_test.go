package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func observeMany(k *RequestKind, n int, run time.Duration) {
	for range n {
		k.Observe(run, 1)
	}
}

// Guards against a declared class that is kept although the observations contradict it, in both directions.
func TestClassFollowsObservation(t *testing.T) {
	declaredShort := NewRequestKind(KindSpec{Class: ClassShort})
	observeMany(declaredShort, 30, 4*time.Second)
	require.Equal(t, ClassLong, declaredShort.Class())
	declaredLong := NewRequestKind(KindSpec{Class: ClassLong})
	observeMany(declaredLong, 30, 100*time.Millisecond)
	require.Equal(t, ClassShort, declaredLong.Class())
}

// Guards against a bimodal kind that counts as short although its long runs hold most of the slots, and against a kind
// with rare long runs that counts as long and is limited by the cap on long work.
func TestBimodalKinds(t *testing.T) {
	often, rarely := NewRequestKind(KindSpec{}), NewRequestKind(KindSpec{})
	for range 30 {
		observeMany(often, 9, 100*time.Millisecond)
		often.Observe(5*time.Second, 1)
		observeMany(rarely, 200, 100*time.Millisecond)
		rarely.Observe(5*time.Second, 1)
	}
	require.Equal(t, ClassLong, often.Class())
	require.Equal(t, ClassShort, rarely.Class())
}

// Guards against a kind whose tasks all hang: without an observed run time, its later tasks would count as short.
func TestRunningTasksReclassifyTheirKind(t *testing.T) {
	k := NewRequestKind(KindSpec{})
	for range 8 {
		k.AddReclassified()
	}
	require.Equal(t, ClassLong, k.Class())
	for range 8 {
		k.RemoveReclassified()
	}
	observeMany(k, 30, 100*time.Millisecond)
	require.Equal(t, ClassShort, k.Class())
}

// Guards against an expected run time that depends on the speed of the workers that have run the kind.
func TestExpectedIsNormalised(t *testing.T) {
	k := NewRequestKind(KindSpec{})
	for range 100 {
		k.Observe(400*time.Millisecond, 0.5)
		k.Observe(100*time.Millisecond, 2)
	}
	require.InDelta(t, 0.2, k.Expected().Seconds(), 1e-6)
}

// Guards against a straggler action on a task of a kind that allows none, a second action, and an action before the run
// time is far beyond the expected one.
func TestEvaluate(t *testing.T) {
	k := NewRequestKind(KindSpec{Straggler: StragglerStop, Expected: 200 * time.Millisecond})
	observeMany(k, 300, 200*time.Millisecond)
	require.Equal(t, Decision{}, k.Evaluate(Progress{Elapsed: time.Second}, 1))
	require.Equal(t, Decision{Reclassify: true}, k.Evaluate(Progress{Elapsed: 1600 * time.Millisecond}, 1))
	late := Progress{Elapsed: 5 * time.Second, Reclassified: true}
	require.Equal(t, Decision{Straggler: StragglerStop}, k.Evaluate(late, 1))
	late.ActionTaken = true
	require.Equal(t, Decision{}, k.Evaluate(late, 1))
	wait := NewRequestKind(KindSpec{Straggler: StragglerWait})
	require.Equal(t, Decision{}, wait.Evaluate(Progress{Elapsed: time.Hour, Reclassified: true}, 1))
}

// Guards against attributing failures of a kind or job to workers, and against not attributing those of a bad worker.
func TestAttribution(t *testing.T) {
	t.Run("worker", func(t *testing.T) {
		var a Attribution
		a.Observe("good", 1, false, epoch)
		require.True(t, a.Observe("bad", 2, true, epoch).SucceedsElsewhere)
	})
	t.Run("kind", func(t *testing.T) {
		var a Attribution
		for i := range uint64(10) {
			require.False(t, a.Observe([]string{"a", "b", "c"}[i%3], i, true, epoch).SucceedsElsewhere)
		}
		require.True(t, a.FailsEverywhere(50, 0, epoch))
		require.False(t, a.FailsEverywhere(50, time.Second, epoch), "tasks on other workers may still run")
		require.True(t, a.AllowTrial(epoch))
		require.False(t, a.AllowTrial(epoch.Add(time.Second)))
		a.Observe("a", 99, false, epoch)
		require.False(t, a.FailsEverywhere(50, 0, epoch))
	})
	t.Run("job", func(t *testing.T) {
		var a Attribution
		for i := range uint64(20) {
			a.Observe([]string{"a", "b", "c"}[i%3], i, false, epoch)
		}
		attributed := 0
		for _, w := range []string{"a", "a", "b", "c", "a", "b"} {
			cause := a.Observe(w, 100, true, epoch)
			if cause.SucceedsElsewhere {
				attributed++
			}
			for _, n := range cause.Retract {
				attributed -= n
			}
		}
		require.Zero(t, attributed)
	})
}

// Guards against memory that grows with past workers and jobs, and against inconsistent counts.
func TestAttributionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Attribution
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := epoch
		for job := range uint64(300) {
			now = now.Add(time.Duration(r.IntN(3000)) * time.Millisecond)
			cause := a.Observe(string(rune('a'+r.IntN(20))), job, r.IntN(2) == 0, now)
			require.GreaterOrEqual(t, cause.Expected, 0.0)
			require.LessOrEqual(t, cause.Expected, 1.0)
		}
		require.LessOrEqual(t, len(a.jobs), maxFailedJobs)
		a.Observe("z", 999, false, now.Add(time.Hour))
		require.LessOrEqual(t, len(a.workers), 21)
	})
}
