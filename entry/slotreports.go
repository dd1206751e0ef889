package entry

import (
	"maps"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// renewHoldings reports the holdings to their allocators and checks the slot counts.
func (s *slotBroker) renewHoldings() {
	now := s.d.o.Now()
	live := make(map[string]bool)
	for _, vm := range s.d.domain.Live() {
		live[vm.ID] = true
	}
	for _, sched := range s.d.dispatcher.Schedulers() {
		st := s.service(sched.Service().Name())
		s.reportHoldings(st, sched, now)
		// Only grants of live allocators are renewed: one without contact may have let them expire.
		sched.Renew(now.Add(zone.GrantTTL), func(w machine.WorkerID) bool { return live[s.Allocator(w)] })
		s.checkInvariants(st, sched)
	}
}

// reportHoldings reports to each allocator the slots held on its workers. An allocator whose slots are no longer held
// receives one last, empty report.
func (s *slotBroker) reportHoldings(st *serviceSlots, sched *dispatch.Scheduler, now time.Time) {
	self := s.d.o.VM.ID
	byAllocator := make(map[string][]zone.Held)
	st.mu.Lock()
	for name := range st.reported {
		byAllocator[name] = nil
	}
	st.reported = make(map[string]bool)
	delivered := maps.Clone(st.delivered)
	lastOwn, ownDelivered := st.allocator.OwnGrants()
	for _, h := range zoneHeld(sched.Held()) {
		name := s.Allocator(h.Worker)
		if name == "" {
			continue
		}
		byAllocator[name] = append(byAllocator[name], h)
		st.reported[name] = true
	}
	var own []zone.Allocation
	if now.Before(st.reconcileUntil) && ownDelivered {
		own = st.allocator.ReportOwn(byAllocator[self], lastOwn, now)
	}
	st.mu.Unlock()
	s.deliver(st, own)
	for name, held := range byAllocator {
		if name != self {
			s.sendReport(st, name, held, delivered[name], false)
		}
	}
}

// sendReport reports holdings that include the slots of all grants up to the number delivered.
func (s *slotBroker) sendReport(st *serviceSlots, vm string, held []zone.Held, delivered uint64, complete bool) {
	s.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_HoldingsReport{HoldingsReport: &api.HoldingsReport{
		Service: st.name, Held: slotCounts(held), Received: delivered, Complete: complete,
	}}})
}

// checkInvariants checks the invariants of a service's slots and counts the checks and violations.
func (s *slotBroker) checkInvariants(st *serviceSlots, sched *dispatch.Scheduler) {
	c := st.allocator.TakeChecks()
	c.Made++
	if !sched.Check() {
		c.Violated++
	}
	s.counters.checks.Inc(c.Made)
	if c.Violated > 0 {
		s.counters.violations.Inc(c.Violated)
		s.d.o.Logger.Error("invariants of slot allocation violated", "service", st.name, "violations", c.Violated)
	}
}

// observeIncarnation takes back the slots of a member whose process was replaced, and resets the demand sent to it.
func (s *slotBroker) observeIncarnation(vm string, inc machine.Incarnation) {
	s.mu.Lock()
	before := s.incarnations[vm].incarnation
	if before != inc {
		s.incarnations[vm] = memberProcess{incarnation: inc, fresh: true}
	}
	s.mu.Unlock()
	if before != 0 && before != inc {
		s.memberGone(vm)
	}
}

// memberChanged handles a state change of a member.
func (s *slotBroker) memberChanged(c zone.Change) {
	if s.placement != nil {
		return
	}
	switch c.To {
	case zone.MemberGone:
		s.memberGone(c.VM.ID)
	case zone.MemberSuspect:
		for _, st := range s.all() {
			st.allocator.CancelDemand(c.VM.ID)
		}
	case zone.MemberLive:
		s.awaitReport(c.VM.ID)
	}
}

// awaitReport requests the holdings of a member that responds again, unless its process is new.
func (s *slotBroker) awaitReport(vm string) {
	s.mu.Lock()
	process := s.incarnations[vm]
	fresh := process.fresh
	process.fresh = false
	s.incarnations[vm] = process
	s.mu.Unlock()
	if fresh {
		return
	}
	for _, st := range s.all() {
		st.allocator.AwaitReport(vm, s.d.o.Now())
		s.requestHoldings(st, vm)
	}
}

func (s *slotBroker) requestHoldings(st *serviceSlots, vm string) {
	s.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_HoldingsRequest{
		HoldingsRequest: &api.HoldingsRequest{Service: st.name},
	}})
}

// memberGone takes back the slots held by a member that is gone.
func (s *slotBroker) memberGone(vm string) {
	for _, st := range s.all() {
		st.forget(vm)
		s.deliver(st, st.allocator.MemberGone(vm, s.d.o.Now()))
	}
}
