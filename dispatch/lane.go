package dispatch

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/machine"
)

const (
	// idleLinger is how long an idle remote slot waits for new work before it is returned.
	idleLinger = 20 * time.Millisecond
	// startMargin is the least remaining time of a grant with which a start is still sent.
	startMargin = 200 * time.Millisecond
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

// Lane holds the waiting tasks and the slots of one service. mu guards the holdings and is taken before the lock
// of the queue.
type Lane struct {
	service *backend.Service
	queue   *customer.Queue
	speed   func(machine.WorkerID) float64

	mu         sync.Mutex
	holdings   contract.Holdings
	lastDemand contract.SlotDemand
	starts     backend.Attribution
	stopped    bool
}

// NewLane returns a lane without slots.
func NewLane(service *backend.Service, queue *customer.Queue, speed func(machine.WorkerID) float64) *Lane {
	return &Lane{service: service, queue: queue, speed: speed}
}

// Service returns the lane's service.
func (l *Lane) Service() *backend.Service { return l.service }

// Push queues tasks and matches them with idle slots.
func (l *Lane) Push(items []customer.Item, now time.Time) Plan {
	l.queue.Push(items)
	return l.Match(now)
}

// AddGrant takes over granted slots and matches them.
func (l *Lane) AddGrant(g contract.SlotGrant, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range g.Slots {
		l.holdings.Add(contract.Slot{
			Worker: g.Worker, Granter: g.Granter, Epoch: g.Epoch, Long: g.Long, Expires: now.Add(g.TTL),
		})
	}
	return l.match(now)
}

// Release ends the use of a slot. A slot that served keeps serving while work waits; reusable is false when the
// worker refused the start.
func (l *Lane) Release(s contract.Slot, reusable bool, now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings.Release()
	if !reusable {
		plan := l.match(now)
		plan.Returns = append(plan.Returns, l.returnOf(s))
		return plan
	}
	s.Expires = now.Add(idleLinger + startMargin)
	l.holdings.Add(s)
	return l.match(now)
}

// Match pairs waiting tasks with idle slots.
func (l *Lane) Match(now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.match(now)
}

// match expects l.mu to be held.
func (l *Lane) match(now time.Time) Plan {
	l.queue.Advance(now)
	plan := Plan{Returns: l.returns(l.holdings.TakeIdle(func(s contract.Slot) bool {
		return now.Add(startMargin).After(s.Expires)
	}))}
	for l.holdings.Idle() > 0 && !l.stopped {
		slot, item, ok := l.pair()
		if !ok {
			break
		}
		plan.Assignments = append(plan.Assignments, Assignment{Item: item, Slot: slot})
	}
	l.settle(&plan)
	return plan
}

// pair expects l.mu to be held.
func (l *Lane) pair() (contract.Slot, customer.Item, bool) {
	anyLong := l.holdings.HasLong()
	item, ok := l.queue.Pop(anyLong)
	if !ok {
		return contract.Slot{}, customer.Item{}, false
	}
	slot, ok := l.holdings.TakeBest(item.Class == backend.ClassLong, l.speed)
	if !ok {
		l.queue.PutBack([]customer.Item{item})
		return contract.Slot{}, customer.Item{}, false
	}
	return slot, item, true
}

// settle states the remaining demand and returns slots that nothing waits for. It expects l.mu to be held.
func (l *Lane) settle(plan *Plan) {
	depth := l.queue.Depth()
	if depth.Short+depth.Long == 0 {
		plan.Returns = append(plan.Returns, l.returns(l.holdings.TakeIdle(func(contract.Slot) bool { return true }))...)
	}
	demand := contract.SlotDemand{Service: l.service.Name(), Short: depth.Short, Long: depth.Long}
	if l.stopped {
		demand.Short, demand.Long = 0, 0
	}
	if demand != l.lastDemand {
		l.lastDemand = demand
		plan.Demand = &demand
	}
}

func (l *Lane) returns(slots []contract.Slot) []contract.SlotReturn {
	var out []contract.SlotReturn
	for _, s := range slots {
		out = append(out, l.returnOf(s))
	}
	return out
}

func (l *Lane) returnOf(s contract.Slot) contract.SlotReturn {
	r := contract.SlotReturn{
		Service: l.service.Name(), Worker: s.Worker, Granter: s.Granter, Slots: 1, Epoch: s.Epoch, Long: s.Long,
	}
	if !s.Used {
		r.Unused = 1
	}
	return r
}

// Stop ends the matching; waiting tasks stay in the queue.
func (l *Lane) Stop(now time.Time) Plan {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	return l.match(now)
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
	return LaneView{
		Service: l.service.Name(), Depth: l.queue.Depth(), Idle: l.holdings.Idle(), Busy: l.holdings.Busy(),
	}
}
