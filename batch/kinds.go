package batch

import (
	"math"
	"sync"
	"time"
)

const (
	// runWeight is the weight of one run in the model of its kind once 100 runs have been recorded. Before that, all runs
	// weigh the same.
	runWeight = 0.01
	// maxSampleRatio bounds the number of recorded runs that count in a predicted slope, as a multiple of priorWeight.
	maxSampleRatio = 20
	// priorShare and priorSlope predict a run time from a declared estimate until runs have been recorded: declared times
	// are mostly too long, and a job declared twice as long takes about 1.4 times as long.
	priorShare = 0.8
	priorSlope = 0.5
	// maxSlope limits the prediction for a job declared twice as long to twice the run time.
	maxSlope = 1.0
	// priorWeight is the number of runs that the prior slope is worth.
	priorWeight = 20
	// defaultRun is the expected run time of a task without an estimate.
	defaultRun = 200 * time.Millisecond
	// spread is how much longer the longest of several tasks takes than their mean, relative to the mean, per doubling of
	// their number.
	spread = 0.13
)

// kind models the run times of a route: a regression of the logarithm of run times on the logarithm of declared
// estimates. Declared times are off by large factors, but jobs that declare more take longer.
type kind struct {
	samples    float64
	meanX      float64
	meanY      float64
	varianceX  float64
	covariance float64
}

// add records one run: x is the logarithm of the declared estimate, y that of the run time.
func (k *kind) add(x, y float64) {
	k.samples++
	w := max(runWeight, 1/k.samples)
	dx, dy := x-k.meanX, y-k.meanY
	k.meanX += w * dx
	k.meanY += w * dy
	k.varianceX += w * (dx*dx*(1-w) - k.varianceX)
	k.covariance += w * (dx*dy*(1-w) - k.covariance)
}

// predict returns the logarithm of the expected run time for the logarithm x of a declared estimate.
func (k *kind) predict(x float64) float64 {
	slope := priorSlope
	if k.varianceX > 0 {
		seen := min(k.samples, maxSampleRatio*priorWeight)
		slope = (seen*k.covariance/k.varianceX + priorWeight*priorSlope) / (seen + priorWeight)
	}
	return k.meanY + min(max(slope, 0), maxSlope)*(x-k.meanX)
}

// kinds learns the run times of the tasks of each route from completed runs. mu guards the map and the kinds in it.
type kinds struct {
	mu     sync.Mutex
	routes map[string]*kind
}

func newKinds() *kinds { return &kinds{routes: make(map[string]*kind)} }

// expected returns the expected run time of a task of a job with a declared estimate, which is zero if none was
// declared.
func (k *kinds) expected(route string, estimate time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.routes[route]
	switch {
	case r != nil && estimate > 0:
		return time.Duration(math.Exp(r.predict(math.Log(float64(estimate)))))
	case r != nil:
		return time.Duration(math.Exp(r.meanY))
	case estimate > 0:
		return time.Duration(priorShare * float64(estimate))
	default:
		return defaultRun
	}
}

// learn records the run time of a task of a job with a declared estimate.
func (k *kinds) learn(route string, estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	if estimate <= 0 {
		estimate = took
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.routes[route]
	if r == nil {
		r = &kind{}
		k.routes[route] = r
	}
	r.add(math.Log(float64(estimate)), math.Log(float64(took)))
}

// longest returns the expected run time of the longest of n tasks.
func (k *kinds) longest(mean time.Duration, n int) time.Duration {
	return time.Duration(float64(mean) * (1 + spread*math.Log2(float64(max(n, 1)))))
}
