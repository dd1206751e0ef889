package load

import (
	"sort"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// workerRun is one task as a worker ran it.
type workerRun struct {
	begin, end time.Time
	long       bool
	stoppable  bool
}

// WorkerRecord is what one worker recorded during a run. mu guards all fields below it.
type WorkerRecord struct {
	id    machine.WorkerID
	slots int

	mu       sync.Mutex
	runs     map[string]*workerRun
	rejected map[string]int
	fenced   int
	polled   int
}

func newWorkerRecord(id machine.WorkerID, slots int) *WorkerRecord {
	return &WorkerRecord{id: id, slots: slots, runs: make(map[string]*workerRun), rejected: make(map[string]int)}
}

func (r *WorkerRecord) started(s standin.Start, p Payload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[s.Task] = &workerRun{begin: s.At, long: p.Long, stoppable: stoppableKind(s.Kind)}
}

func (r *WorkerRecord) ended(task string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, ok := r.runs[task]; ok {
		run.end = at
	}
}

// count adds to a counter under the record's lock.
func (r *WorkerRecord) count(fn func(r *WorkerRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r)
}

// interval is a time span on the wall clock.
type interval struct{ from, to time.Time }

// longFrom returns when a run began to count as long: from its start for long work, otherwise from the time at which
// it outgrew short work.
func (r *workerRun) longFrom() time.Time {
	if r.long {
		return r.begin
	}
	return r.begin.Add(backend.LongThreshold)
}

// obstructions returns when long work held more slots than its cap, or a task that outgrew short work and that may be
// stopped held a slot. A run without an end lasts until now.
func (r *WorkerRecord) obstructions(longCap float64, now time.Time) []interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	var edges []edge
	var out []interval
	for _, run := range r.runs {
		end := run.end
		if end.IsZero() {
			end = now
		}
		from := run.longFrom()
		if !from.Before(end) {
			continue
		}
		edges = append(edges, edge{from, 1}, edge{end, -1})
		if !run.long && run.stoppable {
			out = append(out, interval{from, end})
		}
	}
	return append(out, above(edges, int(longCap*float64(r.slots)))...)
}

// edge changes a level at a time.
type edge struct {
	at   time.Time
	step int
}

// above returns when the level is higher than the limit.
func above(edges []edge, limit int) []interval {
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at.Equal(edges[j].at) {
			return edges[i].step < edges[j].step
		}
		return edges[i].at.Before(edges[j].at)
	})
	var out []interval
	level := 0
	for _, e := range edges {
		before := level
		level += e.step
		if before <= limit && level > limit {
			out = append(out, interval{from: e.at})
		}
		if before > limit && level <= limit {
			out[len(out)-1].to = e.at
		}
	}
	return out
}

// union merges overlapping intervals and orders them by time.
func union(in []interval) []interval {
	sort.Slice(in, func(i, j int) bool { return in[i].from.Before(in[j].from) })
	var out []interval
	for _, v := range in {
		if n := len(out); n > 0 && !v.from.After(out[n-1].to) {
			if v.to.After(out[n-1].to) {
				out[n-1].to = v.to
			}
			continue
		}
		out = append(out, v)
	}
	return out
}

// overlap returns how long an interval lies within a union of intervals.
func overlap(v interval, in []interval) time.Duration {
	var sum time.Duration
	first := sort.Search(len(in), func(i int) bool { return in[i].to.After(v.from) })
	for _, u := range in[first:] {
		if !u.from.Before(v.to) {
			break
		}
		from, to := u.from, u.to
		if from.Before(v.from) {
			from = v.from
		}
		if to.After(v.to) {
			to = v.to
		}
		sum += to.Sub(from)
	}
	return sum
}

// busy returns how long slots were busy within an interval, summed over the slots.
func (r *WorkerRecord) busy(v interval) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum time.Duration
	for _, run := range r.runs {
		end := run.end
		if end.IsZero() || end.After(v.to) {
			end = v.to
		}
		from := run.begin
		if from.Before(v.from) {
			from = v.from
		}
		sum += max(0, end.Sub(from))
	}
	return sum
}
