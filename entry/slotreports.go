package entry

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// renew reports the holdings to their granters and checks the counts.
func (s *slotDirectory) renew() {
	now := s.d.o.Now()
	live := make(map[string]bool)
	for _, vm := range s.d.domain.Live() {
		live[vm.ID] = true
	}
	for _, l := range s.d.dispatcher.Lanes() {
		st := s.service(l.Service().Name())
		s.report(st, l, now)
		// A granter that is not heard may have let the grants lapse.
		l.Renew(now.Add(zone.GrantTTL), func(w machine.WorkerID) bool { return live[s.Granter(w)] })
		s.check(st, l)
	}
}

// report sends each granter what is held of its workers. A granter of which nothing is held any more is told once.
func (s *slotDirectory) report(st *serviceSlots, l *dispatch.Lane, now time.Time) {
	self := s.d.o.VM.ID
	byGranter := make(map[string][]zone.Held)
	st.mu.Lock()
	for name := range st.reported {
		byGranter[name] = nil
	}
	st.reported = make(map[string]bool)
	received := make(map[string]uint64)
	for name := range byGranter {
		received[name] = st.planner.Received(name)
	}
	for _, h := range zoneHeld(l.Held()) {
		name := s.Granter(h.Worker)
		if name == "" {
			continue
		}
		if _, ok := received[name]; !ok {
			received[name] = st.planner.Received(name)
		}
		byGranter[name] = append(byGranter[name], h)
		st.reported[name] = true
	}
	var own []zone.Allocation
	if now.Before(st.healUntil) {
		own = st.granter.Report(self, byGranter[self], received[self], false, now)
	}
	st.mu.Unlock()
	s.deliver(st, own)
	for name, held := range byGranter {
		if name != self {
			s.sendReport(st, name, held, received[name], false)
		}
	}
}

func (s *slotDirectory) sendReport(st *serviceSlots, vm string, held []zone.Held, received uint64, complete bool) {
	s.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_HoldingsReport{HoldingsReport: &api.HoldingsReport{
		Service: st.name, Held: slotCounts(held), Received: received, Complete: complete,
	}}})
}

// check counts the invariant checks of a service.
func (s *slotDirectory) check(st *serviceSlots, l *dispatch.Lane) {
	c := st.granter.TakeChecks()
	c.Made++
	if !l.Check() {
		c.Violated++
	}
	s.counters.checks.Inc(c.Made)
	if c.Violated > 0 {
		s.counters.violations.Inc(c.Violated)
		s.d.o.Logger.Error("slot counts are inconsistent", "service", st.name, "violations", c.Violated)
	}
}

// heard takes back the slots of a member whose process was replaced, and forgets what was asked of it.
func (s *slotDirectory) heard(vm string, inc machine.Incarnation) {
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

// memberChanged follows the state of a member.
func (s *slotDirectory) memberChanged(c zone.Change) {
	if s.placement != nil {
		return
	}
	switch c.To {
	case zone.MemberGone:
		s.memberGone(c.VM.ID)
	case zone.MemberSuspect:
		for _, st := range s.all() {
			st.granter.Suspend(c.VM.ID)
		}
	case zone.MemberLive:
		s.rejoin(c.VM.ID)
	}
}

// rejoin asks a member that responds again for its holdings, unless its process is new.
func (s *slotDirectory) rejoin(vm string) {
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
		st.granter.Rejoin(vm, s.d.o.Now())
		s.requestHoldings(st, vm)
	}
}

func (s *slotDirectory) requestHoldings(st *serviceSlots, vm string) {
	s.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_HoldingsRequest{
		HoldingsRequest: &api.HoldingsRequest{Service: st.name},
	}})
}

// memberGone takes back the slots that a lost member held.
func (s *slotDirectory) memberGone(vm string) {
	for _, st := range s.all() {
		st.planner.Reset(vm)
		s.deliver(st, st.granter.MemberGone(vm, s.d.o.Now()))
	}
}
