package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// member is the state of another process as known to this one. The lock of Members guards it.
type member struct {
	info machine.Member
	// id is the ID of info.
	id   string
	peer *link.Peer
	// lastContact is when the last message of this incarnation arrived; zero if none has.
	lastContact time.Time
	live        bool
	ownsNothing bool
	leaving     bool
	// desiredVersion is the version of the member's desired state.
	desiredVersion uint64
	// timestamp is the member's newest timestamp; the member reads it from its own clock.
	timestamp uint64
}

// departure is a process that is no longer live, and when it was last contacted.
type departure struct {
	id          string
	lastContact time.Time
}

// candidate returns a member as a candidate for owning workers.
func candidate(m machine.Member) zone.Candidate {
	return zone.Candidate{ID: m.ID(), VM: m.VM, Domain: m.Domain, Weight: float64(max(m.CPUMillis, 1))}
}
