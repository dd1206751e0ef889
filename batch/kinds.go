package batch

import (
	"math"
	"sync"
	"time"
)

const (
	// runWeight is the weight of one run in the mean run time of a kind.
	runWeight = 0.02
	// estimateShare is the share of a declared estimate that a run takes until runs of the kind have been seen:
	// declared times are mostly too long.
	estimateShare = 0.4
	// defaultRun is the expected run time of a task without an estimate.
	defaultRun = 200 * time.Millisecond
	// spread is how much longer the longest of several tasks takes, per doubling of their number.
	spread = 0.25
)

// kinds learns the run times of the tasks of each route from their ends. mu guards the map.
type kinds struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

func newKinds() *kinds { return &kinds{means: make(map[string]time.Duration)} }

// expected returns the mean run time of a task.
func (k *kinds) expected(route string, estimate time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if mean, ok := k.means[route]; ok {
		return mean
	}
	if estimate > 0 {
		return time.Duration(estimateShare * float64(estimate))
	}
	return defaultRun
}

// learn records the run time of a task.
func (k *kinds) learn(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	mean, ok := k.means[route]
	if !ok {
		k.means[route] = took
		return
	}
	k.means[route] = mean + time.Duration(runWeight*float64(took-mean))
}

// longest returns the expected run time of the longest of n tasks.
func (k *kinds) longest(mean time.Duration, n int) time.Duration {
	return time.Duration(float64(mean) * (1 + spread*math.Log2(float64(max(n, 1)))))
}
