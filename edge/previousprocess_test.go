package edge

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// newUnconnectedMembers returns the members as known to a process that reaches none of them.
func newUnconnectedMembers() *Members {
	dial := func(m machine.Member) *link.Peer {
		return link.NewPeer(m.VM, m.Address, link.PeerOptions{
			Dial:    func(context.Context, string) (net.Conn, error) { return nil, errors.New("no network") },
			Lamport: func() uint64 { return 0 }, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
			Metrics: metrics.NewRegistry(),
		})
	}
	return newMembers(machine.Member{VM: "self"}, dial, slog.New(slog.DiscardHandler))
}

// Guards against an owner that no home can order from any longer: an acknowledgement of its previous process is read
// after the present one has become known, and its timestamp, which starts from another random number, counts as newer
// than all later ones.
func TestTimestampOfPreviousProcessIsNotEchoedToTheNext(t *testing.T) {
	m := newUnconnectedMembers()
	defer m.Close()
	before := machine.Member{VM: "edge", Incarnation: 1, Address: "a"}
	after := machine.Member{VM: "edge", Incarnation: 2, Address: "a"}
	now := time.Now()
	m.Learn(before, true)
	m.RecordContact(before.ID(), "edge", now)
	m.UpdateStatus(before.ID(), "edge", false, false, 0, 9_000_000, now)
	m.Learn(after, true)
	m.RecordContact(after.ID(), "edge", now)
	m.RecordTimestamp(before.ID(), "edge", 9_000_100, now)
	m.UpdateStatus(after.ID(), "edge", false, false, 0, 1_000, now.Add(time.Second))
	require.EqualValues(t, 1_000, m.LastContact(after.ID(), now.Add(time.Second)).Timestamp)
}

// Guards against tasks placed at a process that is gone: its last status is handled after its successor on the VM has
// replaced it, and no later event removes its capacity.
func TestStatusOfReplacedProcessIsDropped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 2)
		defer d.close()
		daemon, before := d.daemons["edge-0-0"], d.daemons["edge-0-1"].self
		d.killDaemon("edge-0-1")
		d.startDaemon(zoneName(0), "edge-0-1")
		time.Sleep(settleTime)
		daemon.handleMessage(before, "edge-0-1", &api.PeerMessage{Body: &api.PeerMessage_PoolStatus{PoolStatus: &api.PoolStatus{
			Rooms: []*api.BackendRoom{{Backend: testBackend, FreeSlots: 5, Slots: 5}},
		}}})
		time.Sleep(settleTime)
		id, ok := daemon.capacity.Reserve(testBackend, 0, time.Second, func(id string) bool { return id != before })
		require.False(t, ok, "capacity of %s after it was replaced", id)
	})
}

// Guards against a live process that is taken for departed: the last status of its predecessor on the VM, which waited in
// the buffer of an earlier connection, is read after its own.
func TestLateStatusOfPreviousProcessDoesNotReplaceTheNext(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := newDeployment(t, 1, 2, 2)
		defer d.close()
		daemon, before := d.daemons["edge-0-0"], d.daemons["edge-0-1"].o.Self
		d.killDaemon("edge-0-1")
		after := d.startDaemon(zoneName(0), "edge-0-1")
		time.Sleep(settleTime)
		require.NotZero(t, daemon.members.LastContact(after.self, time.Now()).Timestamp)
		daemon.handle(&api.Envelope{
			FromVm: before.VM, FromIncarnation: uint64(before.Incarnation),
			Messages: []*api.PeerMessage{{Body: &api.PeerMessage_PoolStatus{PoolStatus: &api.PoolStatus{Sender: encodeMember(before)}}}},
		})
		start := time.Now()
		for time.Since(start) < settleTime && daemon.members.LastContact(after.self, time.Now()).Timestamp == 0 {
			time.Sleep(time.Millisecond)
		}
		require.Zero(t, time.Since(start), "the live process is unknown for this time")
	})
}

// Guards against a live process that is rejected for good: a late status of its predecessor was the first sign of that, so
// that it was taken for the successor.
func TestProcessReplacedByItsPredecessorReturns(t *testing.T) {
	m := newUnconnectedMembers()
	defer m.Close()
	before := machine.Member{VM: "edge", Incarnation: 1, Address: "a"}
	after := machine.Member{VM: "edge", Incarnation: 2, Address: "a"}
	now := time.Now()
	m.Learn(after, true)
	m.RecordContact(after.ID(), "edge", now)
	m.Learn(before, true)
	m.RecordContact(before.ID(), "edge", now)
	for end := now.Add(silenceTimeout); now.Before(end); now = now.Add(statusInterval) {
		m.Learn(after, true)
		m.RecordContact(after.ID(), "edge", now)
		// Acknowledgements of the live process come on the link to the other one, which has its address.
		m.RecordTimestamp(before.ID(), "edge", 1, now)
		m.Expire(now)
	}
	require.True(t, m.Current(after.ID(), "edge"))
	for range 2 {
		m.Learn(before, true)
		m.RecordContact(before.ID(), "edge", now)
	}
	require.True(t, m.Current(after.ID(), "edge"))
}
