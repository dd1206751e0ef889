package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// span is one run of a task as its worker saw it.
type span struct {
	key    contract.RunKey
	worker string
	begin  time.Time
	end    time.Time
	state  contract.RunState
	open   bool
}

// runs records all runs on all workers. mu guards the map.
type runs struct {
	mu    sync.Mutex
	tasks map[contract.RunKey][]*span
}

func newRuns() *runs { return &runs{tasks: make(map[contract.RunKey][]*span)} }

// Started implements standin.RunObserver.
func (r *runs) Started(worker string, key contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := key.Task()
	r.tasks[task] = append(r.tasks[task], &span{key: key, worker: worker, begin: time.Now(), open: true})
}

// Ended implements standin.RunObserver.
func (r *runs) Ended(worker string, key contract.RunKey, state contract.RunState, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.tasks[key.Task()] {
		if s.open && s.key == key && s.worker == worker {
			s.open, s.end, s.state = false, at, state
		}
	}
}

// count returns the number of runs.
func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, spans := range r.tasks {
		n += len(spans)
	}
	return n
}

// overlapping returns the pairs of runs of one task that went on at the same time.
func (r *runs) overlapping() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, spans := range r.tasks {
		for i, a := range spans {
			for _, b := range spans[i+1:] {
				if a.open || b.begin.Before(a.end) {
					found = append(found, fmt.Sprintf("%s on %s from %v to %v (open %v) and %s on %s from %v", a.key, a.worker, a.begin,
						a.end, a.open, b.key, b.worker, b.begin))
				}
			}
		}
	}
	return found
}

// started reports whether any task of a job has been started.
func (r *runs) started(job string, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		if len(r.tasks[contract.RunKey{Batch: job, Index: i}]) > 0 {
			return true
		}
	}
	return false
}

// done reports whether each task of a job has a run that has succeeded.
func (r *runs) done(job string, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		ok := false
		for _, s := range r.tasks[contract.RunKey{Batch: job, Index: i}] {
			ok = ok || s.state == contract.RunDone
		}
		if !ok {
			return false
		}
	}
	return true
}
