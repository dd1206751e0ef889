package entry

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// handleSlots handles the messages of slot allocation. It reports whether m is one.
func (s *slotDirectory) handleSlots(vm string, inc machine.Incarnation, m *api.PeerMessage) bool {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_Heartbeat:
		for _, status := range b.Heartbeat.GetSlots() {
			s.statusFrom(vm, status, false)
		}
	case *api.PeerMessage_SlotStatus:
		s.statusFrom(vm, b.SlotStatus, true)
	case *api.PeerMessage_Demand:
		s.demandFrom(vm, b.Demand)
	case *api.PeerMessage_Grant:
		s.grantFrom(vm, inc, b.Grant)
	case *api.PeerMessage_Return:
		s.returnFrom(vm, b.Return)
	case *api.PeerMessage_Recall:
		s.d.dispatcher.Recall(b.Recall.GetService(), vm, int(b.Recall.GetSlots()), wait(b.Recall.GetOldestWaitMs()))
	case *api.PeerMessage_HoldingsRequest:
		s.holdingsRequested(vm, b.HoldingsRequest.GetService())
	case *api.PeerMessage_HoldingsReport:
		r := b.HoldingsReport
		st := s.service(r.GetService())
		s.deliver(st, st.granter.Report(vm, heldFrom(r.GetHeld()), r.GetReceived(), r.GetComplete(), s.d.o.Now()))
	default:
		return false
	}
	return true
}

func wait(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// statusFrom records what a member could grant and how long its work waits. A demand that waits may move to it, or
// away from it when it has nothing left.
func (s *slotDirectory) statusFrom(vm string, m *api.SlotStatus, reply bool) {
	if m == nil {
		return
	}
	now := s.d.o.Now()
	st := s.service(m.GetService())
	st.granter.Observe(vm, wait(m.GetOldestWaitMs()), now)
	if reply {
		st.planner.Hint(vm, int(m.GetFree()), now)
	} else {
		st.planner.Overheard(vm, int(m.GetFree()), now)
	}
	l, ok := s.d.dispatcher.Lane(st.name)
	if !ok {
		return
	}
	st.mu.Lock()
	var own []zone.Allocation
	if st.need.Short+st.need.Long > 0 {
		st.need = l.Demand(now)
		own = s.ask(st, now)
	}
	st.mu.Unlock()
	s.deliverAsked(st, own)
}

// demandFrom grants what is free. A member that gets nothing is told so, as it may know of free slots elsewhere.
func (s *slotDirectory) demandFrom(vm string, m *api.Demand) {
	now := s.d.o.Now()
	st := s.service(m.GetStatus().GetService())
	st.planner.Overheard(vm, int(m.GetStatus().GetFree()), now)
	allocations := st.granter.Demand(vm, zone.Need{
		Tasks:     zone.Count{Short: int(m.GetShortTasks()), Long: int(m.GetLongTasks())},
		ShortWait: wait(m.GetStatus().GetOldestWaitMs()), LongWait: wait(m.GetOldestLongWaitMs()),
		Received: m.GetReceived(),
	}, now)
	// The part asked of this granter may be none while the member waits for others.
	st.granter.Observe(vm, wait(m.GetStatus().GetOldestWaitMs()), now)
	s.deliver(st, allocations)
	st.mu.Lock()
	st.demandedAt = now
	var status *api.SlotStatus
	if len(allocations) == 0 && m.GetShortTasks()+m.GetLongTasks() > 0 && now.Sub(st.replied[vm]) >= statusReplyInterval {
		st.replied[vm] = now
		status = s.status(st)
	}
	st.mu.Unlock()
	if status != nil {
		s.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_SlotStatus{SlotStatus: status}})
	}
	s.recall(st)
}

func (s *slotDirectory) returnFrom(vm string, m *api.Return) {
	now := s.d.o.Now()
	st := s.service(m.GetStatus().GetService())
	s.deliver(st, st.granter.Return(vm, heldFrom(m.GetSlots()), now))
	s.deliver(st, st.granter.Reject(vm, heldFrom(m.GetRejected()), now))
	s.statusFrom(vm, m.GetStatus(), false)
}

func (s *slotDirectory) grantFrom(vm string, inc machine.Incarnation, m *api.Grant) {
	st := s.service(m.GetStatus().GetService())
	var grants []contract.SlotGrant
	var sum zone.Count
	for _, c := range m.GetSlots() {
		g := contract.SlotGrant{
			Service: st.name, Worker: machine.WorkerID(c.GetWorker()), Short: int(c.GetShortSlots()),
			Long: int(c.GetLongSlots()), Epoch: uint64(inc), TTL: wait(m.GetTtlMs()),
		}
		sum.Short += g.Short
		sum.Long += g.Long
		grants = append(grants, g)
	}
	s.counters.received.Inc(int64(sum.Sum()))
	st.mu.Lock()
	st.planner.Granted(vm, sum, m.GetNumber())
	st.deliver(sum, 1)
	st.mu.Unlock()
	s.d.dispatcher.Grant(st.name, grants)
	st.mu.Lock()
	st.deliver(sum, -1)
	st.mu.Unlock()
	s.statusFrom(vm, m.GetStatus(), true)
}

// holdingsRequested answers a new granter with all holdings: this VM may not know yet which workers it took over.
func (s *slotDirectory) holdingsRequested(vm, service string) {
	l, ok := s.d.dispatcher.Lane(service)
	if !ok {
		return
	}
	st := s.service(service)
	received := st.planner.Received(vm)
	s.sendReport(st, vm, zoneHeld(l.Held()), received, true)
}

// returnGroup are the returns of one service to one granter.
type returnGroup struct {
	service  string
	granter  string
	returned []zone.Held
	rejected []zone.Held
	unused   int
}

func groupReturns(returns []contract.SlotReturn, granter func(machine.WorkerID) string) []*returnGroup {
	var groups []*returnGroup
	for _, r := range returns {
		name := granter(r.Worker)
		var group *returnGroup
		for _, g := range groups {
			if g.granter == name && g.service == r.Service {
				group = g
			}
		}
		if group == nil {
			group = &returnGroup{service: r.Service, granter: name}
			groups = append(groups, group)
		}
		held := zone.Held{Worker: r.Worker, Slots: zone.Count{Short: r.Short, Long: r.Long}}
		if r.Rejected {
			group.rejected = append(group.rejected, held)
		} else {
			group.returned = append(group.returned, held)
		}
		group.unused += r.Unused
	}
	return groups
}

func zoneHeld(held []contract.HeldSlots) []zone.Held {
	out := make([]zone.Held, len(held))
	for i, h := range held {
		out[i] = zone.Held{Worker: h.Worker, Slots: zone.Count{Short: h.Short, Long: h.Long}}
	}
	return out
}

func slotCount(w machine.WorkerID, c zone.Count) *api.SlotCount {
	return &api.SlotCount{Worker: string(w), ShortSlots: uint32(c.Short), LongSlots: uint32(c.Long)}
}

func slotCounts(held []zone.Held) []*api.SlotCount {
	out := make([]*api.SlotCount, len(held))
	for i, h := range held {
		out[i] = slotCount(h.Worker, h.Slots)
	}
	return out
}

func heldFrom(counts []*api.SlotCount) []zone.Held {
	out := make([]zone.Held, len(counts))
	for i, c := range counts {
		out[i] = zone.Held{
			Worker: machine.WorkerID(c.GetWorker()),
			Slots:  zone.Count{Short: int(c.GetShortSlots()), Long: int(c.GetLongSlots())},
		}
	}
	return out
}
