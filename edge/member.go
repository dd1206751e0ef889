package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// MemberInfo is a process that takes part, and where its peers reach it.
type MemberInfo struct {
	VM          string              `json:"vm"`
	Incarnation machine.Incarnation `json:"incarnation"`
	Address     string              `json:"address"`
	Domain      string              `json:"domain"`
	CPUMillis   int                 `json:"cpu_millis"`
}

// ID names the process among all that ever run on its VM.
func (m MemberInfo) ID() string { return m.VM + "/" + m.Incarnation.String() }

// member is what this process knows of another one. The lock of Members guards it.
type member struct {
	info MemberInfo
	peer *link.Peer
	// heard is when the last message came from this incarnation; zero if none has.
	heard       time.Time
	live        bool
	ownsNothing bool
	leaving     bool
	desired     uint64
}

// candidate returns the member as an owner of workers.
func (m MemberInfo) candidate() zone.Candidate {
	return zone.Candidate{ID: m.ID(), VM: m.VM, Domain: m.Domain, Weight: float64(max(m.CPUMillis, 1))}
}
