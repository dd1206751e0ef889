package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
)

// Guards against a job of a live caller that is ended for an announcement which was delayed by seconds: dated by its arrival, the
// other member's submission passes for the later one.
func TestDelayedAnnouncementIsDatedByItsSending(t *testing.T) {
	m := newUnconnectedMembers()
	defer m.Close()
	other := machine.Member{VM: "edge", Incarnation: 1, Address: "a"}
	start := time.Now()
	m.Learn(other, true)
	m.RecordContact(other.ID(), "edge", start)
	const first, transit = 9_000_000, 3 * time.Millisecond
	arrive := func(sent, delay time.Duration) {
		m.UpdateStatus(other.ID(), "edge", false, false, 0, first+uint64(sent.Milliseconds()), start.Add(sent+delay))
	}
	sent := time.Duration(0)
	for ; sent < 10*originWindow; sent += statusInterval {
		arrive(sent, transit+sent%(7*statusInterval))
	}
	// A cut delays the next messages, which arrive in order.
	const delay = 3 * time.Second
	arrive(sent, delay)
	announced := sent + statusInterval/2
	now := start.Add(announced + delay)
	arrive(announced, delay)
	list := &api.HeldJobs{StampMs: first + uint64(announced.Milliseconds()), Jobs: []*api.HeldJob{{Job: "j", AgeMs: 50}}}
	jobs := decodeHeldJobs(other.ID(), list, now, m.SentAt(other.ID(), list.GetStampMs(), now))
	require.Len(t, jobs, 1)
	require.Equal(t, now, jobs[0].HeardAt)
	accepted := start.Add(announced - 50*time.Millisecond)
	require.WithinDuration(t, accepted, jobs[0].Accepted, transit)
}
