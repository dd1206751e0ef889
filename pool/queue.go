package pool

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// queue holds the queued runs of a pool. When demand exceeds the capacity of the workers, its order decides which runs
// are late. The lock of the pool guards it.
type queue struct {
	runs []*run
}

func (q *queue) push(r *run) { q.runs = append(q.runs, r) }

func (q *queue) remove(r *run) {
	if i := slices.Index(q.runs, r); i >= 0 {
		q.runs = slices.Delete(q.runs, i, i+1)
	}
}

// anyFits reports whether any run needs no more than some free capacity.
func (q *queue) anyFits(free machine.Resources) bool {
	return slices.ContainsFunc(q.runs, func(r *run) bool { return free.Fits(r.order.Need) })
}

// sort orders the runs by urgency at a given time, for a worker of a given speed. First come runs that can still meet
// their latency target there, by priority and then by target, together with the late runs of started jobs, whose other
// tasks would otherwise have run in vain; then the other late runs, then runs so late that their answer is worth
// little, last runs that cannot end before their deadline.
func (q *queue) sort(now time.Time, speed float64) {
	for _, r := range q.runs {
		r.class = r.lateness(now, speed)
	}
	slices.SortStableFunc(q.runs, func(a, b *run) int {
		if d := int(a.class) - int(b.class); d != 0 {
			return d
		}
		if d := a.order.Priority - b.order.Priority; d != 0 {
			return d
		}
		return a.order.Target.Compare(b.order.Target)
	})
}

// lateness classifies a run by the value of the answer that it can still produce.
type lateness uint8

const (
	// onTime runs include late runs of jobs of which another task has been started.
	onTime lateness = iota
	late
	// veryLate answers come after three times the latency target.
	veryLate
	// tooLate runs cannot end before their deadline.
	tooLate
)

// veryLateFactor is the multiple of the latency target after which an answer is worth little.
const veryLateFactor = 3

func (r *run) lateness(now time.Time, speed float64) lateness {
	end := now.Add(time.Duration(float64(r.order.Expected) / max(speed, minMatchSpeed)))
	switch {
	case end.After(r.order.Deadline):
		return tooLate
	case end.After(r.veryLateAfter):
		return veryLate
	case end.After(r.order.Target) && !r.committed:
		return late
	default:
		return onTime
	}
}

// minMatchSpeed limits the run time predicted for a very slow worker.
const minMatchSpeed = 0.1
