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
	// idleTimeout is how long a slot leased from another entry VM may stay idle before it is returned, while its
	// allocator has other free slots: returning it and granting it again costs messages.
	idleTimeout = 50 * time.Millisecond
	// unusedTimeout is how long a granted slot waits for its first task while free slots are scarce. The tasks for which
	// it was requested may have started on slots that the VM already held; returning the slot at once would then waste
	// the message that granted it.
	unusedTimeout = 10 * time.Millisecond
	// piggybackIdle is the idle time after which a slot is returned along with others of the same allocator.
	piggybackIdle = 15 * time.Millisecond
	// startMargin is the minimum remaining time of a grant for a start to be sent.
	startMargin = 200 * time.Millisecond
	// recallTTL is how long a recall applies to slots that become free.
	recallTTL = 400 * time.Millisecond
)

// Assignment is a task matched with a slot.
type Assignment struct {
	Item customer.Item
	Slot contract.Slot
}

// Plan lists the actions that follow from a decision. They are carried out after the scheduler's lock is released.
type Plan struct {
	Assignments []Assignment
	Returns     []contract.SlotReturn
	Demand      *contract.SlotDemand
}

// SchedulerOptions are the dependencies that the schedulers of a dispatcher share.
type SchedulerOptions struct {
	// Speed returns the speed of a worker.
	Speed func(machine.WorkerID) float64
	// Allocator returns the entry VM that leases out the slots of a worker.
	Allocator func(machine.WorkerID) string
	// MayStart reports whether this home node may start tasks now; nil means always. Each tick checks again.
	MayStart func() bool
	// Leaving reports whether the worker list shows a worker as leaving; nil means none is.
	Leaving func(machine.WorkerID) bool
	// Scarce reports whether a service has hardly any free slots, so that idle ones must be returned early.
	Scarce func(service string) bool
	// Self is this entry VM.
	Self string
	// Placement chooses workers without grants; nil selects the default policy.
	Placement *Placement
}

// Scheduler is the scheduler of one service: it holds the service's waiting tasks and slots on this entry VM. mu
// guards the fields below it and is acquired before the lock of the queue.
type Scheduler struct {
	service *backend.Service
	queue   *customer.Queue
	o       SchedulerOptions

	mu       sync.Mutex
	holdings contract.Holdings
	// waiting tracks the waiting times of the queued tasks by class.
	waiting  [2]backlog
	reported contract.SlotDemand
	recalls  map[string]recall
	// rejections distinguishes a worker that rejects starts from a period in which many workers do.
	rejections backend.Attribution
	stopped    bool
	// suspended is set if the last call of match was not allowed to start tasks.
	suspended bool
}

// recall is an allocator's request to return slots.
type recall struct {
	slots int
	since time.Time // time at which the oldest task of the requesting member was queued
	until time.Time
}

// NewScheduler returns the scheduler of a service, without slots.
func NewScheduler(service *backend.Service, queue *customer.Queue, o SchedulerOptions) *Scheduler {
	return &Scheduler{service: service, queue: queue, o: o, recalls: make(map[string]recall)}
}

// Service returns the service whose tasks are scheduled.
func (sched *Scheduler) Service() *backend.Service { return sched.service }

// Push queues tasks and matches them with idle slots.
func (sched *Scheduler) Push(items []customer.Item, now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	for i := range items {
		sched.waiting[items[i].Class].push(1, items[i].Enqueued)
	}
	sched.queue.Push(items)
	return sched.match(now)
}

// AddGrants adds granted slots and matches them with waiting tasks.
func (sched *Scheduler) AddGrants(grants []contract.SlotGrant, now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	for _, g := range grants {
		s := contract.Slot{Worker: g.Worker, Epoch: g.Epoch, Expires: now.Add(g.TTL), IdleSince: now}
		speed := sched.o.Speed(g.Worker)
		for range g.Short {
			sched.holdings.Add(s, speed)
		}
		s.Long = true
		for range g.Long {
			sched.holdings.Add(s, speed)
		}
	}
	return sched.match(now)
}

