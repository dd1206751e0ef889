package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// slotInterval spaces the granters' housekeeping: lapsed grants, ends of takeovers, recalls.
	slotInterval = 50 * time.Millisecond
	// renewInterval spaces the reports of holdings; two may be lost before a grant lapses.
	renewInterval = zone.GrantTTL / 3
	// statusReplyInterval spaces the replies to demands that could not be served.
	statusReplyInterval = 100 * time.Millisecond
	// healFor is how long after a takeover the own holdings are reported to the own granter: a return may have crossed
	// the takeover.
	healFor = 3 * time.Second
)

// slotDirectory knows the granter of each worker and carries demands, grants and returns between this VM's lanes and
// the granters. mu guards the maps; the assignment is an immutable snapshot.
type slotDirectory struct {
	d          *Daemon
	placement  *dispatch.Placement
	assignment atomic.Pointer[map[machine.WorkerID]string]
	counters   slotCounters

	mu           sync.Mutex
	services     map[string]*serviceSlots
	incarnations map[string]memberProcess
}

// memberProcess is the process that was last heard on a member.
type memberProcess struct {
	incarnation machine.Incarnation
	// fresh is set until the process counts as live for the first time. It can hold no slots before.
	fresh bool
}

// serviceSlots are the granter and the planner of one service. mu guards the fields below it and is taken before the
// locks of both; it keeps demands in the order in which the lane stated them.
type serviceSlots struct {
	name    string
	granter *zone.Granter
	planner *zone.DemandPlanner

	mu   sync.Mutex
	need contract.SlotDemand
	// delivering counts the slots granted for the demand that the lane has not received yet. They must not be asked for
	// again.
	delivering zone.Count
	// announced is the number of free slots that the members were last told.
	announced  int
	demandedAt time.Time
	replied    map[string]time.Time
	reported   map[string]bool
	healUntil  time.Time
}

type slotCounters struct {
	received, unused, issued, demands, returns, recalls metrics.Counter
	checks, violations                                  metrics.Counter
}

func newSlotDirectory(d *Daemon) *slotDirectory {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, d.o.Metrics) }
	s := &slotDirectory{
		d: d, placement: dispatch.NewPlacement(d.o.Policy, uint64(d.o.VM.Incarnation)),
		services: make(map[string]*serviceSlots), incarnations: make(map[string]memberProcess),
		counters: slotCounters{
			received: c(metric.GrantsReceived), unused: c(metric.GrantsUnused), issued: c(metric.GrantsIssued),
			demands: c(metric.DemandsSent), returns: c(metric.ReturnsSent), recalls: c(metric.RecallsSent),
			checks: c(metric.InvariantChecks), violations: c(metric.InvariantViolations),
		},
	}
	s.assignment.Store(&map[machine.WorkerID]string{})
	return s
}

func (s *slotDirectory) service(name string) *serviceSlots {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.services[name]
	if !ok {
		self := s.d.o.VM.ID
		st = &serviceSlots{
			name: name, granter: zone.NewGranter(self, uint64(s.d.o.VM.Incarnation)), planner: zone.NewDemandPlanner(self),
			replied: make(map[string]time.Time), reported: make(map[string]bool),
		}
		s.services[name] = st
	}
	return st
}

func (s *slotDirectory) all() []*serviceSlots {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serviceSlots, 0, len(s.services))
	for _, st := range s.services {
		out = append(out, st)
	}
	return out
}

// Granter implements dispatch.SlotBroker.
func (s *slotDirectory) Granter(w machine.WorkerID) string {
	return (*s.assignment.Load())[w]
}

// Scarce implements dispatch.SlotBroker.
func (s *slotDirectory) Scarce(service string) bool {
	return s.service(service).planner.Scarce(s.d.o.Now())
}

// reassign takes over the workers whose granter this VM is now, and drops the others.
func (s *slotDirectory) reassign() {
	workers := s.d.fleet.All()
	if s.placement != nil {
		s.placement.SetWorkers(placementWorkers(workers))
		return
	}
	live := s.candidates()
	assignment := make(map[machine.WorkerID]string, len(workers))
	offers := make(map[string][]zone.Offer)
	slots := make(map[string]map[string]int)
	for _, w := range workers {
		spec := w.Spec()
		vm, ok := zone.Choose(string(spec.ID), live)
		if !ok {
			continue
		}
		assignment[spec.ID] = vm.ID
		if slots[spec.Service] == nil {
			slots[spec.Service] = make(map[string]int)
		}
		slots[spec.Service][vm.ID] += spec.Slots
		if vm.ID == s.d.o.VM.ID {
			usable := w.UsableSlots(s.d.o.Now())
			offers[spec.Service] = append(offers[spec.Service], zone.Offer{
				Worker: spec.ID, Slots: usable, Speed: w.Speed(), Closed: usable == 0,
			})
		}
	}
	s.assignment.Store(&assignment)
	for _, l := range s.d.dispatcher.Lanes() {
		name := l.Service().Name()
		s.assign(s.service(name), l, offers[name], slots[name])
	}
}

