package edge

import (
	"math/bits"
	"slices"
)

// The model below explores every interleaving in which the members of a deployment read the versions of the list of members, tell each
// other the lists in force and drop the earlier ones. The property is that no two members are in contact with majorities that have
// no member in common, whatever the cuts: two sides of a cut would both keep jobs.
//
// Contacts are not part of the state. Each member may be in contact with any set of others, so the property is checked for all such
// sets. A member that is known to have read a list has read it, so a state of knowledge that lags behind permits less. Not
// covered: a process that forgets the lists in a restart, and joining processes that are a majority by themselves and in
// contact with no earlier member (see TestListModelRestriction).

// modelSet is a set of members or of versions.
type modelSet uint8

func (s modelSet) has(i int) bool { return s>>i&1 == 1 }
func (s modelSet) size() int      { return bits.OnesCount8(uint8(s)) }

// newest returns the highest element, -1 for none.
func (s modelSet) newest() int { return bits.Len8(uint8(s)) - 1 }

// below returns the elements below a number.
func (s modelSet) below(i int) modelSet { return s & (1<<i - 1) }

// listClause is a clause of the protocol, or a set of them.
type listClause uint32

const (
	jointMajority listClause = 1 << iota
	unreadNotCounted
	majorityHasRead
	earlierTakenOver
	listsAgreed
	newestSettled
	startedNotCounted
	lastListClause

	everyListClause listClause = lastListClause - 1
)

// listFaults says what happens if a clause is left out.
var listFaults = map[listClause]string{
	jointMajority:     "a member counts by the newest list that it has read",
	unreadNotCounted:  "a member counts contact with one that has read a later list",
	majorityHasRead:   "a member drops the earlier lists when it has read a later one",
	earlierTakenOver:  "a member that has just started counts contact with one at which an earlier list is in force",
	newestSettled:     "a member settles a list although it has read a later one",
	startedNotCounted: "a member that has just started counts as having read a list, which it may replace",
	listsAgreed:       "a member counts one as having read a list at which another list is in force that it has not read",
}

const modelMembers = 5

// listModel is a sequence of lists. The members of the first one count by it at the start, the others have read none.
type listModel struct {
	lists   []modelSet
	clauses listClause
}

func (m *listModel) has(c listClause) bool { return m.clauses&c != 0 }

// listsOf are the lists in force at a member, and the one before which none is in force anywhere; -1 if it knows of none.
type listsOf struct {
	inForce modelSet
	settled int8
}

// listState holds the lists of all members.
type listState [modelMembers]listsOf

func (m *listModel) first() listState {
	var s listState
	for i := range s {
		s[i] = listsOf{settled: -1}
		if m.lists[0].has(i) {
			s[i] = listsOf{inForce: 1, settled: 0}
		}
	}
	return s
}

// add puts a list in force at a member, as memberLists.add does.
func (l listsOf) add(version int) listsOf {
	switch {
	case version < int(l.settled) || l.inForce.has(version):
	case l.settled < 0 && version > l.inForce.newest():
		l.inForce = 1 << version
	default:
		l.inForce |= 1 << version
	}
	return l
}

// settle drops the lists before one that is in force.
func (l listsOf) settle(version int) listsOf {
	if version > int(l.settled) && l.inForce.has(version) {
		l.inForce, l.settled = l.inForce&^(1<<version-1), int8(version)
	}
	return l
}

// covers reports whether a member counts contact with one at which some lists are in force.
func (m *listModel) covers(l listsOf, others modelSet) bool {
	missing := others &^ l.inForce
	if l.settled > 0 {
		missing &^= 1<<l.settled - 1
	}
	newest := l.inForce.newest()
	if !m.has(unreadNotCounted) && newest >= 0 {
		missing = missing.below(newest)
	}
	if !m.has(earlierTakenOver) && l.settled < 0 && newest >= 0 {
		missing &^= missing.below(newest)
	}
	return missing == 0
}

