package machine

import (
	"sync"
	"time"
)

// WorkerID names a worker.
type WorkerID string

// WorkerSpec is what the platform's list says of a worker.
type WorkerSpec struct {
	ID      WorkerID
	Address string
	Service string
	Rack    string
	Class   string
	Slots   int
	Leaving bool
}

// speedWeight is the share of a new observation in the moving average of a worker's speed.
const speedWeight = 0.05

// Worker runs tasks in a fixed number of slots. Its mutex guards all fields.
type Worker struct {
	mu          sync.Mutex
	spec        WorkerSpec
	incarnation Incarnation
	speed       float64
	busy        int
	// clock is the worker's monotonic clock at local time clockAt. Local times are compared with each other only, so
	// that steps of the wall clock have no effect.
	clock   time.Duration
	clockAt time.Time
}

// NewWorker returns a worker of average speed.
func NewWorker(spec WorkerSpec) *Worker {
	return &Worker{spec: spec, speed: 1}
}

// Spec returns the current entry of the platform's list.
func (w *Worker) Spec() WorkerSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spec
}

// UpdateSpec applies a new entry of the list. Leaving is never taken back.
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

// ObserveBusy records the number of slots in use by the last status report.
func (w *Worker) ObserveBusy(busy int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = busy
}

// Busy returns the number of slots in use by the last status report.
func (w *Worker) Busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busy
}

// ObserveRun compares the run time of a task with the expectation for its kind.
func (w *Worker) ObserveRun(run, expected time.Duration) {
	if run <= 0 || expected <= 0 {
		return
	}
	ratio := float64(expected) / float64(run)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.speed += speedWeight * (ratio - w.speed)
}

// Speed returns the learned speed relative to the average worker.
func (w *Worker) Speed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.speed
}
