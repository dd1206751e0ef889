package edge

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// missingGrace is how long a worker is kept after it has disappeared from the list. Entries that expired while the
// store was unavailable are back within two seconds; a worker that has really left does not answer.
const missingGrace = 2500 * time.Millisecond

// workers is the platform's list of workers, including those that have only just disappeared from it. mu guards all
// fields below it.
type workers struct {
	logger *slog.Logger

	mu      sync.Mutex
	byID    map[string]machine.Listing
	missing map[string]time.Time
	// largest holds the entry of each worker with the largest capacity that its incarnation has shown.
	largest map[string]machine.Listing
	// learned holds the entries that other members have read, by worker, until the list shows another one than they replaced.
	learned map[string]learnedEntry
	// version counts the changes of byID.
	version uint64
}

// learnedEntry is the entry of an incarnation that another member has read.
type learnedEntry struct {
	machine.Listing
	// replaces is the start time of the incarnation whose entry is in the list that this process has.
	replaces int64
}

func newWorkers(logger *slog.Logger) *workers {
	return &workers{
		logger: logger, byID: make(map[string]machine.Listing), missing: make(map[string]time.Time),
		largest: make(map[string]machine.Listing), learned: make(map[string]learnedEntry),
	}
}

// set applies a newer list.
func (w *workers) set(list []machine.Listing, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Worker] = true
		delete(w.missing, l.Worker)
		l = w.newest(l)
		known, ok := w.byID[l.Worker]
		if !ok {
			w.logger.Info("worker listed", "worker", l.Worker, "backend", l.Backend, "zone", l.Zone,
				"cpu_millis", l.Capacity.CPUMillis, "draining", l.Draining)
		}
		if ok && known.Capacity != l.Capacity {
			w.logger.Info("capacity of worker has changed", "worker", l.Worker, "born", l.StartTime,
				"cpu_millis", l.Capacity.CPUMillis, "last_cpu_millis", known.Capacity.CPUMillis,
				"memory_mb", l.Capacity.MemoryMB, "last_memory_mb", known.Capacity.MemoryMB)
		}
		if !ok || !known.Equal(l) {
			w.version++
		}
		w.record(l)
	}
	for id := range w.byID {
		if _, ok := w.missing[id]; !ok && !listed[id] {
			w.missing[id] = now
			w.logger.Info("worker is no longer listed", "worker", id)
		}
	}
}

// record replaces the entry of a worker. w.mu is held.
func (w *workers) record(l machine.Listing) {
	w.byID[l.Worker] = l
	if largest, ok := w.largest[l.Worker]; ok && largest.StartTime == l.StartTime {
		l.Capacity = l.Capacity.Max(largest.Capacity)
	}
	w.largest[l.Worker] = l
}

// newest returns the learned entry of a worker if the list still shows the one that it has replaced. w.mu is held.
func (w *workers) newest(l machine.Listing) machine.Listing {
	learned, ok := w.learned[l.Worker]
	if !ok {
		return l
	}
	if learned.replaces != l.StartTime {
		delete(w.learned, l.Worker)
		return l
	}
	return learned.Listing
}

// learn applies the entry of a listed worker's incarnation that another member has read. It reports whether it is used.
func (w *workers) learn(l machine.Listing) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.byID[l.Worker]
	if !ok || known.StartTime == l.StartTime {
		return false
	}
	replaces := known.StartTime
	if earlier, ok := w.learned[l.Worker]; ok {
		replaces = earlier.replaces
	}
	w.learned[l.Worker] = learnedEntry{Listing: l, replaces: replaces}
	w.record(l)
	w.version++
	return true
}

// entry returns the entry of an incarnation of a worker, if it is the known one.
func (w *workers) entry(worker string, startTime int64) (machine.Listing, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.byID[worker]
	return l, ok && l.StartTime == startTime
}

// domain returns the failure domain of a listed worker.
func (w *workers) domain(worker string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, ok := w.byID[worker]
	return l.Zone, ok
}

// expire drops the workers that have been missing for longer than missingGrace. It reports whether there were any.
func (w *workers) expire(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	dropped := false
	for id, since := range w.missing {
		if now.Sub(since) > missingGrace {
			delete(w.missing, id)
			delete(w.byID, id)
			delete(w.largest, id)
			delete(w.learned, id)
			w.version++
			dropped = true
		}
	}
	return dropped
}

// Version returns a number that changes with the list.
func (w *workers) Version() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// Domains returns the failure domains with workers, in order.
func (w *workers) Domains() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	domains := make(map[string]bool)
	for _, l := range w.byID {
		domains[l.Zone] = true
	}
	return slices.Sorted(maps.Keys(domains))
}

// in returns the workers of some failure domains.
func (w *workers) in(domains []string) []machine.Listing {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []machine.Listing
	for _, l := range w.byID {
		if slices.Contains(domains, l.Zone) {
			list = append(list, l)
		}
	}
	return list
}

// fits reports whether any worker of a back end can hold a task with the largest capacity that it has shown: one that has
// shrunk may grow again while the task waits. known is false if the back end has no worker.
func (w *workers) fits(backend string, need machine.Resources, label string) (fits, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.largest {
		if l.Backend != backend {
			continue
		}
		known = true
		if l.CanHold(need, label) {
			return true, true
		}
	}
	return false, known
}

// holds reports whether any worker of a back end can hold a task of that size, whatever its labels.
func (w *workers) holds(backend string, need machine.Resources) bool {
	fits, _ := w.fits(backend, need, "")
	return fits
}

// count returns the number of workers of a back end.
func (w *workers) count(backend string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, l := range w.byID {
		if l.Backend == backend {
			n++
		}
	}
	return n
}