// Release frees a slot after its task has ended. The slot is kept for waiting work unless it has been recalled.
func (sched *Scheduler) Release(s contract.Slot, now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.o.Placement != nil {
		sched.o.Placement.Release(s.Worker)
		return sched.match(now)
	}
	if sched.recalled(s, now) {
		sched.holdings.Drop(s)
		plan := sched.match(now)
		plan.Returns = append(plan.Returns, sched.returnOf(s))
		return plan
	}
	sched.holdings.Release(s, sched.o.Speed(s.Worker), now)
	return sched.match(now)
}

// Reject returns a slot whose worker rejected the start. full is set if the worker had no free slot.
func (sched *Scheduler) Reject(s contract.Slot, full bool, now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.o.Placement != nil {
		sched.o.Placement.Reject(s.Worker, now)
		return sched.match(now)
	}
	sched.holdings.Drop(s)
	plan := sched.match(now)
	r := sched.returnOf(s)
	r.Rejected = full
	plan.Returns = append(plan.Returns, r)
	return plan
}

// Recall returns up to n idle slots of an allocator that no task waits for. If there are fewer, the rest of the n slots
// are returned as they become free. wait is how long the oldest task of the requesting member has waited.
func (sched *Scheduler) Recall(allocator string, n int, wait time.Duration, now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	plan := sched.match(now)
	idle := sched.holdings.DropIdle(func(s contract.Slot) bool {
		if n <= 0 || sched.o.Allocator(s.Worker) != allocator {
			return false
		}
		n--
		return true
	})
	plan.Returns = append(plan.Returns, sched.returns(idle)...)
	delete(sched.recalls, allocator)
	if n > 0 {
		sched.recalls[allocator] = recall{slots: n, since: now.Add(-wait), until: now.Add(recallTTL)}
	}
	return plan
}

// recalled reports whether a slot that becomes free has to be returned. It expects sched.mu to be held.
func (sched *Scheduler) recalled(s contract.Slot, now time.Time) bool {
	if len(sched.recalls) == 0 {
		return false
	}
	allocator := sched.o.Allocator(s.Worker)
	r, ok := sched.recalls[allocator]
	if !ok {
		return false
	}
	if r.slots <= 0 || now.After(r.until) {
		delete(sched.recalls, allocator)
		return false
	}
	own := sched.waiting[backend.ClassShort].wait(now)
	if own > 0 && !zone.MayRecall(now.Sub(r.since), own) {
		return false
	}
	r.slots--
	sched.recalls[allocator] = r
	return true
}

// Match pairs waiting tasks with idle slots.
func (sched *Scheduler) Match(now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.match(now)
}

// Tick returns slots that have exceeded their idle timeout or whose grant is about to expire, and reports the demand
// again.
func (sched *Scheduler) Tick(now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	plan := sched.match(now)
	if sched.o.Placement != nil {
		return plan
	}
	if sched.holdings.Idle() > 0 {
		plan.Returns = append(plan.Returns, sched.idleReturns(now)...)
	}
	if d := sched.demand(now); d.Short+d.Long > 0 || d.Short != sched.reported.Short || d.Long != sched.reported.Long {
		plan.Demand = sched.report(d)
	}
	return plan
}

// idleReturns gives up the slots that have exceeded their idle timeout, along with others of the same allocators to
// save messages. It expects sched.mu to be held.
func (sched *Scheduler) idleReturns(now time.Time) []contract.SlotReturn {
	allocators := make(map[string]bool)
	timeout := idleTimeout
	if sched.o.Scarce(sched.service.Name()) {
		timeout = unusedTimeout
	}
	out := sched.returns(sched.holdings.DropIdle(func(s contract.Slot) bool {
		if now.Sub(s.IdleSince) >= timeout || !sched.usable(s, now) {
			allocators[sched.o.Allocator(s.Worker)] = true
			return true
		}
		return false
	}))
	if len(allocators) == 0 {
		return nil
	}
	return append(out, sched.returns(sched.holdings.DropIdle(func(s contract.Slot) bool {
		return now.Sub(s.IdleSince) >= piggybackIdle && allocators[sched.o.Allocator(s.Worker)]
	}))...)
}

