package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/batch"
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
	// newest is the member's newest timestamp, samples some of the last ones, the oldest first.
	newest  batch.Contact
	samples []batch.Contact
	// ackedAt is when the newest message was sent that the member has acknowledged.
	ackedAt time.Time
	// partner is set for a member whose statuses this process needs. usedAt is when it last sent an order or refresh to
	// the member, subscribedAt when the member last subscribed to its statuses.
	partner      bool
	usedAt       time.Time
	subscribedAt time.Time
}

// candidate returns a member as a candidate for owning workers.
func candidate(m machine.Member) zone.Candidate {
	return zone.Candidate{ID: m.ID(), VM: m.VM, Domain: m.Domain, Weight: float64(max(m.CPUMillis, 1))}
}
