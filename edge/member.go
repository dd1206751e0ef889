package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// member is what this process knows of another one. The lock of Members guards it.
type member struct {
	info machine.Member
	// id is the ID of info.
	id   string
	peer *link.Peer
	// heard is when the last message came from this incarnation; zero if none has.
	heard       time.Time
	live        bool
	ownsNothing bool
	leaving     bool
	desired     uint64
	// stamp is the newest time that the member has sent of its own clock.
	stamp uint64
}

// departure is a process that is not live any more, and when it was last heard.
type departure struct {
	id    string
	heard time.Time
}

// candidate returns a member as an owner of workers.
func candidate(m machine.Member) zone.Candidate {
	return zone.Candidate{ID: m.ID(), VM: m.VM, Domain: m.Domain, Weight: float64(max(m.CPUMillis, 1))}
}
