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
	// slotInterval is the interval of the allocators' periodic work: expired grants, ends of takeovers, recalls.
	slotInterval = 50 * time.Millisecond
	// renewInterval is the interval between reports of holdings. Two may be lost before a grant expires.
	renewInterval = zone.GrantTTL / 3
	// statusReplyInterval is the minimum interval between replies to demands that could not be met.
	statusReplyInterval = 100 * time.Millisecond
	// reconcileFor is how long after a takeover the local holdings are reported to the local allocator, because a
	// return may have crossed the takeover.
	reconcileFor = 3 * time.Second
)

// slotBroker knows the allocator of each worker: the entry VM that leases its slots to the others. It exchanges
// demands, grants (leases of slots) and returns between the service schedulers of this VM and the allocators. mu guards
// the maps.
type slotBroker struct {
	d *Daemon
	// placement chooses the workers under a baseline policy; nil under the default policy, which uses allocators.
	placement *dispatch.Placement
	// assignment maps workers to the entry VMs of their allocators. The map is replaced and never changed.
	assignment atomic.Pointer[map[machine.WorkerID]string]
	counters   slotCounters

	mu           sync.Mutex
	services     map[string]*serviceSlots
	incarnations map[string]memberProcess
}

// memberProcess is the process that sent the last message received from a member.
type memberProcess struct {
	incarnation machine.Incarnation
	// fresh is set until the process becomes live for the first time. It cannot hold slots before that.
	fresh bool
}

// serviceSlots holds the allocator and the demand planner of one service. mu guards the fields below it and is acquired
// before the locks of both. It keeps demands in the order in which the scheduler issued them.
type serviceSlots struct {
	name      string
	allocator *zone.SlotAllocator
	planner   *zone.DemandPlanner

	mu sync.Mutex
	// need is the last demand of the scheduler.
	need contract.SlotDemand
	// delivering counts the slots granted for the demand that the scheduler has not received yet. They must not be
	// requested again.
	delivering zone.Count
	// delivered holds the number of the last grant of each allocator whose slots the scheduler holds. Reports name it, not
	// the last grant received: the slots of a grant on its way to the scheduler are missing from them.
	delivered map[string]uint64
	// lastAnnounced is the number of free slots last reported to the members.
	lastAnnounced  int
	demandedAt     time.Time            // time of the last demand received from a member
	statusSentAt   map[string]time.Time // time of the last status sent to a member for a demand that was not met
	reported       map[string]bool      // allocators of the workers in the last report of holdings
	reconcileUntil time.Time
}

type slotCounters struct {
	received, unused, issued, demands, returns, recalls metrics.Counter
	checks, violations                                  metrics.Counter
}

func newSlotBroker(d *Daemon) *slotBroker {
	c := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, d.o.Metrics) }
	s := &slotBroker{
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

func (s *slotBroker) service(name string) *serviceSlots {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.services[name]
	if !ok {
		self := s.d.o.VM.ID
		st = &serviceSlots{
			name: name, allocator: zone.NewSlotAllocator(self, uint64(s.d.o.VM.Incarnation)),
			planner:      zone.NewDemandPlanner(self),
			statusSentAt: make(map[string]time.Time), reported: make(map[string]bool),
			delivered: make(map[string]uint64),
		}
		s.services[name] = st
	}
	return st
}

func (s *slotBroker) all() []*serviceSlots {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serviceSlots, 0, len(s.services))
	for _, st := range s.services {
		out = append(out, st)
	}
	return out
}

// Allocator implements dispatch.SlotBroker.
func (s *slotBroker) Allocator(w machine.WorkerID) string {
	return (*s.assignment.Load())[w]
}

// Scarce implements dispatch.SlotBroker.
func (s *slotBroker) Scarce(service string) bool {
	return s.service(service).planner.Scarce(s.d.o.Now())
}

