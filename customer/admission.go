package customer

import (
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/backend"
)

const (
	// waitMargin is the factor on the work ahead that covers the error of the expected wait: work of other customers arrives in
	// bursts, and slots change hands.
	waitMargin = 1.5
	// shortestRetry and longestRetry bound the hint after which time a refused job may be submitted again.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 10 * time.Second
)

// Due is waiting work by the start of the interval in which its deadline lies.
type Due struct {
	By   time.Time
	Work time.Duration
}

// Backlog is the waiting work ahead of a job: all of its class, that of its customer and that of its team, and the
// competition of the customer with the others and of the team with the customer's other teams.
type Backlog struct {
	Work         time.Duration
	CustomerWork time.Duration
	Customer     Competition
	Team         Competition
	// Due is the team's work by deadline, in order.
	Due []Due
}

// Competition is what limits the slots of a flow: its share among the flows that wait, and the slots that other flows
// have taken of late, those without waiting work apart.
type Competition struct {
	Share   float64
	Waiting float64
	Passing float64
}

// slots returns what the flow gets of the slots: its share of those that passing work leaves, or what all others have
// left of late if that is more.
func (c Competition) slots(slots float64) float64 {
	rest := slots - c.Passing
	return max(0, c.Share*rest, rest-c.Waiting)
}

// Load is a job to be admitted.
type Load struct {
	Work time.Duration
	// Typical is the mean run time of its tasks, Longest a bound that the longest of them rarely exceeds on any worker.
	Typical  time.Duration
	Longest  time.Duration
	Deadline time.Time
}

// Verdict is the decision on a job.
type Verdict struct {
	Admit bool
	// Wait is the expected time until the job's last task starts.
	Wait time.Duration
	// RetryAfter is the time after which enough of the backlog should have been served.
	RetryAfter time.Duration
}

// Backlog returns the waiting work ahead of a job of the given team and class.
func (q *Queue) Backlog(k TeamKey, class backend.Class) Backlog {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &q.classes[class]
	k = q.teams.Flow(k)
	customerWeight, teamWeight := q.teams.Weights(k.Customer, k.Team)
	b := Backlog{Work: c.totals.Work, Customer: Competition{Share: 1}, Team: Competition{Share: 1}}
	waiting := customerWeight
	for name, o := range c.customers {
		if name != k.Customer {
			b.Customer.add(&o.rate, o.tasks, q.now)
		}
		if name != k.Customer && o.tasks > 0 {
			waiting += o.weight
		}
	}
	b.Customer.Share = customerWeight / waiting
	o := c.customers[k.Customer]
	if o == nil {
		return b
	}
	b.CustomerWork = o.work
	waiting = teamWeight
	for name, f := range o.teams {
		if name != k.Team {
			b.Team.add(&f.rate, f.tasks, q.now)
		}
		if name != k.Team && f.tasks > 0 {
			waiting += f.weight
		}
	}
	b.Team.Share = teamWeight / waiting
	if f := o.teams[k.Team]; f != nil {
		b.Due = f.due.list()
	}
	return b
}

func (c *Competition) add(rate *meter, tasks int, now time.Time) {
	if tasks > 0 {
		c.Waiting += rate.at(now)
	} else {
		c.Passing += rate.at(now)
	}
}

func (p dueProfile) list() []Due {
	out := make([]Due, 0, len(p))
	for g, work := range p {
		out = append(out, Due{By: time.Unix(0, g*int64(deadlineGrain)), Work: work})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].By.Before(out[j].By) })
	return out
}

// Admit decides whether a job can be answered within its deadline by slots that do the given amount of work per
// second. Its customer gets its share of them, or what the others have left of late if that is more: a customer that
// waits behind the whole queue would otherwise be promised slots which the others keep taking. If all work of the
// customer cannot be started in time, the job may still overtake work of its team with later deadlines, provided that
// this work still meets them. There is no state besides the queue, so that admission follows a crest and its end at
// once and cannot oscillate.
func Admit(b Backlog, l Load, slots float64, now time.Time) Verdict {
	remaining := l.Deadline.Sub(now)
	// A kind with a few very long runs must not have its jobs refused while nothing waits.
	l.Longest = max(l.Typical, min(l.Longest, remaining/2))
	allowed := remaining - l.Longest
	if b.Work > 0 {
		// While tasks wait all slots are busy, on average with half of a task before them.
		allowed -= l.Typical / 2
	}
	if slots <= 0 {
		return refuse(longestRetry, allowed)
	}
	rest := max(0, l.Work-l.Typical)
	mine := b.Customer.slots(slots)
	own := wait(b.CustomerWork, rest, mine)
	if own <= allowed {
		return Verdict{Admit: true, Wait: own}
	}
	team, harmless := b.teamWait(l, rest, b.Team.slots(mine), now)
	if harmless && team <= allowed {
		return Verdict{Admit: true, Wait: team}
	}
	return refuse(min(own, team), allowed)
}

// teamWait returns the wait behind the team's work with an earlier deadline, and whether the later work still meets
// its deadlines.
func (b Backlog) teamWait(l Load, rest time.Duration, slots float64, now time.Time) (time.Duration, bool) {
	ahead := time.Duration(0)
	for _, d := range b.Due {
		if !d.By.After(l.Deadline) {
			ahead += d.Work
		}
	}
	total := ahead
	for _, d := range b.Due {
		if !d.By.After(l.Deadline) {
			continue
		}
		total += d.Work
		if wait(total, rest, slots)+l.Longest > d.By.Sub(now) {
			return wait(ahead, rest, slots), false
		}
	}
	return wait(ahead, rest, slots), true
}

// wait returns the expected time until the work ahead and the job's own work have been started.
func wait(ahead, own time.Duration, slots float64) time.Duration {
	if ahead+own <= 0 {
		return 0
	}
	return time.Duration((waitMargin*float64(ahead) + float64(own)) / max(slots, 1e-6))
}

func refuse(expected, allowed time.Duration) Verdict {
	hint := min(longestRetry, max(shortestRetry, expected-max(0, allowed)))
	return Verdict{Wait: expected, RetryAfter: hint}
}
