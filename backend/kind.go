package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The upper bounds of the buckets grow by a factor of 1.25, from 1 ms to about 20 minutes.
	bucketRatio = 1.25
	bucketBase  = time.Millisecond
	bucketCount = 64
	// decayInterval is the number of runs after which all counts are halved, so that old run times lose their influence.
	decayInterval = 2048
	// minObservations is the number of runs before observations replace the declared run time.
	minObservations = 20
	// minClassRuns is the number of runs, completed or reclassified, before observations replace the declared class.
	// With fewer than stableClassRuns runs, at least half of them also have to be long for a kind to become long: the
	// longest tasks end last, so a few of them outweigh the others for a while.
	minClassRuns    = 8
	stableClassRuns = 200
	// tailObservations is the number of runs before the 99th percentile is meaningful.
	tailObservations = 200
	// LongThreshold is the maximum run time of a short task: most tasks take up to a second.
	LongThreshold = 1500 * time.Millisecond
	// longAbove is the share of the slot time in long runs above which a kind becomes long; below longBelow it becomes
	// short again. Slot time is used instead of the number of runs, so that a kind with a few very long runs counts as
	// long if these would hold most of the slots. The gap provides hysteresis, so that the class does not change with
	// every run.
	longAbove = 0.5
	longBelow = 0.3
	// defaultExpected applies to kinds that declare no run time.
	defaultExpected = 300 * time.Millisecond
	// stragglerTailFactor is the multiple of the 99th percentile beyond which a task is a straggler;
	// stragglerMeanFactor is that of the mean, for kinds with too few runs for a percentile.
	stragglerTailFactor = 3
	stragglerMeanFactor = 10
	// minStragglerAfter is the minimum run time of a straggler, so that a pause of the worker does not make very short
	// tasks stragglers.
	minStragglerAfter = 2 * time.Second
)

// RequestKind is a request kind with its observed run times, normalised to a worker of speed 1 in buckets and as
// measured in rawBuckets. mu guards the fields below it; the atomic fields can be read without the lock.
type RequestKind struct {
	class atomic.Uint32
	mean  atomic.Int64 // in nanoseconds
	// failing is set if the last outcome was a failure.
	failing atomic.Bool

	mu         sync.Mutex
	spec       KindSpec
	buckets    [bucketCount]float64
	rawBuckets [bucketCount]float64
	total      float64
	// sum and longSum are the normalised run times of all and of the long runs, in seconds; logSum is the sum of the
	// logarithms of all of them.
	sum          float64
	longSum      float64
	longRuns     float64
	logSum       float64
	sinceDecay   int
	reclassified int
	attribution  Attribution
}

// NewRequestKind returns a kind without observations.
func NewRequestKind(spec KindSpec) *RequestKind {
	k := &RequestKind{spec: spec}
	k.class.Store(uint32(spec.Class))
	k.mean.Store(int64(k.declared()))
	return k
}

// Spec returns the declaration of the kind.
func (k *RequestKind) Spec() KindSpec {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.spec
}

// Observe records the run time of a finished task on a worker of the given speed.
func (k *RequestKind) Observe(run time.Duration, speed float64) {
	if run <= 0 || speed <= 0 {
		return
	}
	normal := time.Duration(float64(run) * speed)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buckets[bucketOf(normal)]++
	k.rawBuckets[bucketOf(run)]++
	k.total++
	k.sum += normal.Seconds()
	k.logSum += math.Log(normal.Seconds())
	if run > LongThreshold {
		k.longSum += normal.Seconds()
		k.longRuns++
	}
	k.sinceDecay++
	if k.sinceDecay >= decayInterval {
		k.decay()
	}
	k.updateEstimates()
}

// AddReclassified records that a running task has exceeded the short-task limit. It counts as a long run at once;
// RemoveReclassified removes the record when the task has ended.
func (k *RequestKind) AddReclassified() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reclassified++
	k.updateEstimates()
}

// RemoveReclassified removes the record of a task that had exceeded the short-task limit.
func (k *RequestKind) RemoveReclassified() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reclassified--
	k.updateEstimates()
}

