package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// refusalMargin is the shortest time from the expected end of an accepted job to its deadline.
	refusalMargin = 20 * time.Millisecond
	// refuseShare is the share of its time limit after which a job that has not started is refused if its answer would
	// come when it is of no use. Its caller can use the remaining time to submit it elsewhere.
	refuseShare = 0.35
)

// forecast holds the times that decide whether a waiting job is refused.
type forecast struct {
	contract.AnswerTimes
	expected time.Duration
}

// meetsDeadline reports whether a job that starts after a given wait can end before its deadline.
func (f forecast) meetsDeadline(now time.Time, wait time.Duration) bool {
	return !now.Add(wait + f.expected + refusalMargin).After(f.Deadline)
}

// shouldRefuse reports whether a job that has not started should be refused. It limits the harm of demand that exceeds
// the capacity of all workers for longer than jobs can wait: a job that queues until its deadline is refused too late
// to be submitted elsewhere.
func (f forecast) shouldRefuse(now time.Time) bool {
	use := f.At(now.Add(f.expected))
	if use == contract.Expired {
		return true
	}
	waited := now.Sub(f.Accepted)
	limit := f.Deadline.Sub(f.Accepted)
	return float64(waited) > refuseShare*float64(limit) && use == contract.Useless
}
