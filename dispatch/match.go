package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
)

// match assigns waiting tasks to slots unless starts are suspended, and adjusts the holdings to the remaining tasks. It
// expects sched.mu to be held.
func (sched *Scheduler) match(now time.Time) Plan {
	var plan Plan
	sched.queue.Advance(now)
	sched.suspended = sched.stopped || sched.o.MayStart != nil && !sched.o.MayStart()
	if !sched.suspended && sched.o.Placement != nil {
		sched.assignByPolicy(&plan, now)
	} else if !sched.suspended {
		sched.assignSlots(&plan, now)
	}
	depth := sched.queue.Depth()
	sched.waiting[backend.ClassShort].trim(depth.Short, now)
	sched.waiting[backend.ClassLong].trim(depth.Long, now)
	if sched.o.Placement == nil {
		sched.adjustHoldings(&plan, depth, now)
	}
	return plan
}

// assignSlots assigns waiting tasks to idle slots. Among the tasks that start together, long work gets the slowest
// workers and the longest short tasks get the fastest ones, since they determine when their job completes. It expects
// sched.mu to be held.
func (sched *Scheduler) assignSlots(plan *Plan, now time.Time) {
	for sched.holdings.Idle() > 0 {
		items, long := sched.popTasks()
		if len(items) == 0 {
			return
		}
		plan.Assignments = slices.Grow(plan.Assignments, len(items))
		for i, it := range items {
			take := sched.holdings.TakeShort
			if i < long {
				take = sched.holdings.TakeLong
			}
			s, ok := sched.takeUsable(take, plan, now)
			if !ok {
				// Slots whose grants expire too soon were counted as idle.
				sched.requeue(items[i:])
				return
			}
			plan.Assignments = append(plan.Assignments, Assignment{Item: it, Slot: s})
		}
	}
}

// requeue puts back tasks for which no slot was left. It expects sched.mu to be held.
func (sched *Scheduler) requeue(items []customer.Item) {
	for i := range items {
		sched.queue.Refund(items[i])
		items[i].Charged = false
	}
	sched.queue.Push(items)
}

// popTasks removes up to as many tasks from the queue as there are idle slots. It returns them with the long ones
// first, and the number of long ones. It expects sched.mu to be held.
func (sched *Scheduler) popTasks() ([]customer.Item, int) {
	idle, idleLong := sched.holdings.Idle(), sched.holdings.IdleLong()
	depth := sched.queue.Depth()
	items := make([]customer.Item, 0, min(idle, depth.Short+depth.Long))
	long := 0
	for len(items) < idle {
		// Long tasks are also limited by the slots that remain, because short tasks may take slots for long work.
		it, ok := sched.queue.Pop(long < min(idleLong, idle-len(items)))
		if !ok {
			break
		}
		if it.Class == backend.ClassLong {
			long++
		}
		items = append(items, it)
	}
	if len(items) > 1 {
		sort.SliceStable(items, func(i, j int) bool {
			if items[i].Class != items[j].Class {
				return items[i].Class > items[j].Class
			}
			return items[i].Expected > items[j].Expected
		})
	}
	return items, long
}

// takeUsable takes an idle slot into use and returns expiring ones to their allocators. Slots of a leaving worker are
// returned as rejected, so that an allocator that has not seen the worker list withholds them instead of granting them
// again. It expects sched.mu to be held.
func (sched *Scheduler) takeUsable(take func() (contract.Slot, bool), plan *Plan, now time.Time) (contract.Slot, bool) {
	for {
		s, ok := take()
		leaving := ok && sched.o.Leaving != nil && sched.o.Leaving(s.Worker)
		if !ok || !leaving && sched.usable(s, now) {
			return s, ok
		}
		sched.holdings.Drop(s)
		r := sched.returnOf(s)
		r.Rejected = leaving
		plan.Returns = append(plan.Returns, r)
	}
}

// assignByPolicy assigns waiting tasks to workers that a baseline policy chooses. It expects sched.mu to be held.
func (sched *Scheduler) assignByPolicy(plan *Plan, now time.Time) {
	for {
		worker, ok := sched.o.Placement.Choose(sched.service.Name(), now)
		if !ok {
			return
		}
		it, ok := sched.queue.Pop(true)
		if !ok {
			sched.o.Placement.Release(worker)
			return
		}
		plan.Assignments = append(plan.Assignments, Assignment{Item: it, Slot: contract.Slot{Worker: worker}})
	}
}

// usable reports whether the grant of a slot remains valid long enough for a start.
func (sched *Scheduler) usable(s contract.Slot, now time.Time) bool {
	return now.Add(startMargin).Before(sched.holdings.Expires(s))
}
