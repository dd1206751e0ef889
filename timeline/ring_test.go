package timeline

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
)

func fixedNow() time.Time { return time.Unix(1, 0) }

// Guards against a ring that grows, loses events without counting them, or reports a wrong position of the gap.
func TestRingReportsOverwrittenEvents(t *testing.T) {
	r := NewRing(Process{VM: "entry-1"}, 16, &Clock{}, fixedNow)
	for i := range 40 {
		r.Job(JobAccepted, contract.JobID{Seq: uint64(i + 1)}, "", 1)
	}
	s := r.Snapshot(nil)
	require.Len(t, s.Events, 16)
	require.EqualValues(t, 24, s.Overwritten)
	require.EqualValues(t, 24, s.LostThrough)
	for _, e := range s.Events {
		require.Greater(t, e.Lamport, s.LostThrough)
	}
}

// Guards against two events of one process with the same Lamport time, whose order would be undefined.
func TestConcurrentEventsHaveDistinctTimes(t *testing.T) {
	clock := &Clock{}
	r := NewRing(Process{VM: "entry-1"}, 4096, clock, fixedNow)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 100 {
				clock.Observe(uint64(g * i))
				r.Record(Event{Kind: GrantIssued})
			}
		})
	}
	wg.Wait()
	seen := map[uint64]bool{}
	for _, e := range r.Snapshot(nil).Events {
		require.False(t, seen[e.Lamport])
		seen[e.Lamport] = true
	}
	require.Len(t, seen, 800)
}

// Guards against allocations on the path of each start and against SetEnabled(false) not disabling recording.
func TestRecordingAllocatesNothing(t *testing.T) {
	r := NewRing(Process{VM: "entry-1"}, 1024, &Clock{}, fixedNow)
	e := Event{Kind: TaskStarted, Worker: "worker-1"}
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Record(e) }))
	r.SetEnabled(false)
	before := len(r.Snapshot(nil).Events)
	r.Record(e)
	require.Len(t, r.Snapshot(nil).Events, before)
	var nilRing *Ring
	nilRing.Record(e)
	require.Empty(t, nilRing.Snapshot(nil).Events)
}

func BenchmarkRecord(b *testing.B) {
	e := Event{Kind: TaskStarted, Worker: "worker-1"}
	run := func(name string, r *Ring) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Record(e)
			}
		})
		b.Run(name+"-parallel", func(b *testing.B) {
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					r.Record(e)
				}
			})
		})
	}
	run("on", NewRing(Process{}, DefaultEvents, &Clock{}, time.Now))
	off := NewRing(Process{}, DefaultEvents, &Clock{}, time.Now)
	off.SetEnabled(false)
	run("off", off)
}
