package backend

import (
	"math"
	"sync"
	"time"
)

const (
	// Buckets grow by a quarter each, from 1 ms to about 20 minutes.
	bucketRatio = 1.25
	bucketBase  = time.Millisecond
	bucketCount = 64
	// decayAfter halves all counts, so that old run times lose their influence.
	decayAfter = 2048
	// minObservations is the number of runs before observations replace the declaration.
	minObservations = 20
	// LongThreshold separates short from long work: most tasks take up to a second.
	LongThreshold = 1500 * time.Millisecond
	// defaultExpected applies to kinds that declare no run time.
	defaultExpected = 300 * time.Millisecond
)

// RequestKind is a request kind with its observed run times. Its mutex guards all fields.
type RequestKind struct {
	mu         sync.Mutex
	spec       KindSpec
	buckets    [bucketCount]float64
	total      float64
	sum        float64
	sinceDecay int
}

// NewRequestKind returns a kind without observations.
func NewRequestKind(spec KindSpec) *RequestKind {
	return &RequestKind{spec: spec}
}

// Spec returns the declaration.
func (k *RequestKind) Spec() KindSpec {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spec
}

// Observe records the run time of a finished task.
func (k *RequestKind) Observe(run time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buckets[bucketOf(run)]++
	k.total++
	k.sum += run.Seconds()
	k.sinceDecay++
	if k.sinceDecay >= decayAfter {
		k.decay()
	}
}

// decay expects k.mu to be held.
func (k *RequestKind) decay() {
	for i := range k.buckets {
		k.buckets[i] /= 2
	}
	k.total /= 2
	k.sum /= 2
	k.sinceDecay = 0
}

// Expected returns the mean run time.
func (k *RequestKind) Expected() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.total < minObservations {
		return k.declared()
	}
	return time.Duration(k.sum / k.total * float64(time.Second))
}

// Quantile returns an upper bound of the run time that a share q of the tasks stays below.
func (k *RequestKind) Quantile(q float64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quantile(q)
}

// quantile expects k.mu to be held.
func (k *RequestKind) quantile(q float64) time.Duration {
	if k.total < minObservations {
		return k.declared()
	}
	rank := q * k.total
	seen := 0.0
	for i, n := range k.buckets {
		seen += n
		if seen >= rank {
			return bucketUpper(i)
		}
	}
	return bucketUpper(bucketCount - 1)
}

// Class returns the class by observation, or by declaration while there are too few observations.
func (k *RequestKind) Class() Class {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.total < minObservations {
		return k.spec.Class
	}
	if k.quantile(0.5) > LongThreshold {
		return ClassLong
	}
	return ClassShort
}

func (k *RequestKind) declared() time.Duration {
	if k.spec.Expected > 0 {
		return k.spec.Expected
	}
	return defaultExpected
}

func bucketOf(d time.Duration) int {
	if d <= bucketBase {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(bucketBase)) / math.Log(bucketRatio)))
	return min(i, bucketCount-1)
}

func bucketUpper(i int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Pow(bucketRatio, float64(i)))
}
