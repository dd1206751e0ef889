package backend

import (
	"math"
	"sync"
	"sync/atomic"
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
	// minClassRuns is the number of runs, ended or outgrown, before observations replace the declared class. Before
	// settledRuns the long ones also have to be the majority: the tasks that take longest end last, so that a few of
	// them outweigh the others for a while.
	minClassRuns = 8
	settledRuns  = 200
	// tailObservations is the number of runs before the 99th percentile means something.
	tailObservations = 200
	// LongThreshold separates short from long work: most tasks take up to a second.
	LongThreshold = 1500 * time.Millisecond
	// longAbove and longBelow are the shares of the slot time spent in long runs at which a kind becomes long and
	// short again. The share of the slot time is taken and not the share of the runs, so that a kind with a few very
	// long runs counts as long when these would hold most of the slots. The gap keeps a kind from changing its class
	// with every run.
	longAbove = 0.5
	longBelow = 0.3
	// defaultExpected applies to kinds that declare no run time.
	defaultExpected = 300 * time.Millisecond
	// stragglerTail and stragglerMean are the multiples of the 99th percentile, and before there is one of the mean,
	// beyond which a task is a straggler.
	stragglerTail = 3
	stragglerMean = 10
	// minStraggler keeps kinds of very short tasks from being acted on for a pause of the worker.
	minStraggler = 2 * time.Second
)

// RequestKind is a request kind with its observed run times, normalised to a worker of speed 1 and, in raw, as they
// were. Its mutex guards the declaration, the histograms and the attribution; class, mean and the last outcome are also
// kept where they can be read without the lock.
type RequestKind struct {
	class atomic.Uint32
	mean  atomic.Int64
	// failing says that the last outcome was a failure.
	failing atomic.Bool

	mu          sync.Mutex
	spec        KindSpec
	buckets     [bucketCount]float64
	raw         [bucketCount]float64
	total       float64
	sum         float64
	longSum     float64
	longRuns    float64
	logSum      float64
	sinceDecay  int
	outgrown    int
	attribution Attribution
}

// NewRequestKind returns a kind without observations.
func NewRequestKind(spec KindSpec) *RequestKind {
	k := &RequestKind{spec: spec}
	k.class.Store(uint32(spec.Class))
	k.mean.Store(int64(k.declared()))
	return k
}

// Spec returns the declaration.
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
	k.raw[bucketOf(run)]++
	k.total++
	k.sum += normal.Seconds()
	k.logSum += math.Log(normal.Seconds())
	if run > LongThreshold {
		k.longSum += normal.Seconds()
		k.longRuns++
	}
	k.sinceDecay++
	if k.sinceDecay >= decayAfter {
		k.decay()
	}
	k.judge()
}

// Outgrow records that a running task has outgrown the short class. Later tasks are judged with it at once; Shrink
// takes the record back when the task has ended.
func (k *RequestKind) Outgrow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outgrown++
	k.judge()
}

// Shrink ends the record of a task that has outgrown its class.
func (k *RequestKind) Shrink() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outgrown--
	k.judge()
}

// judge expects k.mu to be held.
func (k *RequestKind) judge() {
	if k.total >= minObservations {
		k.mean.Store(int64(k.sum / k.total * float64(time.Second)))
	}
	runs, long := k.total+float64(k.outgrown), k.longRuns+float64(k.outgrown)
	if runs < minClassRuns {
		return
	}
	pending := LongThreshold.Seconds() * float64(k.outgrown)
	share := (k.longSum + pending) / max(k.sum+pending, 1e-9)
	if runs < settledRuns && long < runs/2 {
		share = min(share, longAbove)
	}
	switch {
	case share > longAbove:
		k.class.Store(uint32(ClassLong))
	case share < longBelow:
		k.class.Store(uint32(ClassShort))
	}
}

// decay expects k.mu to be held.
func (k *RequestKind) decay() {
	for i := range k.buckets {
		k.buckets[i] /= 2
		k.raw[i] /= 2
	}
	k.total /= 2
	k.sum /= 2
	k.longSum /= 2
	k.longRuns /= 2
	k.logSum /= 2
	k.sinceDecay = 0
}

// Typical returns the geometric mean of the run time, against which the speed of a worker is measured, and whether
// there are enough observations for it.
func (k *RequestKind) Typical() (time.Duration, bool) {
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
	limit := stragglerMean * time.Duration(k.mean.Load())
	if k.total >= tailObservations {
		limit = stragglerTail * k.quantile(0.99)
	}
	return max(minStraggler, time.Duration(float64(limit)/max(speed, 0.01)))
}

// ObserveOutcome records whether a task of a job succeeded and returns what it says of the worker.
func (k *RequestKind) ObserveOutcome(worker string, job uint64, failed bool, now time.Time) FailureCause {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing.Store(failed)
	return k.attribution.Observe(worker, job, failed, now)
}

// FailsEverywhere reports whether the kind fails wherever it runs.
func (k *RequestKind) FailsEverywhere(workers int, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attribution.FailsEverywhere(workers, time.Duration(k.mean.Load()), now)
}

// Trial reports whether a job of a hopeless kind may be let through at now.
func (k *RequestKind) Trial(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.attribution.Trial(now)
}

// Expected returns the mean run time on a worker of speed 1.
func (k *RequestKind) Expected() time.Duration { return time.Duration(k.mean.Load()) }

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
	return quantileOf(&k.buckets, q*k.total)
}

// Tail returns the run time that a share p of the tasks exceed on the workers that run them. The share is at least 1%:
// less cannot be told from the observations.
func (k *RequestKind) Tail(p float64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.total < minObservations {
		return k.declared()
	}
	return quantileOf(&k.raw, (1-max(p, 0.01))*k.total)
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

// Class returns the class by observation, or by declaration while there are too few observations.
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

// Failing reports whether the last outcome was a failure. It is cheap, for the check of each submission.
func (k *RequestKind) Failing() bool { return k.failing.Load() }
