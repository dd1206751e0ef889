package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
)

// listsRetry is the time between requests for the lists that are in force at other members. Usually the store passes a new list to
// all within milliseconds.
const listsRetry = 100 * time.Millisecond

// requestLists requests the lists of a member at which some are in force that this process has not read: it has just started, or
// the store is out of its reach. Contact with that member does not count until then.
func (d *Daemon) requestLists(now time.Time) {
	ahead := d.members.AheadInLists()
	d.mu.Lock()
	due := len(ahead) > 0 && now.Sub(d.listsRequestedAt) >= listsRetry
	if due {
		d.listsRequestedAt = now
	}
	d.mu.Unlock()
	if due {
		held, _ := d.members.ListVersions()
		d.members.Send(ahead[rand.IntN(len(ahead))], &api.PeerMessage{Body: &api.PeerMessage_MemberListRequest{
			MemberListRequest: &api.MemberListRequest{Held: held},
		}})
	}
}

// sendLists sends the lists in force to a member that has requested them, except for those that it holds: the first as a whole
// unless it holds an earlier one, the others as changes.
func (d *Daemon) sendLists(id string, r *api.MemberListRequest) {
	var base *machine.MemberList
	for _, list := range d.members.ListsInForce() {
		if !slices.Contains(r.GetHeld(), list.Version) {
			d.members.Send(id, &api.PeerMessage{Body: &api.PeerMessage_MemberList{MemberList: encodeList(list, base)}})
		}
		base = &list
	}
}

// encodeList encodes a list as the changes of another one; nil for none.
func encodeList(list machine.MemberList, base *machine.MemberList) *api.MemberList {
	m := &api.MemberList{Version: list.Version}
	if base == nil {
		base = &machine.MemberList{}
	}
	m.Base = base.Version
	for _, info := range list.Members {
		if !slices.Contains(base.Members, info) {
			m.Members = append(m.Members, encodeMember(info))
		}
	}
	for _, vm := range list.Gone {
		if !slices.Contains(base.Gone, vm) {
			m.Gone = append(m.Gone, vm)
		}
	}
	stays := listedVMs(list)
	for _, info := range base.Members {
		if !stays[info.VM] {
			m.Removed = append(m.Removed, info.VM)
		}
	}
	for _, vm := range base.Gone {
		if !slices.Contains(list.Gone, vm) {
			m.Removed = append(m.Removed, vm)
		}
	}
	return m
}

// decodeList returns a list, which may be encoded as the changes of one of some others. ok is false if that is missing.
func decodeList(m *api.MemberList, held []machine.MemberList) (list machine.MemberList, ok bool) {
	list = machine.MemberList{Version: m.GetVersion()}
	changed := make(map[string]bool)
	for _, info := range m.GetMembers() {
		if info.GetVm() == "" || info.GetAddress() == "" {
			continue
		}
		list.Members = append(list.Members, decodeMember(info))
		changed[info.GetVm()] = true
	}
	list.Gone = slices.Clone(m.GetGone())
	for _, vm := range slices.Concat(m.GetGone(), m.GetRemoved()) {
		changed[vm] = true
	}
	if m.GetBase() == 0 {
		return list, true
	}
	i := slices.IndexFunc(held, func(l machine.MemberList) bool { return l.Version == m.GetBase() })
	if i < 0 {
		return machine.MemberList{}, false
	}
	for _, info := range held[i].Members {
		if !changed[info.VM] {
			list.Members = append(list.Members, info)
		}
	}
	for _, vm := range held[i].Gone {
		if !changed[vm] {
			list.Gone = append(list.Gone, vm)
		}
	}
	return list, true
}

// handleMemberList learns the members that another one knows, or puts a list in force that is in force there. The members of an
// earlier list than the newest one may be gone.
func (d *Daemon) handleMemberList(m *api.MemberList) {
	list, ok := decodeList(m, d.members.ListsInForce())
	if !ok || (list.Version > 0 && !d.members.AddList(list, d.o.Now())) {
		return
	}
	for _, info := range list.Members {
		d.learn(info, false)
	}
}
