package dispatch

import (
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

// observeStart records whether a worker took a start, and returns what a rejection says of the worker.
func (l *Lane) observeStart(a Assignment, rejected bool, now time.Time) backend.Blame {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts.Observe(string(a.Slot.Worker), a.Item.Task.Job.Seq, rejected, now)
}

// outgrow counts the slot of a running task as held by long work.
func (l *Lane) outgrow(contract.Slot) {}
