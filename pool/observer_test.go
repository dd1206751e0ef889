package pool

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// startObserver records the order in which tasks start. mu guards it.
type startObserver struct {
	mu      sync.Mutex
	started []string
	workers map[string]string
	// alive holds the workers of the runs of each task that have not ended, overlaps those of a task that were alive together.
	alive    map[contract.RunKey]map[contract.RunKey]string
	overlaps []string
	// ended holds the time at which the last run of each job ended.
	ended map[string]time.Time
}

func (o *startObserver) Started(worker string, key contract.RunKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	alive := o.alive[key.Task()]
	for other, at := range alive {
		o.overlaps = append(o.overlaps, fmt.Sprintf("%s at %s beside %s at %s", key, worker, other, at))
	}
	if alive == nil {
		alive = make(map[contract.RunKey]string)
		o.alive[key.Task()] = alive
	}
	alive[key] = worker
	o.started = append(o.started, key.Batch)
	o.workers[key.Batch] = worker
}

// startedJobs returns a copy of the jobs of the started tasks, in the order of their starts.
func (o *startObserver) startedJobs() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.started)
}

// workerOfJob returns a copy of the worker of each started job.
func (o *startObserver) workerOfJob() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.workers)
}

func (o *startObserver) Ended(_ string, key contract.RunKey, _ contract.RunState, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended[key.Batch] = at
	delete(o.alive[key.Task()], key)
}

// endOf returns when the last run of a job ended; zero if none has ended.
func (o *startObserver) endOf(job string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended[job]
}
