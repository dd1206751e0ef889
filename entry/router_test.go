package entry

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/internal/wire"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/zone"
)

// testDaemon is a daemon without network, with a clock that the test controls.
type testDaemon struct {
	*Daemon
	now time.Time
}

func newTestDaemon(t *testing.T, members ...string) *testDaemon {
	t.Helper()
	h := &testDaemon{now: time.Unix(1000, 0)}
	d, err := New(Options{
		VM: machine.EntryVM{ID: "self"}, Domain: 1, Connections: 8, Log: newFakeLog(), Metrics: metrics.NewRegistry(),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: func() time.Time { return h.now },
		Services:    []*backend.Service{backend.NewService("s", []backend.KindSpec{{Name: "k", Deadline: time.Minute}})},
		OnViolation: func(invariant string) { panic(invariant) },
	})
	require.NoError(t, err)
	h.Daemon = d
	t.Cleanup(d.dispatcher.Close)
	d.configs.initialRead(t.Context())
	w, _ := d.fleet.Upsert(machine.WorkerSpec{ID: "w", Service: "s", Slots: 8, Address: "127.0.0.1:1"})
	w.ObserveStatus(1, 0, h.now)
	listings := []zone.Listing{{VM: machine.EntryVM{ID: "self"}, Domain: 1}}
	for i, m := range members {
		listings = append(listings, zone.Listing{VM: machine.EntryVM{ID: m}, Domain: 1})
		d.lease.Sent(m, h.now)
		d.homes.ObserveMessage(m, machine.Incarnation(i+1), h.now)
	}
	d.domain.ApplyList(listings, h.now)
	return h
}

// Guards against a home that returns from a partition or a pause and contradicts the "outcome unknown" reported by
// others.
func TestHomeWithoutLeaseWithholdsFinalAnswers(t *testing.T) {
	h := newTestDaemon(t, "a", "b")
	ids, err := h.Create(t.Context(), 1)
	require.NoError(t, err)
	id := ids[0]
	_, err = h.Submit(t.Context(), contract.Submission{Ref: contract.JobRef{ID: id}, Service: "s"}, 0)
	require.True(t, fault.IsProvenNotStarted(err), "a job without tasks is refused")
	h.now = h.now.Add(zone.SilenceLimit)
	_, err = h.Await(t.Context(), contract.JobRef{ID: id}, 0)
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
	h.lease.Acknowledged("a", h.now)
	a, err := h.Await(t.Context(), contract.JobRef{ID: id}, 0)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictRefused, a.Verdict)
	h.fence("test")
	a, err = h.Await(t.Context(), contract.JobRef{ID: id}, 0)
	require.NoError(t, err)
	require.Equal(t, "home lost", a.Reason)
}

// Guards against wrong answers for the jobs of other homes: silent but not gone, replaced, or unknown to all members.
func TestCallsForOtherHomes(t *testing.T) {
	h := newTestDaemon(t, "a")
	ask := func(home machine.Incarnation) (contract.Answer, error) {
		return h.Submit(t.Context(), contract.Submission{
			Ref: contract.JobRef{ID: contract.JobID{Domain: 1, Home: home, Seq: 1}}, Tasks: make([]contract.TaskSpec, 2),
		}, 0)
	}
	h.now = h.now.Add(zone.SilenceLimit)
	_, err := ask(1)
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err), "a silent home is not proven gone")
	forgotten, err := ask(99)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictFailed, forgotten.Verdict)
	require.Equal(t, contract.OutcomeUnknown, forgotten.Reports[0].Outcome)
	h.homes.ObserveMessage("a", 11, h.now)
	for range 2 {
		a, err := ask(1)
		require.NoError(t, err)
		require.Equal(t, contract.VerdictFailed, a.Verdict)
		require.Len(t, a.Reports, 2)
		require.Equal(t, contract.OutcomeUnknown, a.Reports[1].Outcome)
	}
}

// Guards against calls that are forwarded in a loop between VMs or failure domains.
func TestForwardingIsBounded(t *testing.T) {
	h := newTestDaemon(t, "a")
	h.peers.applyList([]platform.VM{{ID: "b", Kind: platform.KindEntry, Domain: 2}})
	defer h.peers.close()
	id := contract.JobID{Domain: 2, Home: 5, Seq: 1}
	_, err := h.Await(withHops(t.Context(), maxHops), contract.JobRef{ID: id}, 0)
	require.ErrorContains(t, err, "forwarded 4 times")
}

// Guards against a second start of a handed-over job because a part arrives twice, out of order, or at an incarnation
// that it was not addressed to.
func TestHandOverPartsApplyOnce(t *testing.T) {
	h := newTestDaemon(t, "a")
	waiting := func(seq uint64) *api.HandOverJob {
		return &api.HandOverJob{RemainingMs: 60000, Job: wire.SubmissionTo(contract.Submission{
			Ref: contract.JobRef{ID: contract.JobID{Domain: 1, Home: 1, Seq: seq}}, Service: "s",
			Tasks: []contract.TaskSpec{{Kind: "k"}},
		}, 0)}
	}
	part := func(n uint32, complete bool, jobs ...*api.HandOverJob) *api.HandOver {
		return &api.HandOver{
			Incarnation: 1, Part: n, Successor: uint64(h.o.VM.Incarnation), Waiting: jobs,
			Homes: []*api.HandOverHome{{Incarnation: 1, Minted: 10, Complete: complete}},
		}
	}
	require.Error(t, h.adopt("a", part(2, false)))
	require.NoError(t, h.adopt("a", part(1, false)))
	require.NoError(t, h.adopt("a", part(2, false, waiting(1))))
	require.NoError(t, h.adopt("a", part(2, false, waiting(2))), "a repeated part is acknowledged and not applied")
	wrong := part(3, true)
	wrong.Successor++
	require.Error(t, h.adopt("a", wrong))
	require.Equal(t, 1, h.table.Unfinished())
	require.NoError(t, h.adopt("a", part(3, true)))
	a, err := h.Await(t.Context(), contract.JobRef{ID: contract.JobID{Domain: 1, Home: 1, Seq: 1}}, 0)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictPending, a.Verdict)
	a, err = h.Await(t.Context(), contract.JobRef{ID: contract.JobID{Domain: 1, Home: 1, Seq: 2}}, 0)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictRefused, a.Verdict)
}

