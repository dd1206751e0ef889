package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// taskRun is one run of a task as recorded by its worker.
type taskRun struct {
	key    contract.RunKey
	worker string
	begin  time.Time
	end    time.Time
	state  contract.RunState
	open   bool
}

// runRecorder records the runs on all workers. mu guards the map.
type runRecorder struct {
	mu    sync.Mutex
	tasks map[contract.RunKey][]*taskRun
}

func newRunRecorder() *runRecorder { return &runRecorder{tasks: make(map[contract.RunKey][]*taskRun)} }

// Started implements standin.RunObserver.
func (r *runRecorder) Started(worker string, key contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := key.Task()
	r.tasks[task] = append(r.tasks[task], &taskRun{key: key, worker: worker, begin: time.Now(), open: true})
}

// Ended implements standin.RunObserver.
func (r *runRecorder) Ended(worker string, key contract.RunKey, state contract.RunState, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.tasks[key.Task()] {
		if run.open && run.key == key && run.worker == worker {
			run.open, run.end, run.state = false, at, state
		}
	}
}

// count returns the number of runs.
func (r *runRecorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.tasks {
		n += len(runs)
	}
	return n
}

// runsOn returns the runs that a worker has.
func (r *runRecorder) runsOn(worker string) []contract.RunKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []contract.RunKey
	for _, runs := range r.tasks {
		for _, run := range runs {
			if run.open && run.worker == worker {
				keys = append(keys, run.key)
			}
		}
	}
	return keys
}

// overlapping describes the pairs of runs of the same task that overlapped in time.
func (r *runRecorder) overlapping() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, runs := range r.tasks {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.open || b.begin.Before(a.end) {
					found = append(found, fmt.Sprintf("%s on %s from %v to %v (open %v) and %s on %s from %v",
						a.key, a.worker, a.begin, a.end, a.open, b.key, b.worker, b.begin))
				}
			}
		}
	}
	return found
}

// started reports whether any task of a job has been started.
func (r *runRecorder) started(job string, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		if len(r.tasks[contract.RunKey{Batch: job, Index: i}]) > 0 {
			return true
		}
	}
	return false
}

// startedAfter returns when the first task of a job was started after a time, false if none was.
func (r *runRecorder) startedAfter(job string, tasks int, at time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	for i := range tasks {
		for _, run := range r.tasks[contract.RunKey{Batch: job, Index: i}] {
			if run.begin.After(at) && (first.IsZero() || run.begin.Before(first)) {
				first = run.begin
			}
		}
	}
	return first, !first.IsZero()
}

// done reports whether each task of a job has a successful run.
func (r *runRecorder) done(job string, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		ok := false
		for _, run := range r.tasks[contract.RunKey{Batch: job, Index: i}] {
			ok = ok || run.state == contract.RunDone
		}
		if !ok {
			return false
		}
	}
	return true
}

// failed reports whether a task of a job has at least n runs that have failed.
func (r *runRecorder) failed(job string, tasks, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		failures := 0
		for _, run := range r.tasks[contract.RunKey{Batch: job, Index: i}] {
			if run.state == contract.RunFailed {
				failures++
			}
		}
		if failures >= n {
			return true
		}
	}
	return false
}