// updateEstimates updates the mean run time and the class. It expects k.mu to be held.
func (k *RequestKind) updateEstimates() {
	if k.total >= minObservations {
		k.mean.Store(int64(k.sum / k.total * float64(time.Second)))
	}
	runs, long := k.total+float64(k.reclassified), k.longRuns+float64(k.reclassified)
	if runs < minClassRuns {
		return
	}
	pending := LongThreshold.Seconds() * float64(k.reclassified)
	share := (k.longSum + pending) / max(k.sum+pending, 1e-9)
	if runs < stableClassRuns && long < runs/2 {
		share = min(share, longAbove)
	}
	switch {
	case share > longAbove:
		k.class.Store(uint32(ClassLong))
	case share < longBelow:
		k.class.Store(uint32(ClassShort))
	}
}

// decay halves all counts. It expects k.mu to be held.
func (k *RequestKind) decay() {
	for i := range k.buckets {
		k.buckets[i] /= 2
		k.rawBuckets[i] /= 2
	}
	k.total /= 2
	k.sum /= 2
	k.longSum /= 2
	k.longRuns /= 2
	k.logSum /= 2
	k.sinceDecay = 0
}

// GeometricMean returns the geometric mean of the run time, against which the speed of a worker is measured, and
// whether there are enough observations for it.
func (k *RequestKind) GeometricMean() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.total < minObservations {
		return 0, false
	}
	return time.Duration(math.Exp(k.logSum/k.total) * float64(time.Second)), true
}

// StragglerAfter returns the run time beyond which a task on a worker of the given speed is a straggler.
func (k *RequestKind) StragglerAfter(speed float64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	limit := stragglerMeanFactor * time.Duration(k.mean.Load())
	if k.total >= tailObservations {
		limit = stragglerTailFactor * k.quantile(0.99)
	}
	return max(minStragglerAfter, time.Duration(float64(limit)/max(speed, 0.01)))
}

// ObserveOutcome records whether a task of a job succeeded and returns the evidence that it gives about the worker.
func (k *RequestKind) ObserveOutcome(worker string, job uint64, failed bool, now time.Time) FailureCause {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing.Store(failed)
	return k.attribution.Observe(worker, job, failed, now)
}

// FailsEverywhere reports whether the kind fails on every worker.
func (k *RequestKind) FailsEverywhere(workers int, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attribution.FailsEverywhere(workers, time.Duration(k.mean.Load()), now)
}

// AllowTrial reports whether a job of a kind that fails everywhere may be admitted at now as a trial.
func (k *RequestKind) AllowTrial(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attribution.AllowTrial(now)
}

// Expected returns the mean run time on a worker of speed 1.
func (k *RequestKind) Expected() time.Duration { return time.Duration(k.mean.Load()) }

// Quantile returns an upper bound of the q-quantile of the normalised run time.
func (k *RequestKind) Quantile(q float64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quantile(q)
}

// quantile implements Quantile. It expects k.mu to be held.
func (k *RequestKind) quantile(q float64) time.Duration {
	if k.total < minObservations {
		return k.declared()
	}
	return quantileOf(&k.buckets, q*k.total)
}

// TailRunTime returns the measured run time that a share p of the tasks exceed. Shares below 1% are treated as 1%,
// because the observations do not suffice for less.
func (k *RequestKind) TailRunTime(p float64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.total < minObservations {
		return k.declared()
	}
	return quantileOf(&k.rawBuckets, (1-max(p, 0.01))*k.total)
}

func quantileOf(buckets *[bucketCount]float64, rank float64) time.Duration {
	seen := 0.0
	for i, n := range buckets {
		seen += n
		if seen >= rank {
			return bucketUpper(i)
		}
	}
	return bucketUpper(bucketCount - 1)
}

// Class returns the observed class, or the declared one while there are too few observations.
func (k *RequestKind) Class() Class { return Class(k.class.Load()) }

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

// Failing reports whether the last outcome was a failure. It takes no lock, so that each submission can check it first.
func (k *RequestKind) Failing() bool { return k.failing.Load() }
