package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

const (
	// listQuiet is the time without a change after which a list that was read from the store is put in force. listDelay is the
	// longest time from the first change on, and the time that the last list in force has to settle. So few lists of a series of
	// changes come into force, as when many VMs restart.
	listQuiet = 300 * time.Millisecond
	listDelay = 3 * time.Second
	// maxInForce is the number of lists in force from which on no other is put in force that was read from the store: members that
	// are no majority settle none.
	maxInForce = 4
	// firstSettling is the time for which the list has not changed when the processes of a deployment that starts agree on it.
	firstSettling = time.Second
)

// memberLists holds the lists of members in force at this process: those of each of which it needs a majority. A list stays in
// force until the members that count by it can no longer be a majority, since two parts of a deployment may have read different
// ones. The lock of Members guards it.
type memberLists struct {
	// inForce holds the lists by version, the oldest first. At least the newest one stays. changedAt is when the newest one was added.
	inForce   []listInForce
	changedAt time.Time
	// settled is the version of the list before which no other is in force anywhere, as far as this process knows; zero if it knows
	// of none. A process that has just started does not know which earlier lists others have read.
	settled uint64
	// pending is the last list that was read and is not yet in force, since when one is pending, readAt when it was read.
	pending              machine.MemberList
	pendingSince, readAt time.Time
	// gone holds the VMs that an operator has declared gone, by the newest list that was read.
	gone   []string
	goneAt uint64
	// left holds the VMs of members that were about to leave when they were dropped.
	left map[string]bool
}

// listInForce is a list and the set of its VMs.
type listInForce struct {
	machine.MemberList
	vms map[string]bool
}

// read records a list from the store. It comes into force at once if no list is settled.
func (l *memberLists) read(list machine.MemberList, now time.Time) {
	l.recordGone(list)
	if l.settled == 0 {
		l.add(list, now)
		return
	}
	if list.Version <= max(l.newest().Version, l.pending.Version) {
		return
	}
	if l.pending.Version == 0 {
		l.pendingSince = now
	}
	l.pending, l.readAt = list, now
}

// recordGone records the VMs that an operator has declared gone. That holds at once, also before the list is in force.
func (l *memberLists) recordGone(list machine.MemberList) {
	if list.Version >= l.goneAt {
		l.gone, l.goneAt = list.Gone, list.Version
	}
}

// adopt puts the pending list in force if it is due.
func (l *memberLists) adopt(now time.Time) {
	if l.pending.Version == 0 || len(l.inForce) >= maxInForce {
		return
	}
	quiet := now.Sub(l.readAt) >= listQuiet && len(l.inForce) == 1
	if quiet || now.Sub(l.pendingSince) >= listDelay {
		l.adoptNow(now)
	}
}

// adoptNow puts the pending list in force.
func (l *memberLists) adoptNow(now time.Time) {
	if l.pending.Version > l.newest().Version {
		l.add(l.pending, now)
	}
	l.pending = machine.MemberList{}
}

// add puts a list in force. It reports whether that is the newest one. While no list is settled, as when a deployment starts, it
// takes the place of the earlier ones.
func (l *memberLists) add(list machine.MemberList, now time.Time) (newest bool) {
	if list.Version == 0 || list.Version < l.settled {
		return false
	}
	l.recordGone(list)
	i, held := slices.BinarySearchFunc(l.inForce, list.Version, compareVersion)
	newest = i == len(l.inForce) || (held && i == len(l.inForce)-1)
	switch added := (listInForce{list, listedVMs(list)}); {
	case held:
	case newest && l.settled == 0:
		l.inForce, l.changedAt = []listInForce{added}, now
	default:
		l.inForce = slices.Insert(l.inForce, i, added)
		if newest {
			l.changedAt = now
		}
	}
	return newest
}

func compareVersion(list listInForce, version uint64) int { return cmp.Compare(list.Version, version) }

// holds reports whether the list of a version is in force here.
func (l *memberLists) holds(version uint64) bool {
	_, held := slices.BinarySearchFunc(l.inForce, version, compareVersion)
	return held
}

// covers reports whether this process needs a majority of each of the lists that are in force at a member, unless they are in
// force at no majority any more.
func (l *memberLists) covers(versions []uint64) bool {
	for _, v := range versions {
		if v >= l.settled && !l.holds(v) {
			return false
		}
	}
	return true
}

// settle drops the lists before one that is in force here.
func (l *memberLists) settle(version uint64) {
	i, held := slices.BinarySearchFunc(l.inForce, version, compareVersion)
	if !held || version <= l.settled {
		return
	}
	l.inForce, l.settled = slices.Clone(l.inForce[i:]), version
	if len(l.inForce) == 1 {
		clear(l.left)
	}
}

// takeOver makes the lists in force those of another member, once this process has them all. No settling rests on the lists that it
// has read since its start, so these need not stay in force; the newest one is pending.
func (l *memberLists) takeOver(versions []uint64, settled uint64, now time.Time) {
	for _, v := range versions {
		if !l.holds(v) {
			return
		}
	}
	newest := l.newest()
	l.inForce = slices.DeleteFunc(l.inForce, func(list listInForce) bool { return !slices.Contains(versions, list.Version) })
	l.settled = settled
	if len(l.inForce) == 1 {
		clear(l.left)
	}
	l.read(newest, now)
}

// versions returns the versions of the lists in force.
func (l *memberLists) versions() []uint64 {
	var versions []uint64
	for _, list := range l.inForce {
		versions = append(versions, list.Version)
	}
	return versions
}

// newest returns the newest list, or an empty one.
func (l *memberLists) newest() machine.MemberList {
	if len(l.inForce) == 0 {
		return machine.MemberList{}
	}
	return l.inForce[len(l.inForce)-1].MemberList
}