// isMajority reports whether a member that reaches a set of members, itself included, has a majority of each of its lists.
func (m *listModel) isMajority(l listsOf, reached modelSet) bool {
	for v, list := range m.lists {
		counts := l.inForce.has(v) && (m.has(jointMajority) || v == l.inForce.newest())
		if counts && 2*(reached&list).size() <= list.size() {
			return false
		}
	}
	return l.inForce != 0
}

// reachable returns the members that count for one if it is in contact with them.
func (m *listModel) reachable(s *listState, member int) modelSet {
	var set modelSet
	for i := range s {
		started := s[i].settled < 0 && s[member].settled >= 0
		if i == member || started || m.covers(s[member], s[i].inForce) {
			set |= 1 << i
		}
	}
	return set
}

// violated reports whether two members may have majorities without a common member.
func (m *listModel) violated(s *listState) bool {
	var all [modelMembers]modelSet
	for p := range s {
		all[p] = m.reachable(s, p)
	}
	for p := range s {
		for reached := modelSet(1); reached < 1<<modelMembers; reached++ {
			if !reached.has(p) || reached&^all[p] != 0 || !m.isMajority(s[p], reached) {
				continue
			}
			for q := p + 1; q < modelMembers; q++ {
				if !reached.has(q) && m.isMajority(s[q], all[q]&^reached) {
					return true
				}
			}
		}
	}
	return false
}

// events visits the states that follow.
func (m *listModel) events(s listState, visit func(n listState)) {
	for p := range s {
		set := func(l listsOf) {
			n := s
			n[p] = l
			visit(n)
		}
		for v := s[p].inForce.newest() + 1; v < len(m.lists); v++ {
			set(s[p].add(v)) // It reads the store, and may miss some versions.
		}
		for q := range s {
			for v := range m.lists {
				if s[q].inForce.has(v) {
					set(s[p].add(v)) // It gets the list from another member.
				}
			}
			switch {
			case s[p].settled < 0 && s[q].settled >= 0:
				set(s[q]) // It has just started, and takes over the lists in force at the other one.
			default:
				set(s[p].settle(int(s[q].settled)))
			}
		}
		for v := range m.lists {
			if s[p].inForce.has(v) && (v == s[p].inForce.newest() || !m.has(newestSettled)) && m.settles(&s, p, v) {
				set(s[p].settle(v))
			}
		}
	}
}

// settles reports whether a member concludes that the lists before a version can give nobody a majority.
func (m *listModel) settles(s *listState, p, version int) bool {
	if !m.has(majorityHasRead) {
		return true
	}
	var read modelSet
	for i := range s {
		agreed := !m.has(listsAgreed) || m.covers(s[p], s[i].inForce)
		alike := (s[i].settled < 0) == (s[p].settled < 0) || !m.has(startedNotCounted)
		if s[i].inForce.newest() >= version && agreed && alike {
			read |= 1 << i
		}
	}
	earlier := s[p].inForce.below(version)
	if earlier == 0 {
		earlier = 1 << version
	}
	for v, list := range m.lists {
		if earlier.has(v) && 2*(read&list).size() <= list.size() {
			return false
		}
	}
	return true
}

// explore visits all states. It returns their number and, if the property does not hold, the states that lead there.
func (m listModel) explore() (states int, violation []listState) {
	type step struct {
		state listState
		from  int
	}
	steps := []step{{state: m.first()}}
	known := map[listState]struct{}{m.first(): {}}
	for i := 0; i < len(steps); i++ {
		if m.violated(&steps[i].state) {
			for j := i; j > 0; j = steps[j].from {
				violation = append(violation, steps[j].state)
			}
			slices.Reverse(violation)
			return len(steps), violation
		}
		m.events(steps[i].state, func(n listState) {
			if _, ok := known[n]; !ok {
				known[n] = struct{}{}
				steps = append(steps, step{n, i})
			}
		})
	}
	return len(steps), nil
}
