package dispatch

import (
	"slices"
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
)

// match expects l.mu to be held.
func (l *Lane) match(now time.Time) Plan {
	var plan Plan
	l.queue.Advance(now)
	l.halted = l.stopped || l.o.MayStart != nil && !l.o.MayStart()
	if !l.halted && l.o.Placement != nil {
		l.place(&plan, now)
	} else if !l.halted {
		l.pair(&plan, now)
	}
	depth := l.queue.Depth()
	l.waiting[backend.ClassShort].trim(depth.Short, now)
	l.waiting[backend.ClassLong].trim(depth.Long, now)
	if l.o.Placement == nil {
		l.settle(&plan, depth, now)
	}
	return plan
}

// pair assigns waiting tasks to idle slots. Of the tasks that start together, long work gets the slowest workers and
// the longest short tasks get the fastest ones, as they decide when their job ends. It expects l.mu to be held.
func (l *Lane) pair(plan *Plan, now time.Time) {
	for l.holdings.Idle() > 0 {
		items, long := l.next()
		if len(items) == 0 {
			return
		}
		plan.Assignments = slices.Grow(plan.Assignments, len(items))
		for i, it := range items {
			take := l.holdings.TakeShort
			if i < long {
				take = l.holdings.TakeLong
			}
			s, ok := l.takeUsable(take, plan, now)
			if !ok {
				// Lapsed slots were counted as idle.
				l.requeue(items[i:])
				return
			}
			plan.Assignments = append(plan.Assignments, Assignment{Item: it, Slot: s})
		}
	}
}

// requeue puts back tasks for which no slot was left. It expects l.mu to be held.
func (l *Lane) requeue(items []customer.Item) {
	for i := range items {
		l.queue.Returned(items[i])
		items[i].Charged = false
	}
	l.queue.Push(items)
}

// next removes as many tasks from the queue as there are idle slots, long ones first, and returns the number of long
// ones. It expects l.mu to be held.
func (l *Lane) next() ([]customer.Item, int) {
	idle, idleLong := l.holdings.Idle(), l.holdings.IdleLong()
	depth := l.queue.Depth()
	items := make([]customer.Item, 0, min(idle, depth.Short+depth.Long))
	long := 0
	for len(items) < idle {
		// Short tasks may have taken all but idle-len(items) slots, the ones for long work among them.
		it, ok := l.queue.Pop(long < min(idleLong, idle-len(items)))
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

// takeUsable takes an idle slot into use and returns lapsed ones to their granters. Slots of a leaving worker are
// returned as rejected, so that a granter which has not seen the list withholds them instead of granting them again. It
// expects l.mu to be held.
func (l *Lane) takeUsable(take func() (contract.Slot, bool), plan *Plan, now time.Time) (contract.Slot, bool) {
	for {
		s, ok := take()
		leaving := ok && l.o.Leaving != nil && l.o.Leaving(s.Worker)
		if !ok || !leaving && l.usable(s, now) {
			return s, ok
		}
		l.holdings.Drop(s)
		r := l.returnOf(s)
		r.Rejected = leaving
		plan.Returns = append(plan.Returns, r)
	}
}

// place assigns waiting tasks to workers chosen by a baseline policy. It expects l.mu to be held.
func (l *Lane) place(plan *Plan, now time.Time) {
	for {
		worker, ok := l.o.Placement.Choose(l.service.Name(), now)
		if !ok {
			return
		}
		it, ok := l.queue.Pop(true)
		if !ok {
			l.o.Placement.Release(worker)
			return
		}
		plan.Assignments = append(plan.Assignments, Assignment{Item: it, Slot: contract.Slot{Worker: worker}})
	}
}

// usable reports whether the grant of a slot lasts long enough for a start.
func (l *Lane) usable(s contract.Slot, now time.Time) bool {
	return now.Add(startMargin).Before(l.holdings.Expires(s))
}
