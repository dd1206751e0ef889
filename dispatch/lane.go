package dispatch

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// idleLinger is how long an idle slot of another VM's worker waits for new work before it is returned, while its
	// granter has others free: returning and granting it again costs messages.
	idleLinger = 50 * time.Millisecond
	// unusedLinger is how long a granted slot waits for its first task while free slots are scarce. Slots that were in use
	// already may serve the tasks that it was asked for; returned at once it would be a wasted message.
	unusedLinger = 10 * time.Millisecond
	// idleAlong is the idle time after which a slot is returned along with others to the same granter.
	idleAlong = 15 * time.Millisecond
	// startMargin is the least remaining time of a grant with which a start is still sent.
	startMargin = 200 * time.Millisecond
	// recallValid is how long a recall applies to the slots that become free.
	recallValid = 400 * time.Millisecond
)

// Assignment is a task matched with a slot.
type Assignment struct {
	Item customer.Item
	Slot contract.Slot
}

// Plan is what has to be done after a decision, once the lock is released.
type Plan struct {
	Assignments []Assignment
	Returns     []contract.SlotReturn
	Demand      *contract.SlotDemand
}

// LaneOptions are the parts that the lanes of a dispatcher share.
type LaneOptions struct {
	// Speed returns the speed of a worker.
	Speed func(machine.WorkerID) float64
	// Granter returns the entry VM that grants the slots of a worker.
	Granter func(machine.WorkerID) string
	// MayStart reports whether this home may start tasks now; nil means always. The tick looks again.
	MayStart func() bool
	// Leaving reports that the list shows a worker as leaving; nil means none.
	Leaving func(machine.WorkerID) bool
	// Scarce reports whether there are hardly any free slots of a service, so that idle ones must not linger.
	Scarce func(service string) bool
	// Self is this entry VM.
	Self string
	// Placement chooses workers without grants; nil selects the default policy.
	Placement *Placement
}

// Lane holds the waiting tasks and the slots of one service. mu guards the holdings and is taken before the lock
// of the queue.
type Lane struct {
	service *backend.Service
	queue   *customer.Queue
	o       LaneOptions

	mu       sync.Mutex
	holdings contract.Holdings
	// waiting follows the ages of the queued tasks, by class.
	waiting [2]backlog
	stated  contract.SlotDemand
	recalls map[string]recall
	// starts tells workers that reject starts from times at which many do.
	starts  backend.Attribution
	stopped bool
	// halted says that nothing was matched the last time.
	halted bool
}

// recall is a granter's wish to have slots back.
type recall struct {
	slots int
	since time.Time // time at which the oldest task of the demander was queued
	until time.Time
}

// NewLane returns a lane without slots.
func NewLane(service *backend.Service, queue *customer.Queue, o LaneOptions) *Lane {
	return &Lane{service: service, queue: queue, o: o, recalls: make(map[string]recall)}
}

// Service returns the lane's service.
func (l *Lane) Service() *backend.Service { return l.service }

// Push queues tasks and matches them with idle slots.
func (l *Lane) Push(items []customer.Item, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range items {
		l.waiting[items[i].Class].push(1, items[i].Enqueued)
	}
	l.queue.Push(items)
	return l.match(now)
}

// AddGrants takes over granted slots and matches them.
func (l *Lane) AddGrants(grants []contract.SlotGrant, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range grants {
		s := contract.Slot{Worker: g.Worker, Epoch: g.Epoch, Expires: now.Add(g.TTL), IdleSince: now}
		speed := l.o.Speed(g.Worker)
		for range g.Short {
			l.holdings.Add(s, speed)
		}
		s.Long = true
		for range g.Long {
			l.holdings.Add(s, speed)
		}
	}
	return l.match(now)
}

