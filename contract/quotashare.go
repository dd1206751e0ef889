package contract

import (
	"sort"

	"github.com/cicadadale/cicadadale/machine"
)

// QuotaTransfer moves a part of a team's quota from one holder to another. Total is the cumulative amount that the
// giver has transferred to the receiver, so a repeated or reordered transfer adds nothing and a later one makes up
// for a lost one.
type QuotaTransfer struct {
	Team     string
	Revision uint64
	From     machine.Incarnation
	To       machine.Incarnation
	Sequence uint64
	Total    uint64
}

// QuotaShare is a holder's part of a team's quota. Holders are processes, because a new process does not know what
// the previous one has transferred. The caller's lock guards it.
type QuotaShare struct {
	team     string
	revision uint64
	self     machine.Incarnation
	held     int
	given    map[machine.Incarnation]*givenQuota
	received map[machine.Incarnation]uint64
}

// givenQuota is the quota transferred to one receiver.
type givenQuota struct {
	sequence uint64
	total    uint64
	acked    uint64
}

// NewQuotaShare returns the share of a process at a revision of the team's quota. seeded is the initial allocation,
// held without a transfer; exactly one holder of a failure domain gets the domain's part as its initial allocation.
func NewQuotaShare(team string, revision uint64, self machine.Incarnation, seeded int) *QuotaShare {
	return &QuotaShare{
		team: team, revision: revision, self: self, held: seeded,
		given: make(map[machine.Incarnation]*givenQuota), received: make(map[machine.Incarnation]uint64),
	}
}

// Held returns the quota that the holder has.
func (s *QuotaShare) Held() int { return s.held }

// Revision returns the revision of the team's quota that the share belongs to.
func (s *QuotaShare) Revision() uint64 { return s.revision }

// Give subtracts at most n from the share and returns the transfer to send.
func (s *QuotaShare) Give(to machine.Incarnation, n int) (QuotaTransfer, bool) {
	n = min(n, s.held)
	if n <= 0 || to == s.self || to == 0 {
		return QuotaTransfer{}, false
	}
	g, ok := s.given[to]
	if !ok {
		g = &givenQuota{}
		s.given[to] = g
	}
	s.held -= n
	g.sequence++
	g.total += uint64(n)
	return s.transfer(to, g), true
}

func (s *QuotaShare) transfer(to machine.Incarnation, g *givenQuota) QuotaTransfer {
	return QuotaTransfer{
		Team: s.team, Revision: s.revision, From: s.self, To: to, Sequence: g.sequence, Total: g.total,
	}
}

// Receive adds the amount by which a transfer exceeds the earlier ones. It reports whether the transfer is addressed to
// this share and so has to be acknowledged.
func (s *QuotaShare) Receive(t QuotaTransfer) bool {
	if t.To != s.self || t.Revision != s.revision || t.Team != s.team {
		return false
	}
	if before := s.received[t.From]; t.Total > before {
		s.held += int(t.Total - before)
		s.received[t.From] = t.Total
	}
	return true
}

// Acknowledge records that the receiver has applied a transfer.
func (s *QuotaShare) Acknowledge(t QuotaTransfer) {
	if t.From != s.self || t.Revision != s.revision {
		return
	}
	if g, ok := s.given[t.To]; ok && t.Sequence > g.acked && t.Sequence <= g.sequence {
		g.acked = t.Sequence
	}
}

// Pending returns the transfers that are not acknowledged and have to be sent again.
func (s *QuotaShare) Pending() []QuotaTransfer {
	var out []QuotaTransfer
	for to, g := range s.given {
		if g.acked < g.sequence {
			out = append(out, s.transfer(to, g))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].To < out[j].To })
	return out
}

// SeededPart returns the initial allocation of a quota to the n-th of several failure domains, counted from 0. The
// parts add up to the quota.
func SeededPart(quota, n, domains int) int {
	if domains <= 0 || n < 0 || n >= domains {
		return 0
	}
	part := quota / domains
	if n < quota%domains {
		part++
	}
	return part
}
