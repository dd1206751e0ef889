package dispatch

import (
	"math"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/fault"
)

const (
	// DefaultMaxWaiting bounds the waiting tasks of an entry VM. At 2,300 starts/s they are 17 s of work, longer than
	// any usual deadline.
	DefaultMaxWaiting = 40_000
	// DefaultMaxWaitingBytes bounds the total payload size of the waiting tasks.
	DefaultMaxWaitingBytes = 256 << 20
	// tailShare is the share of jobs whose longest task may exceed the run time that admission assumes for it.
	tailShare = 0.1
	// longCap is the maximum share of the slots that long work may hold; longFloor is its share while short work waits.
	longCap   = 0.4
	longFloor = 0.1
)

// admission decides whether to accept a job with its items. Its errors prove that no task of the job was started.
func (d *Dispatcher) admission(sched *Scheduler, spec *contract.JobSpec, items []customer.Item, now time.Time) error {
	if err := d.checkKinds(items, spec.Service, now); err != nil {
		return err
	}
	if err := d.checkBounds(items); err != nil {
		return err
	}
	if d.o.Capacity == nil {
		return nil
	}
	slots, workers := d.o.Capacity(spec.Service)
	if workers == 0 {
		return fault.With(fault.Refused, "no worker", "no worker serves %s in this failure domain", spec.Service)
	}
	loads := loadsOf(items, spec.Deadline)
	for class, load := range loads {
		if load.Work == 0 {
			continue
		}
		c := backend.Class(class)
		key := customer.TeamKey{Customer: spec.Customer, Team: spec.Team}
		v := customer.Admit(sched.queue.Backlog(key, c), load, classSlots(slots, c, sched.queue.Depth()), now)
		if !v.Admit {
			return overloaded(v, spec.Deadline.Sub(now))
		}
	}
	return nil
}

func overloaded(v customer.Verdict, allowed time.Duration) error {
	return fault.Overload("overloaded", v.RetryAfter, "the expected wait of %s does not fit the deadline in %s",
		v.Wait.Round(time.Millisecond), allowed.Round(time.Millisecond))
}

// checkKinds refuses request kinds that fail on every worker, except for an occasional trial job.
func (d *Dispatcher) checkKinds(items []customer.Item, service string, now time.Time) error {
	var last *backend.RequestKind
	for i := range items {
		k := items[i].Kind
		if k == last {
			continue
		}
		last = k
		if k.Failing() && k.FailsEverywhere(d.workersOf(service), now) && !k.AllowTrial(now) {
			return fault.With(fault.Refused, "kind fails", "request kind %s fails on every worker", k.Spec().Name)
		}
	}
	return nil
}

// checkBounds limits the number of waiting tasks and the size of their payloads, to bound the memory of the VM.
// Concurrent submissions may exceed the limits by one job each.
func (d *Dispatcher) checkBounds(items []customer.Item) error {
	tasks, bytes := len(items), 0
	for i := range items {
		bytes += items[i].Bytes
	}
	for _, sched := range d.Schedulers() {
		depth := sched.queue.Depth()
		tasks += depth.Waiting
		bytes += depth.Bytes
	}
	if tasks > orDefault(d.o.MaxWaiting, DefaultMaxWaiting) || bytes > orDefault(d.o.MaxWaitingBytes, DefaultMaxWaitingBytes) {
		return fault.Overload("queue full", time.Second, "%d tasks with %d bytes would wait", tasks, bytes)
	}
	return nil
}

func orDefault(v, fallback int) int {
	if v > 0 {
		return v
	}
	return fallback
}

// loadsOf sums the tasks of a job by class.
func loadsOf(items []customer.Item, deadline time.Time) [2]customer.Load {
	var loads [2]customer.Load
	var counts [2]int
	var last *backend.RequestKind
	for i := range items {
		it := &items[i]
		l := &loads[it.Class]
		if it.Kind != last {
			last = it.Kind
			l.Longest = max(l.Longest, last.TailRunTime(tailShare/float64(len(items))))
		}
		l.Deadline = deadline
		l.Work += it.Expected
		counts[it.Class]++
	}
	for c := range loads {
		loads[c].Typical = loads[c].Work / time.Duration(max(1, counts[c]))
	}
	return loads
}

// classSlots returns the number of slots that admission assumes for a class.
func classSlots(slots float64, c backend.Class, depth customer.Depth) float64 {
	if c == backend.ClassShort {
		return slots
	}
	if depth.ShortWork > 0 {
		return slots * longFloor
	}
	return slots * longCap
}

// ShareOfCapacity returns the number of slots that an entry VM can rely on: its equal share of the failure domain's
// slots, or the slots that it holds plus the free ones if these are more.
func ShareOfCapacity(total float64, members int, heldAndFree float64) float64 {
	return math.Max(total/math.Max(1, float64(members)), math.Min(total, heldAndFree))
}
