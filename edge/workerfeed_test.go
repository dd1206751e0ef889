package edge

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
)

// Guards against a large failure domain in which all members read the list of workers, which exceeds the capacity of
// the store, and against members that miss workers because others read the list for them.
func TestFewMembersReadTheWorkerList(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const members, workers = directReadLimit + 4, 12
		d := newDeployment(t, 1, members, workers)
		defer d.close()
		time.Sleep(2 * feedTimeout)
		reading := 0
		for _, daemon := range d.daemons {
			if daemon.feed.Reads() {
				reading++
			}
		}
		require.Equal(t, readers, reading)
		d.addWorker(zoneName(0), "worker-0-new")
		time.Sleep(time.Second)
		require.Equal(t, workers+1, ownedBy(d, 0))
		for vm, daemon := range d.daemons {
			require.Len(t, daemon.workers.in(daemon.workers.Domains()), workers+1, vm)
		}
		for vm, daemon := range d.daemons {
			if daemon.feed.Reads() {
				d.killDaemon(vm)
			}
		}
		time.Sleep(2 * feedTimeout)
		d.addWorker(zoneName(0), "worker-0-newer")
		time.Sleep(2 * time.Second)
		require.Equal(t, workers+2, ownedBy(d, 0), "after the readers have died")
	})
}

// Guards against an age of 292 years in the line of a member that has not received a list yet.
func TestReadingWithoutFeedIsLoggedSo(t *testing.T) {
	var log bytes.Buffer
	now := time.Now()
	f := newWorkerFeed("b/1", newMembers(machine.Member{VM: "b", Domain: "z"}, nil, nil), func() time.Time { return now },
		slog.New(slog.NewTextHandler(&log, nil)))
	f.reading = false
	f.UpdateReading()
	require.Contains(t, log.String(), "reads=true members=1 since_feed=none")
}

// Guards against a change that is applied to another list than the one that it belongs to.
func TestChangeAfterGapIsNotApplied(t *testing.T) {
	now := time.Now()
	f := newWorkerFeed("b/1", nil, func() time.Time { return now }, nil)
	f.reliesOnReaders, f.reading = true, false
	source := newWorkerFeed("a/1", newMembers(machine.Member{VM: "a", Domain: "z"}, nil, nil), f.now, nil)
	list := []machine.Listing{{Worker: "w1"}}
	require.Nil(t, source.Delta(list), "a small failure domain needs no message")
	full := source.FullList().GetWorkerList()
	got, current := f.Apply("a/1", full)
	require.True(t, current)
	require.Equal(t, list, got)
	require.False(t, f.RecordSequence("a/1", 1))
	late := source.FullList().GetWorkerList()
	late.Full, late.Sequence = false, 3
	_, current = f.Apply("a/1", late)
	require.False(t, current)
	require.False(t, f.RecordSequence("a/1", 3), "the change may still arrive")
	now = now.Add(listGrace)
	require.True(t, f.RecordSequence("a/1", 3), "the full list is requested")
	require.False(t, f.RecordSequence("a/1", 3), "once per interval")
}

// Guards against a capacity from before a worker has shrunk, and a drain that is missed, because the preferred reader no
// longer hears from the store while another one does.
func TestStaleReaderDoesNotHideWhatAnotherHasRead(t *testing.T) {
	now := time.Now()
	f := newWorkerFeed("c/1", nil, func() time.Time { return now }, nil)
	f.reliesOnReaders, f.reading = true, false
	entry := func(cpu uint32, draining bool) *api.WorkerListing {
		return &api.WorkerListing{Worker: "w1", Born: 5, CpuMillis: cpu, MemoryMb: 100, Draining: draining}
	}
	list := func(sequence uint64, full bool, l *api.WorkerListing) *api.WorkerList {
		return &api.WorkerList{Sequence: sequence, Full: full, Workers: []*api.WorkerListing{l}}
	}
	got, current := f.Apply("a/1", list(1, true, entry(64_000, false)))
	require.True(t, current)
	require.Equal(t, 64_000, got[0].Capacity.CPUMillis)
	_, current = f.Apply("b/1", list(1, true, entry(64_000, false)))
	require.False(t, current, "it shows nothing else")

	got, current = f.Apply("b/1", list(2, false, entry(16_000, false)))
	require.True(t, current)
	require.Equal(t, 16_000, got[0].Capacity.CPUMillis)
	got, current = f.Apply("b/1", list(3, false, entry(64_000, true)))
	require.True(t, current)
	require.Equal(t, 64_000, got[0].Capacity.CPUMillis)
	require.True(t, got[0].Draining)

	later := entry(32_000, false)
	later.Born = 9
	got, current = f.Apply("a/1", list(2, false, later))
	require.True(t, current)
	require.Equal(t, 32_000, got[0].Capacity.CPUMillis, "another incarnation")
	require.False(t, got[0].Draining)
	now = now.Add(2 * feedTimeout)
	got, _ = f.Apply("a/1", list(3, false, entry(64_000, false)))
	require.Equal(t, 64_000, got[0].Capacity.CPUMillis, "the other reader is out of contact")
	require.False(t, got[0].Draining)
}
