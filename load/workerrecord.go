package load

import (
	"sort"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// workerRun is one run of a task as recorded by its worker.
type workerRun struct {
	begin, end time.Time
	long       bool
	stoppable  bool
}

// WorkerRecord is what one worker recorded during a run. mu guards the fields below it.
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
	r.runs[s.Task] = &workerRun{begin: s.At, long: p.Long, stoppable: isStoppable(s.Kind)}
}

func (r *WorkerRecord) ended(task string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, ok := r.runs[task]; ok {
		run.end = at
	}
}

// count calls fn under the record's lock.
func (r *WorkerRecord) count(fn func(r *WorkerRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r)
}

// interval is a time interval of the wall clock.
type interval struct{ from, to time.Time }

// longSince returns when a run started to count as long: at its start for long work, otherwise when it exceeded the
// short-task limit.
func (r *workerRun) longSince() time.Time {
	if r.long {
		return r.begin
	}
	return r.begin.Add(backend.LongThreshold)
}

// blockedByLong returns when long work held more slots than its cap, or when a stoppable task that had exceeded the
// short-task limit held a slot. A run without an end lasts until now.
func (r *WorkerRecord) blockedByLong(longCap float64, now time.Time) []interval {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []levelChange
	var out []interval
	for _, run := range r.runs {
		end := run.end
		if end.IsZero() {
			end = now
		}
		from := run.longSince()
		if !from.Before(end) {
			continue
		}
		changes = append(changes, levelChange{from, 1}, levelChange{end, -1})
		if !run.long && run.stoppable {
			out = append(out, interval{from, end})
		}
	}
	return append(out, intervalsAbove(changes, int(longCap*float64(r.slots)))...)
}

// levelChange changes a level by step; at is the time of the change.
type levelChange struct {
	at   time.Time
	step int
}

// intervalsAbove returns when the level is higher than the limit.
func intervalsAbove(changes []levelChange, limit int) []interval {
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].at.Equal(changes[j].at) {
			return changes[i].step < changes[j].step
		}
		return changes[i].at.Before(changes[j].at)
	})
	var out []interval
	level := 0
	for _, e := range changes {
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

// union merges overlapping intervals and sorts them by time.
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

// overlap returns how much of an interval is covered by a sorted union of intervals.
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

// busyTime returns the time for which slots were busy within an interval, summed over the slots.
func (r *WorkerRecord) busyTime(v interval) time.Duration {
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
