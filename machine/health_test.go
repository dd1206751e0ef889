package machine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

var (
	success = StartOutcome{KindSucceedsElsewhere: true}
	failure = StartOutcome{Failed: true, KindSucceedsElsewhere: true}
)

// Guards against a worker that fails everything and keeps receiving work.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	var h Health
	lost := 0
	for h.Slots(8, epoch) > 0 {
		h.Observe(failure, epoch)
		lost++
	}
	require.LessOrEqual(t, lost, 5)
	require.Equal(t, Quarantined, h.State())
}

// Guards against workers that are quarantined for a kind of work that fails everywhere: one that has never succeeded,
// and one that fails as often on other workers.
func TestFailingKindDoesNotQuarantine(t *testing.T) {
	var unproven, expected Health
	for range 1000 {
		unproven.Observe(StartOutcome{Failed: true}, epoch)
		expected.Observe(StartOutcome{Failed: true, KindSucceedsElsewhere: true, Expected: 1}, epoch)
	}
	require.NotEqual(t, Quarantined, unproven.State())
	require.Equal(t, Healthy, expected.State())
	unproven.Observe(success, epoch)
	require.Equal(t, Healthy, unproven.State())
}

// Guards against parallel probes, quarantines that do not grow, and a worker that never recovers.
func TestProbesWithGrowingPauses(t *testing.T) {
	var h Health
	for range 4 {
		h.Observe(failure, epoch)
	}
	now, last := epoch, time.Duration(0)
	for range 4 {
		pause := h.quarantineEnd.Sub(now)
		require.Greater(t, pause, last)
		last = pause
		require.False(t, h.Tick(now.Add(pause-1)))
		now = now.Add(pause)
		require.True(t, h.Tick(now))
		require.Equal(t, 1, h.Slots(8, now))
		h.Observe(failure, now)
		require.Equal(t, Quarantined, h.State())
	}
	now = h.quarantineEnd
	for range probesToRecover {
		require.LessOrEqual(t, h.Slots(8, now), 1)
		h.Observe(success, now)
	}
	require.Equal(t, 8, h.Slots(8, now))
}

// Guards against a number of slots below 0 or above the worker's, against slots of a quarantined worker, and against a
// worker that does not become healthy again although it only succeeds from some time on.
func TestHealthAlwaysRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Health
		now := epoch
		for _, e := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch e {
			case 0:
				h.Observe(success, now)
			case 1:
				h.Observe(failure, now)
			case 2:
				h.Observe(StartOutcome{Rejected: true, KindSucceedsElsewhere: true}, now)
			case 3:
				h.Retract(1, now)
			case 4:
				h.Tick(now)
			default:
				h.Observe(StartOutcome{Failed: true}, now)
			}
			n := h.Slots(8, now)
			require.True(t, n >= 0 && n <= 8)
			require.True(t, h.State() != Quarantined || n == 0)
		}
		for range 20 {
			now = now.Add(maxQuarantine)
			h.Observe(success, now)
		}
		require.Equal(t, Healthy, h.State())
	})
}

// Guards against offering a leaving, unreported or quarantined worker to the slot allocators.
func TestUsableSlots(t *testing.T) {
	w := NewWorker(WorkerSpec{ID: "w", Slots: 8})
	require.Zero(t, w.UsableSlots(epoch))
	w.ObserveStatus(7, 0, epoch)
	require.Equal(t, 8, w.UsableSlots(epoch))
	for range 4 {
		w.Observe(failure, epoch)
	}
	require.Zero(t, w.UsableSlots(epoch))
	w.ObserveStatus(8, 0, epoch)
	require.Equal(t, 1, w.UsableSlots(epoch), "a new process is probed without waiting for the end of the quarantine")
	w.UpdateSpec(WorkerSpec{ID: "w", Slots: 8, Leaving: true})
	require.Zero(t, w.UsableSlots(epoch))
}

// Guards against a common drift of speeds and run times, which are learned from each other.
func TestSpeedsStayCentred(t *testing.T) {
	f := NewFleet()
	for _, id := range []WorkerID{"a", "b"} {
		w, _ := f.Upsert(WorkerSpec{ID: id, Service: "s", Slots: 1})
		for range 500 {
			w.ObserveRun(map[WorkerID]time.Duration{"a": 50, "b": 200}[id]*time.Millisecond, 400*time.Millisecond)
		}
	}
	f.CentreSpeeds()
	a, _ := f.Get("a")
	b, _ := f.Get("b")
	require.InDelta(t, 1, a.Speed()*b.Speed(), 1e-6)
	require.InDelta(t, 4, a.Speed()/b.Speed(), 0.01)
}

// Guards against a suspect that keeps few slots permanently because nothing is started on it.
func TestSuspicionEnds(t *testing.T) {
	var h Health
	h.Observe(failure, epoch)
	h.Observe(failure, epoch)
	require.Equal(t, Suspect, h.State())
	require.True(t, h.Tick(epoch.Add(suspicionTTL)))
	require.Equal(t, Healthy, h.State())
}

// Guards against each entry VM losing as many tasks to a failing worker as the one that quarantined it first, and
// against a warning that alone causes a quarantine.
func TestWarningFromOtherVM(t *testing.T) {
	var h Health
	require.True(t, h.Warn(epoch))
	require.Equal(t, 2, h.Slots(8, epoch))
	h.Observe(failure, epoch)
	h.Observe(failure, epoch)
	require.Equal(t, Quarantined, h.State())
	var recovered Health
	recovered.Warn(epoch)
	recovered.Observe(success, epoch)
	require.Equal(t, Healthy, recovered.State())
	require.False(t, h.Warn(epoch), "a warning must not change a quarantine")
}
