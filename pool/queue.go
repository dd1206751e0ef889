package pool

import (
	"slices"
	"time"
)

// queue holds the waiting runs of a pool. It answers loads beyond the room of the workers: the order decides who is
// served late. Its owner's lock guards it.
type queue struct {
	runs []*run
}

func (q *queue) push(r *run) { q.runs = append(q.runs, r) }

func (q *queue) remove(r *run) {
	if i := slices.Index(q.runs, r); i >= 0 {
		q.runs = slices.Delete(q.runs, i, i+1)
	}
}

// sort orders the runs by urgency at a time, for a worker of a speed: first what can still meet its latency target there,
// by priority and then by the target, and what completes a job that has been begun: its other tasks would have run for
// nothing; behind it what is late, then what is so late that its answer is worth little, last
// what cannot end inside its time limit any more.
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

// lateness says what an answer is worth that a run can still lead to.
type lateness uint8

const (
	inTime lateness = iota
	late
	// veryLate answers come after three times the latency target.
	veryLate
	tooLate
)

// veryLateFactor is the multiple of the latency target after which an answer is worth little.
const veryLateFactor = 3

func (r *run) lateness(now time.Time, speed float64) lateness {
	end := now.Add(time.Duration(float64(r.order.Expected) / max(speed, minMatchSpeed)))
	switch {
	case end.After(r.order.Deadline):
		return tooLate
	case end.After(r.veryLate):
		return veryLate
	case end.After(r.order.Target) && !r.committed:
		return late
	default:
		return inTime
	}
}

// minMatchSpeed bounds the run time that is expected of a very slow worker.
const minMatchSpeed = 0.1
