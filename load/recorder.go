package load

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Recorder is the observer of all workers of a run. mu guards the map of records; each record and each shard of the
// ledger has its own lock.
type Recorder struct {
	Ledger *StartLedger
	// seen is told of each start with the counts of its task id and its identity; nil drops it.
	seen func(s standin.Start, p Payload, task, same TaskStart)

	mu      sync.RWMutex
	workers map[machine.WorkerID]*WorkerRecord
}

// NewRecorder returns a recorder without workers.
func NewRecorder() *Recorder {
	return &Recorder{Ledger: NewStartLedger(), workers: make(map[machine.WorkerID]*WorkerRecord)}
}

// Add makes a worker known before it serves.
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
	task, same := r.Ledger.Record(s, p.Identity)
	r.worker(s.Worker).started(s, p)
	if r.seen != nil {
		r.seen(s, p, task, same)
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

// workerTotals are the counts of all workers.
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

// obstructions returns when any worker's slots were held by long work above its cap or by a stoppable straggler.
func (r *Recorder) obstructions(longCap float64, now time.Time) []interval {
	var all []interval
	for _, w := range r.all() {
		all = append(all, w.obstructions(longCap, now)...)
	}
	return union(all)
}

func (r *Recorder) busyShare(v interval) float64 {
	var busy time.Duration
	slots := 0
	for _, w := range r.all() {
		busy += w.busy(v)
		slots += w.slots
	}
	if slots == 0 || !v.to.After(v.from) {
		return 0
	}
	return float64(busy) / (float64(slots) * float64(v.to.Sub(v.from)))
}
