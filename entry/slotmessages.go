package entry

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// handleSlots handles the messages of slot allocation. It returns false for other messages.
func (s *slotBroker) handleSlots(vm string, inc machine.Incarnation, m *api.PeerMessage) bool {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_Heartbeat:
		for _, status := range b.Heartbeat.GetSlots() {
			s.handleStatus(vm, status, false)
		}
	case *api.PeerMessage_SlotStatus:
		s.handleStatus(vm, b.SlotStatus, true)
	case *api.PeerMessage_Demand:
		s.handleDemand(vm, b.Demand)
	case *api.PeerMessage_Grant:
		s.handleGrant(vm, inc, b.Grant)
	case *api.PeerMessage_Return:
		s.handleReturn(vm, b.Return)
	case *api.PeerMessage_Recall:
		s.d.dispatcher.Recall(b.Recall.GetService(), vm, int(b.Recall.GetSlots()), fromMillis(b.Recall.GetOldestWaitMs()))
	case *api.PeerMessage_HoldingsRequest:
		s.handleHoldingsRequest(vm, b.HoldingsRequest.GetService())
	case *api.PeerMessage_HoldingsReport:
		r := b.HoldingsReport
		st := s.service(r.GetService())
		s.deliver(st, st.allocator.Report(vm, heldFrom(r.GetHeld()), r.GetReceived(), r.GetComplete(), s.d.o.Now()))
	default:
		return false
	}
	return true
}

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// handleStatus records the free slots of a member and the wait of its oldest work; reply is set if the status may
// answer a demand. Unmet demand may then move to the member, or away from it if it has no free slots left.
func (s *slotBroker) handleStatus(vm string, m *api.SlotStatus, reply bool) {
	if m == nil {
		return
	}
	now := s.d.o.Now()
	st := s.service(m.GetService())
	st.allocator.ObserveWait(vm, fromMillis(m.GetOldestWaitMs()), now)
	if reply {
		st.planner.RecordReply(vm, int(m.GetFree()), now)
	} else {
		st.planner.RecordUnsolicited(vm, int(m.GetFree()), now)
	}
	sched, ok := s.d.dispatcher.Scheduler(st.name)
	if !ok {
		return
	}
	st.mu.Lock()
	var own []zone.Allocation
	if st.need.Short+st.need.Long > 0 {
		st.need = sched.Demand(now)
		own = s.planDemand(st, now)
	}
	st.mu.Unlock()
	s.deliverOwn(st, own)
}

// handleDemand grants free slots. A member that receives none is sent the status instead, so that it can demand slots
// of another allocator.
func (s *slotBroker) handleDemand(vm string, m *api.Demand) {
	now := s.d.o.Now()
	st := s.service(m.GetStatus().GetService())
	st.planner.RecordUnsolicited(vm, int(m.GetStatus().GetFree()), now)
	allocations := st.allocator.Demand(vm, zone.Need{
		Tasks:     zone.Count{Short: int(m.GetShortTasks()), Long: int(m.GetLongTasks())},
		ShortWait: fromMillis(m.GetStatus().GetOldestWaitMs()), LongWait: fromMillis(m.GetOldestLongWaitMs()),
		Received: m.GetReceived(),
	}, now)
	// A member that waits for other allocators may demand nothing of this one, so its wait is recorded separately.
	st.allocator.ObserveWait(vm, fromMillis(m.GetStatus().GetOldestWaitMs()), now)
	s.deliver(st, allocations)
	st.mu.Lock()
	st.demandedAt = now
	var status *api.SlotStatus
	if len(allocations) == 0 && m.GetShortTasks()+m.GetLongTasks() > 0 &&
		now.Sub(st.statusSentAt[vm]) >= statusReplyInterval {
		st.statusSentAt[vm] = now
		status = s.status(st)
	}
	st.mu.Unlock()
	if status != nil {
		s.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_SlotStatus{SlotStatus: status}})
	}
	s.recall(st)
}

func (s *slotBroker) handleReturn(vm string, m *api.Return) {
	now := s.d.o.Now()
	st := s.service(m.GetStatus().GetService())
	s.deliver(st, st.allocator.Return(vm, heldFrom(m.GetSlots()), now))
	s.deliver(st, st.allocator.Reject(vm, heldFrom(m.GetRejected()), now))
	s.handleStatus(vm, m.GetStatus(), false)
}

func (s *slotBroker) handleGrant(vm string, inc machine.Incarnation, m *api.Grant) {
	st := s.service(m.GetStatus().GetService())
	var grants []contract.SlotGrant
	var sum zone.Count
	for _, c := range m.GetSlots() {
		g := contract.SlotGrant{
			Service: st.name, Worker: machine.WorkerID(c.GetWorker()), Short: int(c.GetShortSlots()),
			Long: int(c.GetLongSlots()), Epoch: uint64(inc), TTL: fromMillis(m.GetTtlMs()),
		}
		sum.Short += g.Short
		sum.Long += g.Long
		grants = append(grants, g)
	}
	s.counters.received.Inc(int64(sum.Sum()))
	st.mu.Lock()
	st.planner.RecordGrant(vm, sum, m.GetNumber())
	st.addDelivering(sum, 1)
	st.mu.Unlock()
	s.d.dispatcher.Grant(st.name, grants)
	st.mu.Lock()
	st.addDelivering(sum, -1)
	st.delivered[vm] = m.GetNumber()
	st.mu.Unlock()
	s.handleStatus(vm, m.GetStatus(), true)
}

// handleHoldingsRequest reports all holdings to a new allocator, because this VM may not know yet which workers the
// allocator has taken over.
func (s *slotBroker) handleHoldingsRequest(vm, service string) {
	sched, ok := s.d.dispatcher.Scheduler(service)
	if !ok {
		return
	}
	st := s.service(service)
	delivered := st.lastDelivered(vm)
	s.sendReport(st, vm, zoneHeld(sched.Held()), delivered, true)
}

// returnGroup holds the returns of one service to one allocator.
type returnGroup struct {
	service   string
	allocator string
	returned  []zone.Held
	rejected  []zone.Held
	unused    int
}

func groupReturns(returns []contract.SlotReturn, allocator func(machine.WorkerID) string) []*returnGroup {
	var groups []*returnGroup
	for _, r := range returns {
		name := allocator(r.Worker)
		var group *returnGroup
		for _, g := range groups {
			if g.allocator == name && g.service == r.Service {
				group = g
			}
		}
		if group == nil {
			group = &returnGroup{service: r.Service, allocator: name}
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
