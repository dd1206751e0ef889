package batch

import "time"

const (
	// refusalMargin is the least time limit left after the expected end of an accepted job.
	refusalMargin = 20 * time.Millisecond
	// refuseAfter is the share of its time limit after which a job is refused that has not started and whose answer would
	// come when it is worth little. Its caller has the rest of its time to go elsewhere.
	refuseAfter = 0.35
	// worthlessAfter is the multiple of the latency target after which an answer is worth little.
	worthlessAfter = 3
)

// prospects is what is known of a job that waits for workers, at a time.
type prospects struct {
	accepted time.Time
	target   time.Time
	deadline time.Time
	expected time.Duration
}

// endsInTime reports whether a job that starts after a wait can end inside its time limit.
func (p prospects) endsInTime(now time.Time, wait time.Duration) bool {
	return !now.Add(wait + p.expected + refusalMargin).After(p.deadline)
}

// hopeless reports whether a job that has not started is to be refused. It answers loads that exceed the room of all
// workers for longer than jobs can wait: a job that waits behind others until its time limit is told too late.
func (p prospects) hopeless(now time.Time) bool {
	end := now.Add(p.expected)
	if end.After(p.deadline) {
		return true
	}
	waited := now.Sub(p.accepted)
	limit := p.deadline.Sub(p.accepted)
	worthless := p.accepted.Add(worthlessAfter * p.target.Sub(p.accepted))
	return float64(waited) > refuseAfter*float64(limit) && end.After(worthless)
}
