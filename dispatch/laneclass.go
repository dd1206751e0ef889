package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

// observeStart records whether a worker took a start, and returns what a rejection says of the worker.
func (l *Lane) observeStart(a Assignment, rejected bool, now time.Time) backend.FailureCause {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts.Observe(string(a.Slot.Worker), a.Item.Task.Job.Seq, rejected, now)
}

// outgrow counts the slot of a running task as held by long work. The granter learns of it through the report of the
// holdings.
func (l *Lane) outgrow(s contract.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.o.Placement == nil {
		l.holdings.Outgrow(s)
	}
}

// Leave ends the use of a slot. A worker that accepts no more tasks gives it back to its granter.
func (l *Lane) Leave(s contract.Slot, accepts bool, now time.Time) Plan {
	if accepts {
		return l.Release(s, now)
	}
	return l.Reject(s, false, now)
}
