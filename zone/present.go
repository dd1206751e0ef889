package zone

import "sort"

// Present returns the ids of the other members that may hold slots and can be expected to answer: all that are
// neither suspect nor gone. Members without any contact yet are included, so that an entry VM that has just started
// does not grant slots that others hold.
func (d *FailureDomain) Present() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, m := range d.members {
		if id == d.self || m.state == MemberSuspect || m.state == MemberGone {
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
