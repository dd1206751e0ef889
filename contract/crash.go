package contract

import "time"

// WorkerCrash is the crash of one incarnation of a worker, as seen by the owner of the worker.
type WorkerCrash struct {
	Worker string
	// StartTime identifies the incarnation, as in machine.Listing.
	StartTime int64
	Backend   string
	// At is when the owner lost contact.
	At time.Time
	// Tasks are those that are known to have begun on the worker and not to have ended. There are none if it was idle.
	Tasks []CrashedTask
	// Shared is set if other tasks may have begun there too.
	Shared bool
	// Refuted is set if the same incarnation has answered again: it had not crashed.
	Refuted bool
}

// CrashedTask is a task that was on a worker when it crashed. The key has no run.
type CrashedTask struct {
	Key   RunKey
	Route string
}

// Involves reports whether a task was on the worker.
func (c *WorkerCrash) Involves(task RunKey) bool {
	for _, t := range c.Tasks {
		if t.Key == task.Task() {
			return true
		}
	}
	return false
}

// Alone reports whether only a single task can have been on the worker.
func (c *WorkerCrash) Alone() bool { return len(c.Tasks) == 1 && !c.Shared }

// idle reports whether the worker cannot have had any task, so that none has caused the crash.
func (c *WorkerCrash) idle() bool { return len(c.Tasks) == 0 && !c.Shared }

// involvesJob reports whether a task of a job was on the worker.
func (c *WorkerCrash) involvesJob(job string) bool {
	for _, t := range c.Tasks {
		if t.Key.Batch == job {
			return true
		}
	}
	return false
}