// adjustHoldings reports a demand that has increased or dropped to zero, and returns idle slots that no task waits
// for: those of this VM's own workers, which need no message, and all used ones if free slots are scarce. Other changes
// of the demand are reported by the next tick. It expects sched.mu to be held.
func (sched *Scheduler) adjustHoldings(plan *Plan, depth customer.Depth, now time.Time) {
	if sched.holdings.Idle() > 0 && depth.Short == 0 {
		scarce := sched.o.Scarce(sched.service.Name())
		plan.Returns = append(plan.Returns, sched.returns(sched.holdings.DropIdle(func(s contract.Slot) bool {
			// If long work waits, idle slots for short work are returned as well: only the allocator can grant them for
			// long work, within its share.
			return (scarce && s.Used) || (depth.Long > 0 && !s.Long) || sched.o.Allocator(s.Worker) == sched.o.Self
		}))...)
	}
	d := sched.demand(now)
	ended := d.Short+d.Long == 0 && sched.reported.Short+sched.reported.Long > 0
	if d.Short > sched.reported.Short || d.Long > sched.reported.Long || ended {
		plan.Demand = sched.report(d)
	}
}

// demand returns the present demand. It expects sched.mu to be held.
func (sched *Scheduler) demand(now time.Time) contract.SlotDemand {
	d := contract.SlotDemand{Service: sched.service.Name()}
	if sched.stopped {
		return d
	}
	short, long := &sched.waiting[backend.ClassShort], &sched.waiting[backend.ClassLong]
	d.Short, d.ShortWait = short.length, short.wait(now)
	d.Long, d.LongWait = long.length, long.wait(now)
	return d
}

// Demand returns the present demand under a new version and records it as reported.
func (sched *Scheduler) Demand(now time.Time) contract.SlotDemand {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return *sched.report(sched.demand(now))
}

// report records a demand as reported and gives it the next version. It expects sched.mu to be held.
func (sched *Scheduler) report(d contract.SlotDemand) *contract.SlotDemand {
	d.Version = sched.reported.Version + 1
	sched.reported = d
	return &d
}

// returns converts slots to returns and merges adjacent slots of the same worker.
func (sched *Scheduler) returns(slots []contract.Slot) []contract.SlotReturn {
	var out []contract.SlotReturn
	for _, s := range slots {
		r := sched.returnOf(s)
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

func (sched *Scheduler) returnOf(s contract.Slot) contract.SlotReturn {
	r := contract.SlotReturn{Service: sched.service.Name(), Worker: s.Worker}
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
func (sched *Scheduler) Renew(until time.Time, renewed func(machine.WorkerID) bool) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.holdings.Renew(until, renewed)
}

// Held returns the number of held slots of each worker.
func (sched *Scheduler) Held() []contract.HeldSlots {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.holdings.Held()
}

// OldestShortWait returns how long the oldest waiting short task has waited, or zero if none waits.
func (sched *Scheduler) OldestShortWait(now time.Time) time.Duration {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.waiting[backend.ClassShort].wait(now)
}

// Stop suspends matching permanently and returns all idle slots; waiting tasks stay in the queue.
func (sched *Scheduler) Stop(now time.Time) Plan {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.stopped = true
	plan := sched.match(now)
	plan.Returns = append(plan.Returns,
		sched.returns(sched.holdings.DropIdle(func(contract.Slot) bool { return true }))...)
	return plan
}

// SchedulerView is the state of a scheduler as shown to operators.
type SchedulerView struct {
	Service string
	Depth   customer.Depth
	Idle    int
	Busy    int
}

// View returns the state of the scheduler.
func (sched *Scheduler) View() SchedulerView {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	v := SchedulerView{
		Service: sched.service.Name(), Depth: sched.queue.Depth(),
		Idle: sched.holdings.Idle(), Busy: sched.holdings.Busy(),
	}
	if sched.o.Placement != nil {
		v.Busy = sched.o.Placement.InFlight(sched.service.Name())
	}
	return v
}

// Check reports whether the counts of the holdings are consistent and no short task waits that could use an idle slot.
func (sched *Scheduler) Check() bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if !sched.holdings.Consistent() {
		return false
	}
	if sched.suspended || sched.o.Placement != nil || sched.holdings.Idle() == 0 {
		return true
	}
	it, ok := sched.queue.Pop(false)
	if ok {
		sched.queue.Push([]customer.Item{it})
	}
	return !ok
}
