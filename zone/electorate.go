package zone

import (
	"cmp"
	"slices"
	"time"
)

// MemberWeight is the weight of one member in an electorate. It is a multiple of the numbers of electors that may stand for the
// members of a failure domain, so that weights are whole numbers.
const MemberWeight = 6

// Elector is a member of an electorate. It stands for as many members of its failure domain as its weight says.
type Elector struct {
	Member string
	Weight int
}

// Electorate is the set of other members with a majority of which a home must be in contact to keep the runs of a job, itself
// included: all that are listed, or some of each failure domain that stand for the others. Of two parts of a deployment that
// have lost each other, at most one has a majority, and the clients of the other part submit their jobs again. An electorate
// does not change.
type Electorate struct {
	electors []Elector
	// unreachable is the weight of the members for which no elector stands.
	unreachable int
	// outside is set if the home itself is not one of the members.
	outside bool
	// others are electorates of each of which a majority is needed too.
	others []*Electorate
}

// NewElectorate returns the electorate of some members, each of which stands for itself.
func NewElectorate(members []string) *Electorate {
	electors := make([]Elector, 0, len(members))
	for _, m := range members {
		electors = append(electors, Elector{m, MemberWeight})
	}
	return NewWeightedElectorate(electors, 0)
}

// NewWeightedElectorate returns the electorate of some electors, beside which members of a weight of unreachable exist.
func NewWeightedElectorate(electors []Elector, unreachable int) *Electorate {
	electors = slices.Clone(electors)
	slices.SortFunc(electors, func(a, b Elector) int { return cmp.Compare(a.Member, b.Member) })
	return &Electorate{electors: electors, unreachable: unreachable}
}

// NewOuterElectorate returns a weighted electorate to which the home itself does not belong.
func NewOuterElectorate(electors []Elector, unreachable int) *Electorate {
	e := NewWeightedElectorate(electors, unreachable)
	e.outside = true
	return e
}

// Joint returns an electorate with a majority of which a home has one of each of the others as well. While two lists of members
// are in use, majorities of both have a member in common with those of either.
func (e *Electorate) Joint(others []*Electorate) *Electorate {
	joint := *e
	joint.others = others
	return &joint
}

// Equal reports whether two electorates have the same majorities.
func (e *Electorate) Equal(o *Electorate) bool {
	return e.unreachable == o.unreachable && e.outside == o.outside && slices.Equal(e.electors, o.electors) &&
		slices.EqualFunc(e.others, o.others, (*Electorate).Equal)
}

// Size returns the number of electors.
func (e *Electorate) Size() int { return len(e.electors) }

// Unreachable returns the weight of the members for which no elector stands.
func (e *Electorate) Unreachable() int { return e.unreachable }

// Weight returns the weight of a member, zero if it is no elector.
func (e *Electorate) Weight(member string) int {
	i, ok := slices.BinarySearchFunc(e.electors, member, func(e Elector, m string) int { return cmp.Compare(e.Member, m) })
	if !ok {
		return 0
	}
	return e.electors[i].Weight
}

// own returns the weight of the home itself.
func (e *Electorate) own() int {
	if e.outside {
		return 0
	}
	return MemberWeight
}

// ReachesHalf reports whether the home reaches at least half of the members, itself included if it counts.
func (e *Electorate) ReachesHalf(counts bool, reached func(member string) bool) bool {
	total, half := e.own()+e.unreachable, e.own()
	if !counts {
		half = 0
	}
	for _, elector := range e.electors {
		total += elector.Weight
		if reached(elector.Member) {
			half += elector.Weight
		}
	}
	for _, o := range e.others {
		if !o.ReachesHalf(counts, reached) {
			return false
		}
	}
	return 2*half >= total
}

// MajorityContact returns the latest time at which the home was in contact with a majority, also of each of the other
// electorates: now if it needs no other member, the zero time if the electors are too few. contact returns the time of the last
// contact with a member, and false for one that has left or was dropped since.
func (e *Electorate) MajorityContact(now time.Time, contact func(member string) (time.Time, bool)) time.Time {
	at := e.majorityContact(now, contact)
	for _, o := range e.others {
		if other := o.MajorityContact(now, contact); other.Before(at) {
			at = other
		}
	}
	return at
}

// majorityContact returns the latest time at which the home was in contact with a majority, the other electorates aside.
func (e *Electorate) majorityContact(now time.Time, contact func(member string) (time.Time, bool)) time.Time {
	type weighted struct {
		at     time.Time
		weight int
	}
	contacts := make([]weighted, 0, len(e.electors))
	total := e.own() + e.unreachable
	for _, elector := range e.electors {
		if at, ok := contact(elector.Member); ok {
			contacts = append(contacts, weighted{at, elector.Weight})
			total += elector.Weight
		}
	}
	reached := e.own()
	if total == 0 || 2*reached > total {
		return now
	}
	slices.SortFunc(contacts, func(a, b weighted) int { return b.at.Compare(a.at) })
	for _, c := range contacts {
		reached += c.weight
		if 2*reached > total {
			return c.at
		}
	}
	return time.Time{}
}
