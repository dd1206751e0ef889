package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

// slotDirectory knows the granter of each worker and carries demands, grants and returns between this VM's lanes and
// the granters. mu guards the map of granters; each granter has its own lock.
type slotDirectory struct {
	d *Daemon

	mu       sync.Mutex
	granters map[string]*zone.Granter
}

func newSlotDirectory(d *Daemon) *slotDirectory {
	return &slotDirectory{d: d, granters: make(map[string]*zone.Granter)}
}

func (s *slotDirectory) granter(service string) *zone.Granter {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.granters[service]
	if !ok {
		g = zone.NewGranter(uint64(s.d.o.VM.Incarnation))
		s.granters[service] = g
	}
	return g
}

func (s *slotDirectory) all() map[string]*zone.Granter {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]*zone.Granter, len(s.granters))
	for name, g := range s.granters {
		out[name] = g
	}
	return out
}

// reassign takes over the workers whose granter this VM is now, and drops the others.
func (s *slotDirectory) reassign() {
	live := s.d.domain.Live()
	mine := make(map[machine.WorkerID]bool)
	for _, w := range s.d.fleet.All() {
		spec := w.Spec()
		vm, ok := zone.Choose(string(spec.ID), live)
		if !ok || vm.ID != s.d.o.VM.ID {
			continue
		}
		mine[spec.ID] = true
		usable := w.UsableSlots(s.d.o.Now())
		s.granter(spec.Service).SetWorker(spec.ID, usable, w.Speed(), usable == 0)
	}
	for _, g := range s.all() {
		g.Retain(func(id machine.WorkerID) bool { return mine[id] })
	}
}

// Demand implements dispatch.SlotBroker. The own granter is asked first, without a message.
func (s *slotDirectory) Demand(dm contract.SlotDemand) {
	now := s.d.o.Now()
	self := s.d.o.VM.ID
	own := s.granter(dm.Service).Demand(self, dm.Short, dm.Long, dm.OldestWait, now)
	granted := 0
	for _, a := range own {
		granted += a.Slots
	}
	s.deliver(dm.Service, own)
	if granted > 0 {
		// The lane has stated its remaining demand after taking the slots.
		return
	}
	s.demandPeers(dm)
}

// demandPeers asks each other member for an equal part.
func (s *slotDirectory) demandPeers(dm contract.SlotDemand) {
	var others []string
	for _, vm := range s.d.domain.Live() {
		if vm.ID != s.d.o.VM.ID {
			others = append(others, vm.ID)
		}
	}
	if len(others) == 0 {
		return
	}
	part := func(n int) uint32 { return uint32((n + len(others) - 1) / len(others)) }
	msg := &api.PeerMessage{Body: &api.PeerMessage_Demand{Demand: &api.Demand{
		Service: dm.Service, ShortTasks: part(dm.Short), LongTasks: part(dm.Long),
		OldestWaitMs: uint32(dm.OldestWait.Milliseconds()),
	}}}
	for _, id := range others {
		s.d.peers.send(id, msg)
	}
}

// Return implements dispatch.SlotBroker.
func (s *slotDirectory) Return(returns []contract.SlotReturn) {
	now := s.d.o.Now()
	for _, r := range returns {
		if r.Granter == s.d.o.VM.ID {
			s.deliver(r.Service, s.granter(r.Service).Return(r.Granter, r.Worker, r.Slots, r.Long, now))
			continue
		}
		s.d.peers.send(r.Granter, &api.PeerMessage{Body: &api.PeerMessage_Return{Return: &api.Return{
			Service: r.Service, Worker: string(r.Worker), Slots: uint32(r.Slots), Epoch: r.Epoch, LongClass: r.Long,
			Unused: uint32(r.Unused),
		}}})
	}
}

// deliver hands allocations to the members that they are for.
func (s *slotDirectory) deliver(service string, allocations []zone.Allocation) {
	for _, a := range allocations {
		s.d.timeline.Record(timeline.Event{
			Kind: timeline.GrantIssued, Peer: a.Member, Worker: a.Worker, Detail: service, Count: int64(a.Slots),
		})
		s.d.count(metric.GrantsIssued, a.Slots)
		if a.Member == s.d.o.VM.ID {
			s.d.dispatcher.Grant(contract.SlotGrant{
				Service: service, Worker: a.Worker, Granter: a.Member, Slots: a.Slots, Epoch: a.Epoch, Long: a.Long,
				TTL: zone.GrantTTL,
			})
			continue
		}
		s.d.peers.send(a.Member, &api.PeerMessage{Body: &api.PeerMessage_Grant{Grant: &api.Grant{
			Service: service, Worker: string(a.Worker), Slots: uint32(a.Slots), Epoch: a.Epoch,
			TtlMs: uint32(zone.GrantTTL.Milliseconds()), LongClass: a.Long,
		}}})
	}
}

func (s *slotDirectory) demandFrom(vm string, m *api.Demand) {
	wait := time.Duration(m.GetOldestWaitMs()) * time.Millisecond
	g := s.granter(m.GetService())
	s.deliver(m.GetService(), g.Demand(vm, int(m.GetShortTasks()), int(m.GetLongTasks()), wait, s.d.o.Now()))
}

func (s *slotDirectory) returnFrom(vm string, m *api.Return) {
	g := s.granter(m.GetService())
	worker := machine.WorkerID(m.GetWorker())
	s.deliver(m.GetService(), g.Return(vm, worker, int(m.GetSlots()), m.GetLongClass(), s.d.o.Now()))
}

func (s *slotDirectory) grantFrom(vm string, m *api.Grant) {
	s.d.dispatcher.Grant(contract.SlotGrant{
		Service: m.GetService(), Worker: machine.WorkerID(m.GetWorker()), Granter: vm, Slots: int(m.GetSlots()),
		Epoch: m.GetEpoch(), Long: m.GetLongClass(), TTL: time.Duration(m.GetTtlMs()) * time.Millisecond,
	})
}

// memberGone takes back the slots that a lost member held.
func (s *slotDirectory) memberGone(vm string) {
	for service, g := range s.all() {
		s.deliver(service, g.MemberGone(vm, s.d.o.Now()))
	}
}
