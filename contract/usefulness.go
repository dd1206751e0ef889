package contract

import "time"

// uselessFactor is the multiple of the latency target after which an answer is of no use to its caller.
const uselessFactor = 3

// runTimeMargin is how much longer than expected a run may take, as a share of its expected run time, before an answer that is
// expected on time is late: half of all runs take longer than expected. slackMargin bounds it for tight targets, as a share of the time
// that the target leaves for waiting.
const (
	runTimeMargin = 0.25
	slackMargin   = 0.5
)

// Usefulness is what an answer is worth to its caller, by the time at which it comes. A higher value is worth less.
type Usefulness uint8

const (
	// OnTime answers come by the latency target.
	OnTime Usefulness = iota
	// Late answers come after the target, but are still of use.
	Late
	// Useless answers come before the deadline, but too late to be of use.
	Useless
	// Expired answers come after the deadline: their caller has stopped waiting.
	Expired
)

// AnswerTimes are the times on which the usefulness of the answer to a job depends.
type AnswerTimes struct {
	// Accepted is when the job arrived, Target when its answer becomes late, Deadline when its caller stops waiting.
	Accepted time.Time
	Target   time.Time
	Deadline time.Time
}

// UselessAfter returns the time after which an answer is of no use.
func (t AnswerTimes) UselessAfter() time.Time {
	return t.Accepted.Add(uselessFactor * t.Target.Sub(t.Accepted))
}

// At returns the usefulness of an answer that comes at a time.
func (t AnswerTimes) At(end time.Time) Usefulness {
	switch {
	case end.After(t.Deadline):
		return Expired
	case end.After(t.UselessAfter()):
		return Useless
	case end.After(t.Target):
		return Late
	default:
		return OnTime
	}
}

// Expect returns the usefulness of an answer that needs a run of an expected time from now on. It is on time only if it would be so
// with a longer run too, by runTimeMargin and slackMargin.
func (t AnswerTimes) Expect(now time.Time, run time.Duration) Usefulness {
	end := now.Add(run)
	slack := max(t.Target.Sub(t.Accepted)-run, 0)
	margin := min(time.Duration(runTimeMargin*float64(run)), time.Duration(slackMargin*float64(slack)))
	if use := t.At(end); use != OnTime || !end.Add(margin).After(t.Target) {
		return use
	}
	return Late
}

// Times returns the times on which the usefulness of the answer depends.
func (o *TaskOrder) Times() AnswerTimes {
	return AnswerTimes{Accepted: o.Accepted, Target: o.Target, Deadline: o.Deadline}
}
