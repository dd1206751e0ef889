package zone

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

const (
	// GrantTTL is the time after which a grant expires unless the holder's report renews it.
	GrantTTL = 3 * time.Second
	// TakeoverWait bounds the time for which a new allocator waits for the members' holdings before it grants slots.
	TakeoverWait = 300 * time.Millisecond
	// demandTTL is the time after which a demand that is not refreshed is dropped. Until then slots may be granted to a
	// member that a partition has cut off, and stay idle until the grants expire.
	demandTTL = 500 * time.Millisecond
	// grantDelivery is the time after which a grant that has not arrived counts as lost.
	grantDelivery = 500 * time.Millisecond
	// withholdTime is how long a slot is withheld after the worker rejected a start on it.
	withholdTime = time.Second
	// memberRetention is the time without contact after which the record of a member is deleted.
	memberRetention = 10 * time.Minute
	// maxLongShare is the maximum share of a worker's slots that long work may hold.
	maxLongShare = 0.4
)

// Count is a number of slots by class.
type Count struct {
	Short, Long int
}

// Sum returns the number of slots of both classes.
func (c Count) Sum() int { return c.Short + c.Long }

// Allocation grants slots of one worker to a member.
type Allocation struct {
	Member string
	Worker machine.WorkerID
	Slots  Count
	Epoch  uint64
	// Number counts the grants to a member; the allocations of one decision share it.
	Number uint64
}

// Need is a member's unmet demand at an allocator.
type Need struct {
	Tasks Count
	// ShortWait and LongWait are the waits of the oldest tasks.
	ShortWait, LongWait time.Duration
	// Received is the number of the last grant that the member has received.
	Received uint64
}

// Held is the number of slots that a member holds of one worker.
type Held struct {
	Worker machine.WorkerID
	Slots  Count
}

// Offer describes a worker to its allocator. Closed workers get no new work.
type Offer struct {
	Worker machine.WorkerID
	Slots  int
	Speed  float64
	Closed bool
}

// SlotAllocator is the slot allocator of the workers of one service that are assigned to this VM: it leases their
// slots to members, itself included. Its mutex guards all fields but self and epoch, which are not changed.
type SlotAllocator struct {
	self  string
	epoch uint64

	mu      sync.Mutex
	workers map[machine.WorkerID]*grantedWorker
	members map[string]*grantee
	// short and long order the workers that may grant a slot of the class.
	short, long workerHeap
	free        int
	slots       int

	// awaiting holds the members that have not yet reported what they hold of the workers taken over.
	awaiting     map[string]bool
	awaitedUntil time.Time

	recall recallState
	checks Checks

	// undelivered is the number of grants to this VM that have not reached its scheduler yet.
	undelivered int
}

// Checks counts the invariant checks of an allocator.
type Checks struct {
	Made, Violated int64
}

// grantee is the allocator's record of a member.
type grantee struct {
	need Count
	// shortSince and longSince are the times since which the oldest tasks of need have waited.
	shortSince time.Time
	longSince  time.Time
	// refreshed is the time of the last demand, seen that of the last message.
	refreshed time.Time
	seen      time.Time
	// backlogSince is the time since which the member's oldest short task has waited; zero if none is known.
	backlogSince time.Time
	// number is the number of the last grant to the member.
	number  uint64
	unacked []unackedGrant
	// recalled counts slots that were recalled and not yet returned.
	recalled   int
	recalledAt time.Time
}

// unackedGrant is a grant that no report of the member's holdings covers yet.
type unackedGrant struct {
	number uint64
	worker machine.WorkerID
	slots  Count
	sent   time.Time
}

// NewSlotAllocator returns an allocator without workers. The epoch distinguishes it from earlier allocators.
func NewSlotAllocator(self string, epoch uint64) *SlotAllocator {
	return &SlotAllocator{
		self: self, epoch: epoch, workers: make(map[machine.WorkerID]*grantedWorker),
		members: make(map[string]*grantee),
		short:   workerHeap{class: shortClass}, long: workerHeap{class: longClass},
	}
}

func (a *SlotAllocator) member(name string) *grantee {
	m, ok := a.members[name]
	if !ok {
		m = &grantee{}
		a.members[name] = m
	}
	return m
}

