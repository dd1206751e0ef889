package load

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Recorder observes all workers of a run. mu guards the map of records; each record and each shard of the ledger has
// its own lock.
type Recorder struct {
	Ledger *StartLedger
	// onStart is called for each start with the counts for its task id and its identity; it may be nil.
	onStart func(s standin.Start, p Payload, byTask, byIdentity TaskStart)

	mu      sync.RWMutex
	workers map[machine.WorkerID]*WorkerRecord
}

// NewRecorder returns a recorder without workers.
func NewRecorder() *Recorder {
	return &Recorder{Ledger: NewStartLedger(), workers: make(map[machine.WorkerID]*WorkerRecord)}
}

// Add registers a worker. It must be called before the worker serves.
func (r *Recorder) Add(id machine.WorkerID, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[id] = newWorkerRecord(id, slots)
}

func (r *Recorder) worker(id machine.WorkerID) *WorkerRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.workers[id]
}

func (r *Recorder) all() []*WorkerRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*WorkerRecord, 0, len(r.workers))
	for _, w := range r.workers {
		out = append(out, w)
	}
	return out
}

// Started implements standin.Observer.
func (r *Recorder) Started(s standin.Start) {
	p, err := DecodePayload(s.Payload)
	if err != nil {
		p = Payload{}
	}
	byTask, byIdentity := r.Ledger.Record(s, p.Identity)
	r.worker(s.Worker).started(s, p)
	if r.onStart != nil {
		r.onStart(s, p, byTask, byIdentity)
	}
}

// Ended implements standin.Observer.
func (r *Recorder) Ended(w machine.WorkerID, task string, at time.Time) { r.worker(w).ended(task, at) }

// Rejected implements standin.Observer.
func (r *Recorder) Rejected(w machine.WorkerID, _, reason string) {
	r.worker(w).count(func(x *WorkerRecord) { x.rejected[reason]++ })
}

// Fenced implements standin.Observer.
func (r *Recorder) Fenced(w machine.WorkerID, _ string) {
	r.worker(w).count(func(x *WorkerRecord) { x.fenced++ })
}

// Polled implements standin.Observer.
func (r *Recorder) Polled(w machine.WorkerID) {
	r.worker(w).count(func(x *WorkerRecord) { x.polled++ })
}

// workerTotals are counters summed over all workers.
type workerTotals struct {
	rejected       map[string]int
	rejectedAll    int
	fenced, polled int
}

func (r *Recorder) totals() workerTotals {
	t := workerTotals{rejected: make(map[string]int)}
	for _, w := range r.all() {
		w.count(func(x *WorkerRecord) {
			for reason, n := range x.rejected {
				t.rejected[reason] += n
				t.rejectedAll += n
			}
			t.fenced += x.fenced
			t.polled += x.polled
		})
	}
	return t
}

// blockedByLong returns when slots of any worker were held by long work above its cap or by a stoppable straggler.
func (r *Recorder) blockedByLong(longCap float64, now time.Time) []interval {
	var all []interval
	for _, w := range r.all() {
		all = append(all, w.blockedByLong(longCap, now)...)
	}
	return union(all)
}

func (r *Recorder) busyShare(v interval) float64 {
	var busyTime time.Duration
	slots := 0
	for _, w := range r.all() {
		busyTime += w.busyTime(v)
		slots += w.slots
	}
	if slots == 0 || !v.to.After(v.from) {
		return 0
	}
	return float64(busyTime) / (float64(slots) * float64(v.to.Sub(v.from)))
}
