package customer

import (
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// deadlineResolution is the resolution at which deadlines are compared. Among equal deadlines the job with fewer
// waiting tasks goes first, so that the last tasks of a nearly finished job do not wait behind a new large one.
const deadlineResolution = 500 * time.Millisecond

// jobEntry holds the waiting tasks of a job within a team and class.
type jobEntry struct {
	id        contract.JobID
	flow      *teamFlow
	index     int
	priority  int
	dueBucket int64 // the deadlineBucket of the job's deadline
	arrived   time.Time
	// items are sorted by expected run time if sorted is set. The longest task, which determines when the job
	// completes, is the last item and is taken first.
	items  []Item
	sorted bool
}

func (j *jobEntry) position() *int { return &j.index }

func newJobEntry(f *teamFlow, first *Item) *jobEntry {
	return &jobEntry{
		id: first.Task.Job, flow: f, index: notQueued, priority: first.Priority, dueBucket: deadlineBucket(first.Deadline),
		arrived: first.Enqueued,
	}
}

// deadlineBucket returns the number of the interval of length deadlineResolution that contains the deadline.
func deadlineBucket(deadline time.Time) int64 { return deadline.UnixNano() / int64(deadlineResolution) }

func precedes(a, b *jobEntry) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	if a.dueBucket != b.dueBucket {
		return a.dueBucket < b.dueBucket
	}
	if len(a.items) != len(b.items) {
		return len(a.items) < len(b.items)
	}
	if !a.arrived.Equal(b.arrived) {
		return a.arrived.Before(b.arrived)
	}
	return a.id.Seq < b.id.Seq
}

func (j *jobEntry) add(it Item) {
	j.items = append(j.items, it)
	j.sorted = len(j.items) == 1
}

func (j *jobEntry) sort() {
	if j.sorted {
		return
	}
	sort.SliceStable(j.items, func(a, b int) bool {
		x, y := &j.items[a], &j.items[b]
		if x.Expected != y.Expected {
			return x.Expected < y.Expected
		}
		return x.Task.Index > y.Task.Index
	})
	j.sorted = true
}

// peek returns the next task without removing it.
func (j *jobEntry) peek() *Item {
	j.sort()
	return &j.items[len(j.items)-1]
}

// next removes and returns the next task.
func (j *jobEntry) next() Item {
	it := *j.peek()
	last := len(j.items) - 1
	j.items[last] = Item{}
	j.items = j.items[:last]
	return it
}

func (j *jobEntry) reconfigure(deadline time.Time, priority int) {
	j.priority = priority
	for i := range j.items {
		it := &j.items[i]
		it.Priority = priority
		if deadline.IsZero() {
			continue
		}
		j.flow.due.add(it.Deadline, -it.Expected)
		j.flow.due.add(deadline, it.Expected)
		it.Deadline = deadline
	}
	if !deadline.IsZero() {
		j.dueBucket = deadlineBucket(deadline)
	}
}

// dueProfile is the waiting work of a team by the bucket of its deadline.
type dueProfile map[int64]time.Duration

func (p dueProfile) add(deadline time.Time, work time.Duration) {
	bucket := deadlineBucket(deadline)
	p[bucket] += work
	if p[bucket] <= 0 {
		delete(p, bucket)
	}
}