// reassign assigns to the local allocator the workers that now belong to this VM, and removes the others.
func (s *slotBroker) reassign() {
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
	for _, sched := range s.d.dispatcher.Schedulers() {
		name := sched.Service().Name()
		s.assign(s.service(name), sched, offers[name], slots[name])
	}
}

// candidates returns the members that may be allocators. A draining entry VM excludes itself, so that its workers pass
// to other allocators.
func (s *slotBroker) candidates() []machine.EntryVM {
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

// assign sets the workers of a service's allocator. If there are new ones, it requests the members' holdings.
func (s *slotBroker) assign(st *serviceSlots, sched *dispatch.Scheduler, offers []zone.Offer, slots map[string]int) {
	now := s.d.o.Now()
	others := s.d.domain.Present()
	st.planner.SetAllocators(slots)
	st.mu.Lock()
	tookOver := st.allocator.Assign(offers, zoneHeld(sched.Held()), others, now)
	if tookOver {
		st.reconcileUntil = now.Add(reconcileFor)
	}
	st.mu.Unlock()
	if !tookOver {
		return
	}
	for _, vm := range others {
		s.requestHoldings(st, vm)
	}
}

// Demand implements dispatch.SlotBroker.
func (s *slotBroker) Demand(demand contract.SlotDemand) {
	st := s.service(demand.Service)
	st.mu.Lock()
	if demand.Version <= st.need.Version {
		// A later demand of the scheduler has already been handled.
		st.mu.Unlock()
		return
	}
	st.need = demand
	own := s.planDemand(st, s.d.o.Now())
	st.mu.Unlock()
	s.deliverOwn(st, own)
	if demand.Short > 0 && len(own) == 0 {
		s.recall(st)
	}
}

// planDemand divides the demand between the allocators and returns the allocations of the local one. st.mu must be
// held, so that demands are sent in the order in which the scheduler issued them.
func (s *slotBroker) planDemand(st *serviceSlots, now time.Time) []zone.Allocation {
	self := s.d.o.VM.ID
	st.planner.RecordReply(self, st.allocator.Free(), now)
	st.allocator.ObserveWait(self, st.need.ShortWait, now)
	var own []zone.Allocation
	need := zone.Count{
		Short: max(0, st.need.Short-st.delivering.Short), Long: max(0, st.need.Long-st.delivering.Long),
	}
	for _, a := range st.planner.Plan(need, now) {
		if a.Allocator == self {
			own = st.allocator.Demand(self, zone.Need{
				Tasks: a.Tasks, ShortWait: st.need.ShortWait, LongWait: st.need.LongWait, Received: a.Received,
			}, now)
			continue
		}
		s.counters.demands.Inc(1)
		s.d.timeline.Record(timeline.Event{
			Kind: timeline.DemandSent, Peer: a.Allocator, Detail: st.name, Count: int64(a.Tasks.Sum()),
		})
		s.d.peers.send(a.Allocator, &api.PeerMessage{Body: &api.PeerMessage_Demand{Demand: &api.Demand{
			Status: s.status(st), ShortTasks: uint32(a.Tasks.Short), LongTasks: uint32(a.Tasks.Long),
			OldestLongWaitMs: millis(st.need.LongWait), Received: a.Received,
		}}})
	}
	st.addDelivering(sumFor(self, own), 1)
	return own
}

// deliverOwn delivers the allocations returned by planDemand.
func (s *slotBroker) deliverOwn(st *serviceSlots, own []zone.Allocation) {
	s.deliver(st, own)
	c := sumFor(s.d.o.VM.ID, own)
	if c.Sum() == 0 {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.addDelivering(c, -1)
}

// addDelivering counts slots that are on their way to the scheduler (sign 1) or have arrived there (sign -1). st.mu
// must be held.
func (st *serviceSlots) addDelivering(c zone.Count, sign int) {
	st.delivering.Short += sign * c.Short
	st.delivering.Long += sign * c.Long
}

// lastDelivered returns the number of the last grant of an allocator that has reached the scheduler. It is read before the
// holdings that are reported with it.
func (st *serviceSlots) lastDelivered(allocator string) uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.delivered[allocator]
}

// forget drops what is known of an allocator whose process has ended.
func (st *serviceSlots) forget(allocator string) {
	st.planner.Reset(allocator)
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.delivered, allocator)
}