// candidates returns the members that may be granters. An entry VM that drains hands its workers over.
func (s *slotDirectory) candidates() []machine.EntryVM {
	live := s.d.domain.Live()
	if !s.d.dispatcher.Draining() {
		return live
	}
	others := make([]machine.EntryVM, 0, len(live))
	for _, vm := range live {
		if vm.ID != s.d.o.VM.ID {
			others = append(others, vm)
		}
	}
	return others
}

func placementWorkers(workers []*machine.Worker) []dispatch.PlacementWorker {
	var out []dispatch.PlacementWorker
	for _, w := range workers {
		spec := w.Spec()
		if spec.Leaving || w.Incarnation() == 0 {
			continue
		}
		out = append(out, dispatch.PlacementWorker{ID: spec.ID, Service: spec.Service, Slots: spec.Slots, Busy: w.Busy()})
	}
	return out
}

// assign gives a service's granter its workers and asks the members for their holdings if there are new ones.
func (s *slotDirectory) assign(st *serviceSlots, l *dispatch.Lane, offers []zone.Offer, slots map[string]int) {
	now := s.d.o.Now()
	others := s.d.domain.Present()
	st.planner.SetGranters(slots)
	st.mu.Lock()
	taken := st.granter.Assign(offers, zoneHeld(l.Held()), others, now)
	if taken {
		st.healUntil = now.Add(healFor)
	}
	st.mu.Unlock()
	if !taken {
		return
	}
	for _, vm := range others {
		s.requestHoldings(st, vm)
	}
}

// Demand implements dispatch.SlotBroker.
func (s *slotDirectory) Demand(dm contract.SlotDemand) {
	st := s.service(dm.Service)
	st.mu.Lock()
	if dm.Version <= st.need.Version {
		// A later statement of the lane has overtaken this one.
		st.mu.Unlock()
		return
	}
	st.need = dm
	own := s.ask(st, s.d.o.Now())
	st.mu.Unlock()
	s.deliverAsked(st, own)
	if dm.Short > 0 && len(own) == 0 {
		s.recall(st)
	}
}

// ask divides the demand between the granters and returns the allocations of the own one. It expects st.mu to be held,
// so that statements are sent in the order of the lane's demands.
func (s *slotDirectory) ask(st *serviceSlots, now time.Time) []zone.Allocation {
	self := s.d.o.VM.ID
	st.planner.Hint(self, st.granter.Free(), now)
	st.granter.Observe(self, st.need.ShortWait, now)
	var own []zone.Allocation
	need := zone.Count{
		Short: max(0, st.need.Short-st.delivering.Short), Long: max(0, st.need.Long-st.delivering.Long),
	}
	for _, a := range st.planner.Plan(need, now) {
		if a.Granter == self {
			own = st.granter.Demand(self, zone.Need{
				Tasks: a.Tasks, ShortWait: st.need.ShortWait, LongWait: st.need.LongWait, Received: a.Received,
			}, now)
			continue
		}
		s.counters.demands.Inc(1)
		s.d.timeline.Record(timeline.Event{
			Kind: timeline.DemandSent, Peer: a.Granter, Detail: st.name, Count: int64(a.Tasks.Sum()),
		})
		s.d.peers.send(a.Granter, &api.PeerMessage{Body: &api.PeerMessage_Demand{Demand: &api.Demand{
			Status: s.status(st), ShortTasks: uint32(a.Tasks.Short), LongTasks: uint32(a.Tasks.Long),
			OldestLongWaitMs: millis(st.need.LongWait), Received: a.Received,
		}}})
	}
	st.deliver(sumFor(self, own), 1)
	return own
}

// deliverAsked delivers what ask returned.
func (s *slotDirectory) deliverAsked(st *serviceSlots, own []zone.Allocation) {
	s.deliver(st, own)
	c := sumFor(s.d.o.VM.ID, own)
	if c.Sum() == 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.deliver(c, -1)
}

// deliver counts slots that are on their way to the lane (sign 1) or have arrived there (sign -1). It expects st.mu to
// be held.
func (st *serviceSlots) deliver(c zone.Count, sign int) {
	st.delivering.Short += sign * c.Short
	st.delivering.Long += sign * c.Long
}

// sumFor counts the slots allocated to a member.
func sumFor(member string, allocations []zone.Allocation) zone.Count {
	var c zone.Count
	for _, a := range allocations {
		if a.Member == member {
			c.Short += a.Slots.Short
			c.Long += a.Slots.Long
		}
	}
	return c
}

// status expects st.mu to be held.
func (s *slotDirectory) status(st *serviceSlots) *api.SlotStatus {
	free := st.granter.Free()
	st.announced = free
	status := &api.SlotStatus{Service: st.name, Free: uint32(free)}
	if st.need.Short > 0 {
		status.OldestWaitMs = millis(st.need.ShortWait)
	}
	return status
}