// Guards against a refused submission whose late copy is accepted and run.
func TestRefusalBindsLateCopies(t *testing.T) {
	h := newTestDaemon(t)
	ids, err := h.Create(t.Context(), 1)
	require.NoError(t, err)
	good := contract.Submission{
		Ref: contract.JobRef{ID: ids[0]}, Service: "s", Tasks: []contract.TaskSpec{{Kind: "k"}},
	}
	bad := good
	bad.Tasks = nil
	_, err = h.Submit(t.Context(), bad, 0)
	require.True(t, fault.IsProvenNotStarted(err))
	a, err := h.Submit(t.Context(), good, 0)
	require.NoError(t, err)
	require.Equal(t, contract.VerdictRefused, a.Verdict)
	require.Zero(t, h.table.Unfinished())
}

// Guards against replies that reach the wrong request: late, repeated, or from another VM than the one that was asked.
func TestRepliesReachOnlyTheirRequest(t *testing.T) {
	h := newTestDaemon(t, "a")
	reply := make(chan *api.Response, 1)
	h.peers.pending[1] = pendingRequest{vm: "a", reply: reply}
	h.peers.reply("b", &api.Response{Id: 1})
	h.peers.reply("a", &api.Response{Id: 2})
	require.Empty(t, reply)
	h.peers.reply("a", &api.Response{Id: 1})
	h.peers.reply("a", &api.Response{Id: 1})
	require.Len(t, reply, 1)
}

// Guards against idle grants that are used after a pause longer than their TTL.
func TestPauseIsDetected(t *testing.T) {
	var p pauseDetector
	now := time.Unix(1000, 0)
	pauses := 0
	stale := func(at time.Time) bool { return p.observe(at, func(time.Duration) { pauses++ }) }
	require.False(t, stale(now))
	require.False(t, stale(now.Add(pauseThreshold)))
	require.True(t, stale(now.Add(3*pauseThreshold)))
	require.True(t, stale(now.Add(3*pauseThreshold)), "the grants from before the pause are still held")
	require.Equal(t, 1, pauses)
	p.grantsDropped()
	require.False(t, stale(now.Add(3*pauseThreshold)))
}

// Guards against a tombstone that is lost because the log was unavailable when its home stopped, and against a new VM
// that does not learn of it from the log.
func TestSuccessorAppendsTombstoneAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h, fresh := newTestDaemon(t, "a"), newTestDaemon(t)
		l := h.o.Log.(*fakeLog)
		fresh.tombstones.d.o.Log = l
		l.set(func(l *fakeLog) { l.down = true })
		h.tombstones.start(ctx)
		fresh.tombstones.start(ctx)
		h.receiveTombstone(&api.Closure{
			Incarnation: 1, Vm: "a", SuccessorIncarnation: uint64(h.o.VM.Incarnation), SuccessorVm: "self", Domain: 1,
			Complete: true, Unlogged: true,
		})
		time.Sleep(5 * time.Second)
		require.Empty(t, l.streams[tombstoneStream])
		require.Equal(t, zone.HomeUnknown, fresh.homes.Locate(1, fresh.now).State)
		l.set(func(l *fakeLog) { l.down = false })
		time.Sleep(tombstoneReadInterval + 5*time.Second)
		require.Len(t, l.streams[tombstoneStream], 1)
		require.Equal(t, h.o.VM.Incarnation, fresh.homes.Locate(1, fresh.now).Incarnation)
		cancel()
		h.tombstones.wait()
		fresh.tombstones.wait()
	})
}

// Guards against trying the same member of another failure domain first at each attempt when its replies are lost (soak
// seed 118: no answer after 12 attempts).
func TestForwardTargetsRotate(t *testing.T) {
	h := newTestDaemon(t)
	h.peers.applyList([]platform.VM{
		{ID: "x", Kind: platform.KindEntry, Domain: 2}, {ID: "y", Kind: platform.KindEntry, Domain: 2},
		{ID: "z", Kind: platform.KindEntry, Domain: 2},
	})
	first := make(map[string]bool)
	for range 50 {
		targets := h.targets(contract.JobID{Domain: 2, Home: 9, Seq: 1})
		require.NotEmpty(t, targets)
		first[targets[0]] = true
	}
	require.Len(t, first, 3)
}

// Guards against an isolated member that reports the jobs of a planned stop as lost because the tombstone has not
// reached it (soak seeds 51 and 110).
func TestIsolatedMemberDoesNotReportJobsLost(t *testing.T) {
	h := newTestDaemon(t, "a", "b")
	id := contract.JobID{Domain: 1, Home: 77, Seq: 1}
	h.homes.MarkGone("stopped", id.Home, h.now)
	_, _, err := h.locate(t.Context(), id)
	require.Equal(t, fault.JobLost.FullName(), fault.Code(err))
	h.now = h.now.Add(zone.SilenceLimit)
	_, _, err = h.locate(t.Context(), id)
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err))
	_, _, err = h.locate(t.Context(), contract.JobID{Domain: 1, Home: 78, Seq: 1})
	require.Equal(t, fault.Unavailable.FullName(), fault.Code(err), "a home that no member has reported yet")
}
