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

// sort orders the runs by urgency at a time: first what can still meet its latency target, by priority and then by the
// target; behind it what is late but still inside its time limit; last what cannot end in time any more.
func (q *queue) sort(now time.Time) {
	slices.SortStableFunc(q.runs, func(a, b *run) int {
		if d := a.lateness(now) - b.lateness(now); d != 0 {
			return d
		}
		if d := a.order.Priority - b.order.Priority; d != 0 {
			return d
		}
		return a.order.Target.Compare(b.order.Target)
	})
}

// Classes of lateness.
const (
	inTime = iota
	late
	tooLate
)

func (r *run) lateness(now time.Time) int {
	end := now.Add(r.order.Expected)
	switch {
	case end.After(r.order.Deadline):
		return tooLate
	case end.After(r.order.Target):
		return late
	default:
		return inTime
	}
}