// millis rounds up, so that a wait is never reported as none.
func millis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Return implements dispatch.SlotBroker.
func (s *slotDirectory) Return(returns []contract.SlotReturn) {
	now := s.d.o.Now()
	for _, group := range groupReturns(returns, s.Granter) {
		st := s.service(group.service)
		switch group.granter {
		case s.d.o.VM.ID:
			st.mu.Lock()
			allocations := st.granter.Return(group.granter, group.returned, now)
			allocations = append(allocations, st.granter.Reject(group.granter, group.rejected, now)...)
			st.mu.Unlock()
			s.deliver(st, allocations)
		case "":
			// No member grants the worker's slots any more.
		default:
			s.sendReturn(st, group)
		}
	}
}

func (s *slotDirectory) sendReturn(st *serviceSlots, g *returnGroup) {
	s.counters.returns.Inc(1)
	s.counters.unused.Inc(int64(g.unused))
	st.mu.Lock()
	status := s.status(st)
	st.mu.Unlock()
	s.d.peers.send(g.granter, &api.PeerMessage{Body: &api.PeerMessage_Return{Return: &api.Return{
		Status: status, Slots: slotCounts(g.returned), Rejected: slotCounts(g.rejected),
	}}})
}

// deliver hands allocations to the members that they are for, one message each.
func (s *slotDirectory) deliver(st *serviceSlots, allocations []zone.Allocation) {
	for len(allocations) > 0 {
		n := 1
		for n < len(allocations) && allocations[n].Member == allocations[0].Member &&
			allocations[n].Number == allocations[0].Number {
			n++
		}
		s.deliverTo(st, allocations[0].Member, allocations[:n])
		allocations = allocations[n:]
	}
}

func (s *slotDirectory) deliverTo(st *serviceSlots, member string, allocations []zone.Allocation) {
	if member == s.d.o.VM.ID {
		grants := make([]contract.SlotGrant, len(allocations))
		var sum zone.Count
		for i, a := range allocations {
			grants[i] = contract.SlotGrant{
				Service: st.name, Worker: a.Worker, Short: a.Slots.Short, Long: a.Slots.Long, Epoch: a.Epoch,
				TTL: zone.GrantTTL,
			}
			sum.Short += a.Slots.Short
			sum.Long += a.Slots.Long
		}
		st.planner.Granted(member, sum, allocations[0].Number)
		s.d.dispatcher.Grant(st.name, grants)
		return
	}
	for _, a := range allocations {
		s.d.timeline.Record(timeline.Event{
			Kind: timeline.GrantIssued, Peer: a.Member, Worker: a.Worker, Detail: st.name, Count: int64(a.Slots.Sum()),
		})
	}
	g := &api.Grant{TtlMs: uint32(zone.GrantTTL.Milliseconds()), Number: allocations[0].Number}
	for _, a := range allocations {
		g.Slots = append(g.Slots, slotCount(a.Worker, a.Slots))
		s.counters.issued.Inc(int64(a.Slots.Sum()))
	}
	st.mu.Lock()
	g.Status = s.status(st)
	st.mu.Unlock()
	s.d.peers.send(member, &api.PeerMessage{Body: &api.PeerMessage_Grant{Grant: g}})
}

// recall asks for slots back that are needed for work that has waited longer.
func (s *slotDirectory) recall(st *serviceSlots) {
	for _, r := range st.granter.Recalls(s.d.o.Now()) {
		s.d.timeline.Record(timeline.Event{
			Kind: timeline.GrantRecalled, Peer: r.Member, Detail: st.name, Count: int64(r.Slots),
		})
		if r.Member == s.d.o.VM.ID {
			s.d.dispatcher.Recall(st.name, r.Member, r.Slots, r.Wait)
			continue
		}
		s.counters.recalls.Inc(1)
		s.d.peers.send(r.Member, &api.PeerMessage{Body: &api.PeerMessage_Recall{Recall: &api.Recall{
			Service: st.name, Slots: uint32(r.Slots), OldestWaitMs: millis(r.Wait),
		}}})
	}
}

// tick lets grants lapse, ends takeovers, recalls slots and announces free ones.
func (s *slotDirectory) tick() {
	now := s.d.o.Now()
	for _, st := range s.all() {
		s.deliver(st, st.granter.Tick(now))
		s.recall(st)
		s.announce(st, now)
	}
}

// announce tells the members of free slots that appeared after they were told of none while some of them asked.
func (s *slotDirectory) announce(st *serviceSlots, now time.Time) {
	st.mu.Lock()
	if st.announced > 0 || now.Sub(st.demandedAt) > renewInterval || st.granter.Free() == 0 {
		st.mu.Unlock()
		return
	}
	msg := &api.PeerMessage{Body: &api.PeerMessage_SlotStatus{SlotStatus: s.status(st)}}
	st.mu.Unlock()
	s.d.peers.broadcast(msg)
}

// statuses returns the state of all services for a heartbeat.
func (s *slotDirectory) statuses() []*api.SlotStatus {
	var out []*api.SlotStatus
	for _, st := range s.all() {
		st.mu.Lock()
		out = append(out, s.status(st))
		st.mu.Unlock()
	}
	return out
}
