package edge

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// majorityLoss is the time since the last contact with a majority of the members from which this process counts as cut off.
const majorityLoss = time.Second

// UpdateElectorate chooses the members on which jobs depend: all that are listed and not about to leave, whether or not they are
// in contact, since the callers of a part of the deployment that is cut off may turn to the rest. In large deployments the
// contacts in other failure domains stand for the members there. While several lists are in force, jobs depend on each.
func (m *Members) UpdateElectorate() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.electorate = m.nextElectorate()
}

// nextElectorate returns the present electorate unless it has changed. It expects m.mu to be held.
func (m *Members) nextElectorate() *zone.Electorate {
	next := m.electorateOf(maps.Keys(m.byVM), m.leaving)
	var others []*zone.Electorate
	for _, list := range m.lists.inForce {
		if m.isKnownSet(list.vms) {
			continue
		}
		other := m.electorateOf(maps.Keys(list.vms), m.leaving || !list.vms[m.self.VM])
		if !slices.ContainsFunc(others, other.Equal) {
			others = append(others, other)
		}
	}
	if len(others) > 0 {
		next = next.Joint(others)
	}
	if next.Equal(m.electorate) {
		return m.electorate
	}
	return next
}

// domainElectors counts the other members of a failure domain that are not leaving, and the electors among them.
type domainElectors struct{ members, electors int }

// weight returns the weight of each elector.
func (d domainElectors) weight() int { return d.members * zone.MemberWeight / d.electors }

// electorateOf returns the electorate of some VMs, of which this process is one unless it is outside. Nobody stands for those that
// have been dropped. It expects m.mu to be held.
func (m *Members) electorateOf(vms iter.Seq[string], outside bool) *zone.Electorate {
	domains := make(map[string]domainElectors)
	unreachable := 0
	var chosen []*member
	for vm := range vms {
		e, known := m.byVM[vm]
		switch {
		case vm == m.self.VM || m.hasLeft(vm):
		case !known:
			unreachable += zone.MemberWeight
		default:
			d := domains[e.info.Domain]
			d.members++
			if m.isElector(e) {
				d.electors++
				chosen = append(chosen, e)
			}
			domains[e.info.Domain] = d
		}
	}
	for _, d := range domains {
		if d.electors == 0 {
			unreachable += d.members * zone.MemberWeight
		}
	}
	electors := make([]zone.Elector, 0, len(chosen))
	for _, e := range chosen {
		electors = append(electors, zone.Elector{Member: e.info.VM, Weight: domains[e.info.Domain].weight()})
	}
	if outside {
		return zone.NewOuterElectorate(electors, unreachable)
	}
	return zone.NewWeightedElectorate(electors, unreachable)
}

// isElector reports whether jobs depend on contact with a member. It expects m.mu to be held.
func (m *Members) isElector(e *member) bool { return !e.leaving && m.isContact(e) }

// Electorate returns the members on which a job that is accepted now depends.
func (m *Members) Electorate() *zone.Electorate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.electorate
}

// MajorityContact returns the latest time at which this process was in contact with a majority of an electorate.
func (m *Members) MajorityContact(e *zone.Electorate, now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.majorityContact(e, now)
}

// majorityContact expects m.mu to be held.
func (m *Members) majorityContact(e *zone.Electorate, now time.Time) time.Time {
	return e.MajorityContact(now, func(vm string) (time.Time, bool) {
		// A process that has replaced the one at acceptance stands in for it, since the caller may turn to it. One that has not
		// acknowledged anything yet is not reached.
		known, ok := m.byVM[vm]
		if !ok || m.hasLeft(vm) {
			return time.Time{}, !m.hasLeft(vm)
		}
		return m.countedAt(known), true
	})
}

// countedAt returns the time of the last contact with a member that counts. None does while a list is in force at the member that
// this process has not read: the member may be part of a majority of that list. It expects m.mu to be held.
func (m *Members) countedAt(e *member) time.Time {
	if m.coversLists(e) {
		e.countedAt = earlier(e.reachedAt(), e.statusAt.Add(statusLimit))
	}
	return e.countedAt
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// CanHaveMajority reports whether a silent process may be in contact with a majority of the members: unless it has been replaced,
// or this process reaches at least half of them, itself included unless it is stopping. One that was dropped from the list may be
// alive, and counts by the list before as long as it has not read the new one.
func (m *Members) CanHaveMajority(id string, stopping bool, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, known := m.byVM[machine.VMOf(id)]; known && e.id != id {
		return false
	}
	return !m.nextElectorate().ReachesHalf(!stopping, func(vm string) bool {
		e, known := m.byVM[vm]
		return known && e.live && now.Sub(m.countedAt(e)) <= reachLimit
	})
}

// IsCutOff reports whether this process has had no contact with a majority of the members for some time.
func (m *Members) IsCutOff(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.majorityContact(m.electorate, now)) > majorityLoss
}
