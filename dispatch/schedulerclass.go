package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

// observeStart records whether a worker accepted a start, and returns the attribution of a rejection.
func (sched *Scheduler) observeStart(a Assignment, rejected bool, now time.Time) backend.FailureCause {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.rejections.Observe(string(a.Slot.Worker), a.Item.Task.Job.Seq, rejected, now)
}

// reclassify counts the slot of a running task as held by long work. The allocator learns of it from the report of
// held slots.
func (sched *Scheduler) reclassify(s contract.Slot) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.o.Placement == nil {
		sched.holdings.ReclassifyAsLong(s)
	}
}

// ReleaseOrReturn frees a slot. If its worker accepts no more tasks, the slot is returned to its allocator.
func (sched *Scheduler) ReleaseOrReturn(s contract.Slot, accepts bool, now time.Time) Plan {
	if accepts {
		return sched.Release(s, now)
	}
	return sched.Reject(s, false, now)
}