// ReadList records a list from the store.
func (m *Members) ReadList(list machine.MemberList, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists.read(list, now)
}

// AddList puts a list in force that is in force at another member, and reports whether it is the newest one that is known.
func (m *Members) AddList(list machine.MemberList, now time.Time) (newest bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists.add(list, now)
}

// ListsInForce returns the lists of each of which this process needs a majority, the oldest first.
func (m *Members) ListsInForce() []machine.MemberList {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lists []machine.MemberList
	for _, list := range m.lists.inForce {
		lists = append(lists, list.MemberList)
	}
	return lists
}

// ListVersions returns the versions of the lists in force, and the one before which none is in force at any member.
func (m *Members) ListVersions() (inForce []uint64, settled uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists.versions(), m.lists.settled
}

// RecordLists records which lists are in force at a process, as its status says. A list that is pending here comes into force
// with it, unless the process has just started.
func (m *Members) RecordLists(id, vm string, inForce []uint64, settled uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.byVM[vm]; ok && e.id == id {
		e.lists, e.listsSettled = inForce, settled
	}
	if settled != 0 && slices.Contains(inForce, m.lists.pending.Version) {
		m.lists.adoptNow(now)
	}
}

// coversLists reports whether no list is in force at a member that this process would have to need a majority of. The list of a
// member that has just started counts for nothing if this process knows a settled one, which that member takes over. It expects
// m.mu to be held.
func (m *Members) coversLists(e *member) bool {
	started := e.listsSettled == 0 && m.lists.settled != 0
	return started || m.lists.covers(e.lists)
}

// AheadInLists returns the live processes at which lists are in force that this process has not read.
func (m *Members) AheadInLists() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for _, e := range m.byVM {
		if e.live && !m.coversLists(e) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// SettleLists puts a list in force that was read a while ago, and drops the lists that can give nobody a majority any more: all live
// members count by the newest one, and these are a majority of each earlier list. A member that counts by earlier lists alone does
// not count contact with them, so that it has no majority. One that has dropped lists tells the others, which need not conclude it
// themselves.
func (m *Members) SettleLists(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists.adopt(now)
	for _, e := range m.byVM {
		switch {
		case !e.live || e.listsSettled <= m.lists.settled:
		case m.lists.settled == 0:
			m.lists.takeOver(e.lists, e.listsSettled, now)
		default:
			m.lists.settle(e.listsSettled)
		}
	}
	newest := len(m.lists.inForce) - 1
	if newest < 0 || (m.lists.settled == 0 && now.Sub(m.lists.changedAt) < firstSettling) {
		return
	}
	version := m.lists.inForce[newest].Version
	if version != m.lists.settled && m.allCountBy(version) && m.majoritiesCountBy(version, m.lists.inForce[:max(newest, 1)]) {
		m.logger.Info("list of members is settled; earlier ones are no longer in force", "version", version, "dropped", newest)
		m.lists.settle(version)
	}
}

// allCountBy reports whether all live members that have read any list count by the newest list of this process. In large
// deployments a few members of a failure domain stand for all of them, so a majority would not be enough. It expects m.mu to be held.
func (m *Members) allCountBy(version uint64) bool {
	for _, e := range m.byVM {
		if e.live && !e.leaving && len(e.lists) > 0 && !m.countsBy(e, version) {
			return false
		}
	}
	return true
}

// countsBy reports whether a member counts by a list, and by none that this process has not read: others may be a majority of that
// one. A member that has just started may replace its list, so it counts only for others that have. It expects m.mu to be held.
func (m *Members) countsBy(e *member, version uint64) bool {
	alike := (e.listsSettled == 0) == (m.lists.settled == 0)
	return alike && slices.Contains(e.lists, version) && m.lists.covers(e.lists)
}

// majoritiesCountBy reports whether a majority of the members of each of some lists counts by a later one. It expects m.mu to be held.
func (m *Members) majoritiesCountBy(version uint64, lists []listInForce) bool {
	for _, list := range lists {
		members, count := 0, 0
		for vm := range list.vms {
			e, known := m.byVM[vm]
			switch {
			case vm == m.self.VM && m.leaving, vm != m.self.VM && m.hasLeft(vm):
				continue
			case vm == m.self.VM, known && e.live && m.countsBy(e, version):
				count++
			}
			members++
		}
		if 2*count <= members && members > 0 {
			return false
		}
	}
	return true
}

// hasLeft reports whether a member counts for nothing by its own word, or by that of an operator as long as it is not heard. It
// expects m.mu to be held.
func (m *Members) hasLeft(vm string) bool {
	e, known := m.byVM[vm]
	switch {
	case known && e.leaving:
		return true
	case known && e.live:
		return false
	default:
		return (!known && m.lists.left[vm]) || slices.Contains(m.lists.gone, vm)
	}
}

// SetLeaving records that this process is about to leave and counts for nothing.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// listedVMs returns the VMs of a list.
func listedVMs(list machine.MemberList) map[string]bool {
	vms := make(map[string]bool, len(list.Members))
	for _, info := range list.Members {
		vms[info.VM] = true
	}
	return vms
}

// isKnownSet reports whether some VMs are those of this process and all others that are known, members that have left aside. It
// expects m.mu to be held.
func (m *Members) isKnownSet(vms map[string]bool) bool {
	if !vms[m.self.VM] {
		return false
	}
	for vm := range vms {
		if _, known := m.byVM[vm]; vm != m.self.VM && !known && !m.hasLeft(vm) {
			return false
		}
	}
	for vm := range m.byVM {
		if !vms[vm] && !m.hasLeft(vm) {
			return false
		}
	}
	return true
}
