package zone

import (
	"slices"
	"time"
)

// Electorate is the set of other members that a home has been in contact with since it accepted a job. The home keeps the job's runs
// only while it is in contact with a majority of them, itself included: of two parts of a deployment that have lost each
// other, at most one has that, and the clients of the other part submit their jobs again. An electorate does not change.
type Electorate struct {
	members []string
}

// NewElectorate returns the electorate of some members.
func NewElectorate(members []string) *Electorate {
	members = slices.Clone(members)
	slices.Sort(members)
	return &Electorate{members: members}
}

// Size returns the number of members.
func (e *Electorate) Size() int { return len(e.members) }

// Includes reports whether an electorate has all members of another one.
func (e *Electorate) Includes(o *Electorate) bool {
	for _, id := range o.members {
		if !e.Has(id) {
			return false
		}
	}
	return true
}

// Has reports whether a member belongs to the electorate.
func (e *Electorate) Has(member string) bool {
	_, ok := slices.BinarySearch(e.members, member)
	return ok
}

// MajorityContact returns the latest time at which the home was in contact with a majority: now if it needs no other member.
// contact returns the time of the last contact with a member, and false for one that has left or was replaced since.
func (e *Electorate) MajorityContact(now time.Time, contact func(member string) (time.Time, bool)) time.Time {
	var contacts []time.Time
	for _, id := range e.members {
		if at, ok := contact(id); ok {
			contacts = append(contacts, at)
		}
	}
	// A majority of n+1 members is the home and at least half of the n others, rounded up.
	needed := (len(contacts) + 1) / 2
	if needed == 0 {
		return now
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[needed-1]
}