// sumFor returns the number of slots allocated to a member.
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

// status returns the local status and records the announced free slots. st.mu must be held.
func (s *slotBroker) status(st *serviceSlots) *api.SlotStatus {
	free := st.allocator.Free()
	st.lastAnnounced = free
	status := &api.SlotStatus{Service: st.name, Free: uint32(free)}
	if st.need.Short > 0 {
		status.OldestWaitMs = millis(st.need.ShortWait)
	}
	return status
}

// millis rounds up, so that a positive wait is never reported as zero.
func millis(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// Return implements dispatch.SlotBroker.
func (s *slotBroker) Return(returns []contract.SlotReturn) {
	now := s.d.o.Now()
	for _, group := range groupReturns(returns, s.Allocator) {
		st := s.service(group.service)
		switch group.allocator {
		case s.d.o.VM.ID:
			st.mu.Lock()
			allocations := st.allocator.Return(group.allocator, group.returned, now)
			allocations = append(allocations, st.allocator.Reject(group.allocator, group.rejected, now)...)
			st.mu.Unlock()
			s.deliver(st, allocations)
		case "":
			// The worker has no allocator any more.
		default:
			s.sendReturn(st, group)
		}
	}
}

func (s *slotBroker) sendReturn(st *serviceSlots, g *returnGroup) {
	s.counters.returns.Inc(1)
	s.counters.unused.Inc(int64(g.unused))
	st.mu.Lock()
	status := s.status(st)
	st.mu.Unlock()
	s.d.peers.send(g.allocator, &api.PeerMessage{Body: &api.PeerMessage_Return{Return: &api.Return{
		Status: status, Slots: slotCounts(g.returned), Rejected: slotCounts(g.rejected),
	}}})
}

// deliver sends allocations to their members. Consecutive ones with the same member and number form one grant and share
// a message.
func (s *slotBroker) deliver(st *serviceSlots, allocations []zone.Allocation) {
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

func (s *slotBroker) deliverTo(st *serviceSlots, member string, allocations []zone.Allocation) {
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
		st.planner.RecordGrant(member, sum, allocations[0].Number)
		s.d.dispatcher.Grant(st.name, grants)
		st.allocator.Delivered()
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

// recall recalls slots that are needed for work with a longer wait.
func (s *slotBroker) recall(st *serviceSlots) {
	for _, r := range st.allocator.Recalls(s.d.o.Now()) {
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

// tick expires grants, ends takeovers, recalls slots and announces free ones.
func (s *slotBroker) tick() {
	now := s.d.o.Now()
	for _, st := range s.all() {
		s.deliver(st, st.allocator.Tick(now))
		s.recall(st)
		s.announce(st, now)
	}
}

// announce reports free slots to the members, if none were free at the last report and some member has sent a demand
// recently.
func (s *slotBroker) announce(st *serviceSlots, now time.Time) {
	st.mu.Lock()
	if st.lastAnnounced > 0 || now.Sub(st.demandedAt) > renewInterval || st.allocator.Free() == 0 {
		st.mu.Unlock()
		return
	}
	msg := &api.PeerMessage{Body: &api.PeerMessage_SlotStatus{SlotStatus: s.status(st)}}
	st.mu.Unlock()
	s.d.peers.broadcast(msg)
}

// statuses returns the status of all services for a heartbeat.
func (s *slotBroker) statuses() []*api.SlotStatus {
	var out []*api.SlotStatus
	for _, st := range s.all() {
		st.mu.Lock()
		out = append(out, s.status(st))
		st.mu.Unlock()
	}
	return out
}