// Release ends the use of a slot. It keeps serving while work waits, unless it is recalled.
func (l *Lane) Release(s contract.Slot, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.o.Placement != nil {
		l.o.Placement.Release(s.Worker)
		return l.match(now)
	}
	if l.recalled(s, now) {
		l.holdings.Drop(s)
		plan := l.match(now)
		plan.Returns = append(plan.Returns, l.returnOf(s))
		return plan
	}
	l.holdings.Release(s, l.o.Speed(s.Worker), now)
	return l.match(now)
}

// Reject ends the use of a slot on which the worker refused the start. full says that it had no free slot.
func (l *Lane) Reject(s contract.Slot, full bool, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.o.Placement != nil {
		l.o.Placement.Reject(s.Worker, now)
		return l.match(now)
	}
	l.holdings.Drop(s)
	plan := l.match(now)
	r := l.returnOf(s)
	r.Rejected = full
	plan.Returns = append(plan.Returns, r)
	return plan
}

// Recall returns idle slots of a granter that nothing waits for, and marks the rest of the n slots to be returned as
// they become free.
func (l *Lane) Recall(granter string, n int, wait time.Duration, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	plan := l.match(now)
	idle := l.holdings.DropIdle(func(s contract.Slot) bool {
		if n <= 0 || l.o.Granter(s.Worker) != granter {
			return false
		}
		n--
		return true
	})
	plan.Returns = append(plan.Returns, l.returns(idle)...)
	delete(l.recalls, granter)
	if n > 0 {
		l.recalls[granter] = recall{slots: n, since: now.Add(-wait), until: now.Add(recallValid)}
	}
	return plan
}

// recalled reports whether a slot that becomes free has to be returned. It expects l.mu to be held.
func (l *Lane) recalled(s contract.Slot, now time.Time) bool {
	if len(l.recalls) == 0 {
		return false
	}
	granter := l.o.Granter(s.Worker)
	r, ok := l.recalls[granter]
	if !ok {
		return false
	}
	if r.slots <= 0 || now.After(r.until) {
		delete(l.recalls, granter)
		return false
	}
	own := l.waiting[backend.ClassShort].wait(now)
	if own > 0 && !zone.MayRecall(now.Sub(r.since), own) {
		return false
	}
	r.slots--
	l.recalls[granter] = r
	return true
}

// Match pairs waiting tasks with idle slots.
func (l *Lane) Match(now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.match(now)
}

// Tick returns slots that have been idle for long or whose grant has lapsed, and states the demand again.
func (l *Lane) Tick(now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	plan := l.match(now)
	if l.o.Placement != nil {
		return plan
	}
	if l.holdings.Idle() > 0 {
		plan.Returns = append(plan.Returns, l.lingered(now)...)
	}
	if d := l.demand(now); d.Short+d.Long > 0 || d.Short != l.stated.Short || d.Long != l.stated.Long {
		plan.Demand = l.state(d)
	}
	return plan
}

// lingered returns the slots that have been idle for long, with others of the same granters to save messages. It
// expects l.mu to be held.
func (l *Lane) lingered(now time.Time) []contract.SlotReturn {
	granters := make(map[string]bool)
	linger := idleLinger
	if l.o.Scarce(l.service.Name()) {
		linger = unusedLinger
	}
	out := l.returns(l.holdings.DropIdle(func(s contract.Slot) bool {
		if now.Sub(s.IdleSince) >= linger || !l.usable(s, now) {
			granters[l.o.Granter(s.Worker)] = true
			return true
		}
		return false
	}))
	if len(granters) == 0 {
		return nil
	}
	return append(out, l.returns(l.holdings.DropIdle(func(s contract.Slot) bool {
		return now.Sub(s.IdleSince) >= idleAlong && granters[l.o.Granter(s.Worker)]
	}))...)
}

