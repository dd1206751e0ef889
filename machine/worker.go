package machine

import (
	"math"
	"sync"
	"time"
)

// WorkerID identifies a worker.
type WorkerID string

// WorkerSpec is a worker's entry in the platform's list.
type WorkerSpec struct {
	ID      WorkerID
	Address string
	Service string
	Rack    string
	Class   string
	Slots   int
	Leaving bool
}

const (
	// speedWeight is the minimum weight of a new observation in the moving average of a worker's speed; the first
	// observations weigh more, so that the average converges quickly.
	speedWeight = 0.02
	// speedLimit bounds the learned speed and its inverse.
	speedLimit = 16
)

// Worker runs tasks in a fixed number of slots. Its mutex guards all fields.
type Worker struct {
	mu          sync.Mutex
	spec        WorkerSpec
	incarnation Incarnation
	// logSpeed is the logarithm of the speed relative to the average worker. Ratios of run times are averaged as
	// logarithms, because the mean of the ratios themselves exceeds the ratio of the means.
	logSpeed float64
	runs     int
	health   Health
	busy     int
	// clock is the worker's monotonic clock at local time clockAt. Local times are compared only with each other, so
	// steps of the wall clock have no effect.
	clock   time.Duration
	clockAt time.Time
}

// NewWorker returns a worker of average speed.
func NewWorker(spec WorkerSpec) *Worker {
	return &Worker{spec: spec}
}

// Spec returns the current entry of the platform's list.
func (w *Worker) Spec() WorkerSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spec
}

// UpdateSpec applies a new entry of the list. Leaving is never reverted.
func (w *Worker) UpdateSpec(spec WorkerSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec.Leaving = spec.Leaving || w.spec.Leaving
	w.spec = spec
}

// ObserveStatus records the worker's incarnation and its monotonic clock at local time now.
func (w *Worker) ObserveStatus(inc Incarnation, clock time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation != 0 && w.incarnation != inc {
		// The failures of the previous process are no evidence about this one, but a quarantine still ends with probes.
		w.health.restart()
	}
	w.incarnation = inc
	w.clock, w.clockAt = clock, now
}

// Incarnation returns the last incarnation seen, zero if none.
func (w *Worker) Incarnation() Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// ClockAt converts a local time into the worker's monotonic clock.
func (w *Worker) ClockAt(t time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock + t.Sub(w.clockAt), !w.clockAt.IsZero()
}

// ObserveBusy records the number of slots in use according to the last status report.
func (w *Worker) ObserveBusy(busy int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = busy
}

// Busy returns the number of slots in use according to the last status report.
func (w *Worker) Busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busy
}

// ObserveRun updates the speed with the run time of a task and the run time expected on a worker of average speed.
func (w *Worker) ObserveRun(run, expected time.Duration) {
	if run <= 0 || expected <= 0 {
		return
	}
	ratio := math.Log(float64(expected) / float64(run))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	weight := max(speedWeight, 1/float64(w.runs+1))
	limit := math.Log(speedLimit)
	w.logSpeed = min(limit, max(-limit, w.logSpeed+weight*(ratio-w.logSpeed)))
}

// Speed returns the learned speed relative to the average worker.
func (w *Worker) Speed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return math.Exp(w.logSpeed)
}

// shiftSpeed adds to the logarithm of the speed.
func (w *Worker) shiftSpeed(by float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logSpeed += by
}

// Observe applies the outcome of a start and reports whether the worker's health has changed.
func (w *Worker) Observe(o StartOutcome, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.health.Observe(o, now)
}

// Retract withdraws failures that turned out to be caused by a job, and reports whether the worker's health has
// changed.
func (w *Worker) Retract(failures int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.health.Retract(failures, now)
}

// Warn records that another entry VM has quarantined an incarnation of the worker, and reports whether the worker's
// health has changed.
func (w *Worker) Warn(inc Incarnation, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation == inc && w.health.Warn(now)
}

// HealthAt returns the health state at now.
func (w *Worker) HealthAt(now time.Time) HealthState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.health.Tick(now)
	return w.health.State()
}

// UsableSlots returns the number of slots that may be granted at now: none if the worker is leaving, quarantined or
// has not reported its status.
func (w *Worker) UsableSlots(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spec.Leaving || w.incarnation == 0 {
		return 0
	}
	w.health.Tick(now)
	return w.health.Slots(w.spec.Slots, now)
}

// Accepts reports whether a slot of the worker may serve another task at now without a new grant. The slots of
// workers that are not healthy are returned to the allocator, which grants fewer.
func (w *Worker) Accepts(now time.Time) bool {
	return w.UsableSlots(now) > 0 && w.HealthAt(now) == Healthy
}