// Assign replaces the set of workers. Members may hold slots of a worker that is new here, so its slots are granted
// only after all of others have reported, or after TakeoverWait; own lists the slots that this VM holds. Assign
// reports whether the others have to be asked.
func (a *SlotAllocator) Assign(offers []Offer, own []Held, others []string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make(map[machine.WorkerID]bool, len(offers))
	takenOver := false
	held := make(map[machine.WorkerID]Count, len(own))
	for _, h := range own {
		held[h.Worker] = h.Slots
	}
	for _, o := range offers {
		seen[o.Worker] = true
		w, ok := a.workers[o.Worker]
		if !ok {
			w = newGrantedWorker(o.Worker)
			w.pending = len(others) > 0
			takenOver = takenOver || w.pending
			a.workers[o.Worker] = w
			a.setHeld(w, a.self, held[o.Worker], now)
		}
		w.slots, w.speed, w.closed = o.Slots, o.Speed, o.Closed
		a.update(w)
	}
	for id, w := range a.workers {
		if !seen[id] {
			a.drop(w)
		}
	}
	a.slots = 0
	for _, w := range a.workers {
		a.slots += w.slots
	}
	if takenOver {
		a.awaitReports(others, now)
	}
	return takenOver
}

// awaitReports expects a.mu to be held.
func (a *SlotAllocator) awaitReports(others []string, now time.Time) {
	if a.awaiting == nil {
		a.awaiting = make(map[string]bool, len(others))
	}
	for _, m := range others {
		a.awaiting[m] = true
	}
	a.awaitedUntil = now.Add(TakeoverWait)
}

// Demand replaces a member's demand and returns the resulting allocations.
func (a *SlotAllocator) Demand(member string, n Need, now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(member)
	unacked := m.unackedSlots(n.Received, now)
	m.need = Count{Short: max(0, n.Tasks.Short-unacked.Short), Long: max(0, n.Tasks.Long-unacked.Long)}
	m.refreshed, m.seen = now, now
	m.shortSince, m.longSince = now.Add(-n.ShortWait), now.Add(-n.LongWait)
	m.backlogSince = time.Time{}
	if n.Tasks.Short > 0 {
		m.backlogSince = m.shortSince
	}
	return a.allocate(now)
}

// ObserveWait records how long a member's oldest short task has waited; zero means that none waits.
func (a *SlotAllocator) ObserveWait(member string, wait time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(member)
	m.seen = now
	m.backlogSince = time.Time{}
	if wait > 0 {
		m.backlogSince = now.Add(-wait)
	}
}

// Return takes back the slots that a member returns, and returns the resulting allocations.
func (a *SlotAllocator) Return(member string, slots []Held, now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(member)
	for _, h := range slots {
		if w, ok := a.workers[h.Worker]; ok {
			a.release(w, member, h.Slots)
		}
		m.recalled = max(0, m.recalled-h.Slots.Sum())
	}
	return a.allocate(now)
}

// Reject takes back slots that a member could not use, because the worker is leaving or rejected a start as it had no
// free slot, which means that another allocator has granted them. They are withheld for withholdTime.
func (a *SlotAllocator) Reject(member string, slots []Held, now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range slots {
		w, ok := a.workers[h.Worker]
		if !ok {
			continue
		}
		w.withhold(h.Slots.Sum(), now)
		a.release(w, member, h.Slots)
	}
	return a.allocate(now)
}

// Report replaces the record of the slots that a member holds, except for the grants that it has not received yet.
// Workers that are not in the report count as not held.
func (a *SlotAllocator) Report(member string, held []Held, received uint64, complete bool, now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(member)
	m.seen = now
	m.dropSettled(received, now)
	a.replaceHeld(member, held, m.unacked, now)
	if complete {
		delete(a.awaiting, member)
	}
	a.endTakeover(now)
	return a.allocate(now)
}

// OwnGrants returns the number of the last grant to this VM, and whether all grants to it have been delivered.
func (a *SlotAllocator) OwnGrants() (last uint64, delivered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member(a.self).number, a.undelivered == 0
}

// Delivered records that one grant to this VM has reached its scheduler.
func (a *SlotAllocator) Delivered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.undelivered--
}

// ReportOwn replaces the record of the slots that this VM holds. last is the number of the last grant when held was
// read, after all grants up to it had been delivered. The report is dropped if there are later grants: held may lack
// their slots, which would count as free.
func (a *SlotAllocator) ReportOwn(held []Held, last uint64, now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(a.self)
	m.seen = now
	if m.number != last {
		return nil
	}
	a.replaceHeld(a.self, held, nil, now)
	a.endTakeover(now)
	return a.allocate(now)
}

// replaceHeld replaces the record of the slots that a member holds: those of a report and of the grants that the member
// has not received. It expects a.mu to be held.
func (a *SlotAllocator) replaceHeld(member string, held []Held, unacked []unackedGrant, now time.Time) {
	counts := make(map[machine.WorkerID]Count, len(held))
	for _, h := range held {
		counts[h.Worker] = h.Slots
	}
	for _, f := range unacked {
		c := counts[f.worker]
		counts[f.worker] = Count{Short: c.Short + f.slots.Short, Long: c.Long + f.slots.Long}
	}
	for _, w := range a.workers {
		a.setHeld(w, member, counts[w.id], now)
	}
}

