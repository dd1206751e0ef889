package pool

import (
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/contract"
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
// tasks would otherwise have run in vain; then the other late runs, then runs whose answer would be of no use, last runs
// that cannot end before their deadline.
func (q *queue) sort(now time.Time, speed float64) {
	for _, r := range q.runs {
		r.class = r.usefulness(now, speed)
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

// usefulness predicts the usefulness of the answer to which a run belongs if it starts now on a worker of a given speed. Late
// runs of jobs of which another task has been started count as on time.
func (r *run) usefulness(now time.Time, speed float64) contract.Usefulness {
	use := r.order.Times().At(now.Add(r.runTime(speed)))
	if use == contract.Late && r.committed {
		return contract.OnTime
	}
	return use
}

// runTime returns the expected run time on a worker of a given speed.
func (r *run) runTime(speed float64) time.Duration {
	return time.Duration(float64(r.order.Expected) / max(speed, minMatchSpeed))
}

// minMatchSpeed limits the run time predicted for a very slow worker.
const minMatchSpeed = 0.1