// settle states a demand that has grown or ended, and returns slots that nothing waits for: own ones, which need no
// message, and all if hardly any are free. Smaller changes of the demand are left to the tick. It expects l.mu to be held.
func (l *Lane) settle(plan *Plan, depth customer.Depth, now time.Time) {
	if l.holdings.Idle() > 0 && depth.Short == 0 {
		scarce := l.o.Scarce(l.service.Name())
		plan.Returns = append(plan.Returns, l.returns(l.holdings.DropIdle(func(s contract.Slot) bool {
			// Long work may wait for slots that count against its share, which only the granter can give.
			return (scarce && s.Used) || (depth.Long > 0 && !s.Long) || l.o.Granter(s.Worker) == l.o.Self
		}))...)
	}
	d := l.demand(now)
	ended := d.Short+d.Long == 0 && l.stated.Short+l.stated.Long > 0
	if d.Short > l.stated.Short || d.Long > l.stated.Long || ended {
		plan.Demand = l.state(d)
	}
}

// demand expects l.mu to be held.
func (l *Lane) demand(now time.Time) contract.SlotDemand {
	d := contract.SlotDemand{Service: l.service.Name()}
	if l.stopped {
		return d
	}
	short, long := &l.waiting[backend.ClassShort], &l.waiting[backend.ClassLong]
	d.Short, d.ShortWait = short.length, short.wait(now)
	d.Long, d.LongWait = long.length, long.wait(now)
	return d
}

// Demand returns the demand as it is now.
func (l *Lane) Demand(now time.Time) contract.SlotDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.state(l.demand(now))
}

// state expects l.mu to be held.
func (l *Lane) state(d contract.SlotDemand) *contract.SlotDemand {
	d.Version = l.stated.Version + 1
	l.stated = d
	return &d
}

// returns joins the returned slots of a worker.
func (l *Lane) returns(slots []contract.Slot) []contract.SlotReturn {
	var out []contract.SlotReturn
	for _, s := range slots {
		r := l.returnOf(s)
		if n := len(out); n > 0 && out[n-1].Worker == r.Worker {
			out[n-1].Short += r.Short
			out[n-1].Long += r.Long
			out[n-1].Unused += r.Unused
			continue
		}
		out = append(out, r)
	}
	return out
}

func (l *Lane) returnOf(s contract.Slot) contract.SlotReturn {
	r := contract.SlotReturn{Service: l.service.Name(), Worker: s.Worker}
	if s.Long {
		r.Long = 1
	} else {
		r.Short = 1
	}
	if !s.Used {
		r.Unused = 1
	}
	return r
}

// Renew extends the grants of the workers for which renewed returns true.
func (l *Lane) Renew(until time.Time, renewed func(machine.WorkerID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings.Renew(until, renewed)
}

// Held returns what the lane holds of each worker.
func (l *Lane) Held() []contract.HeldSlots {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings.Held()
}

// Waited returns the wait of the oldest waiting short task, zero without any.
func (l *Lane) Waited(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[backend.ClassShort].wait(now)
}

// Stop ends the matching; waiting tasks stay in the queue.
func (l *Lane) Stop(now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	plan := l.match(now)
	plan.Returns = append(plan.Returns, l.returns(l.holdings.DropIdle(func(contract.Slot) bool { return true }))...)
	return plan
}

// LaneView is a lane as shown to operators.
type LaneView struct {
	Service string
	Depth   customer.Depth
	Idle    int
	Busy    int
}

// View returns the lane's state.
func (l *Lane) View() LaneView {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := LaneView{
		Service: l.service.Name(), Depth: l.queue.Depth(), Idle: l.holdings.Idle(), Busy: l.holdings.Busy(),
	}
	if l.o.Placement != nil {
		v.Busy = l.o.Placement.InFlight(l.service.Name())
	}
	return v
}

// Check reports whether the counts of the holdings add up and no short task waits that could use an idle slot.
func (l *Lane) Check() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdings.Consistent() {
		return false
	}
	if l.halted || l.o.Placement != nil || l.holdings.Idle() == 0 {
		return true
	}
	it, ok := l.queue.Pop(false)
	if ok {
		l.queue.Push([]customer.Item{it})
	}
	return !ok
}