// MemberGone takes back all slots that a member held and drops its demand.
func (a *SlotAllocator) MemberGone(member string, now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(member)
	// The grant number continues, so that a member that was only cut off does not treat an old grant as a new one.
	*m = grantee{number: m.number, seen: now}
	delete(a.awaiting, member)
	for _, w := range a.workers {
		a.setHeld(w, member, Count{}, now)
	}
	a.endTakeover(now)
	return a.allocate(now)
}

// Tick ends takeovers, expires grants and demands, and makes withheld slots available again.
func (a *SlotAllocator) Tick(now time.Time) []Allocation {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endTakeover(now)
	for name, m := range a.members {
		if name != a.self && now.Sub(m.refreshed) > demandTTL {
			m.need, m.backlogSince = Count{}, time.Time{}
		}
		if name != a.self && now.Sub(m.seen) > memberRetention {
			delete(a.members, name)
		}
	}
	for _, w := range a.workers {
		if w.withheld > 0 && now.Sub(w.withheldAt) > withholdTime {
			// One at a time: how many slots other allocators have granted is unknown.
			w.withheld--
			w.withheldAt = now
			a.update(w)
		}
		for name, h := range w.held {
			if name != a.self && now.Sub(h.renewed) > GrantTTL {
				a.setHeld(w, name, Count{}, now)
			}
		}
	}
	return a.allocate(now)
}

// CancelDemand drops the demand of a member that does not respond and no longer waits for its report. The slots that it
// holds stay counted, because its tasks continue.
func (a *SlotAllocator) CancelDemand(member string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.member(member)
	m.need, m.backlogSince = Count{}, time.Time{}
	delete(a.awaiting, member)
}

// AwaitReport stops all grants when a member responds again, because another allocator may have granted it slots of any
// worker here. Grants resume once all awaited members have reported or TakeoverWait has passed. No slot is withheld any
// longer, because the report shows which slots the member holds.
func (a *SlotAllocator) AwaitReport(member string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.awaiting == nil {
		a.awaiting = make(map[string]bool)
	}
	a.awaiting[member] = true
	a.awaitedUntil = now.Add(TakeoverWait)
	for _, w := range a.workers {
		w.pending = true
		w.withheld = 0
		a.update(w)
	}
}

// endTakeover expects a.mu to be held.
func (a *SlotAllocator) endTakeover(now time.Time) {
	if a.awaiting == nil || (len(a.awaiting) > 0 && now.Before(a.awaitedUntil)) {
		return
	}
	a.awaiting = nil
	for _, w := range a.workers {
		if w.pending {
			w.pending = false
			a.update(w)
		}
	}
}

// Free returns the number of slots that can be granted now.
func (a *SlotAllocator) Free() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.free
}

// TakingOver reports whether slots are held back until the members have reported their holdings.
func (a *SlotAllocator) TakingOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.awaiting != nil
}

// TakeChecks returns and resets the numbers of invariant checks, after checking that the counts of all workers add
// up.
func (a *SlotAllocator) TakeChecks() Checks {
	a.mu.Lock()
	defer a.mu.Unlock()
	free := 0
	for _, w := range a.workers {
		a.check(w.consistent())
		free += w.free()
	}
	a.check(free == a.free)
	c := a.checks
	a.checks = Checks{}
	return c
}

// check expects a.mu to be held.
func (a *SlotAllocator) check(ok bool) {
	a.checks.Made++
	if !ok {
		a.checks.Violated++
	}
}

// inTransit reports whether a grant is later than the last one that the member has received, and does not count as lost.
func (g unackedGrant) inTransit(received uint64, now time.Time) bool {
	return g.number > received && now.Sub(g.sent) < grantDelivery
}

// dropSettled removes the grants that a report of the member's holdings covers and those that count as lost.
func (m *grantee) dropSettled(reported uint64, now time.Time) {
	kept := m.unacked[:0]
	for _, g := range m.unacked {
		if g.inTransit(reported, now) {
			kept = append(kept, g)
		}
	}
	m.unacked = kept
}

// unackedSlots counts the slots of the grants that are in transit to the member.
func (m *grantee) unackedSlots(received uint64, now time.Time) Count {
	var c Count
	for _, g := range m.unacked {
		if g.inTransit(received, now) {
			c.Short += g.slots.Short
			c.Long += g.slots.Long
		}
	}
	return c
}
