package customer

import (
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/backend"
)

const (
	// waitMargin is the factor on the work ahead that covers the error of the expected wait: work of other customers
	// arrives in bursts, and slots move between entry VMs.
	waitMargin = 1.5
	// minRetryAfter and maxRetryAfter bound the hint after which a refused job may be submitted again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Due is the waiting work whose deadlines lie in the interval that begins at By.
type Due struct {
	By   time.Time
	Work time.Duration
}

// Backlog is the waiting work ahead of a job: all work of its class, that of its customer and that of its team. It
// includes the competition of the customer with other customers and of the team with the customer's other teams.
type Backlog struct {
	Work         time.Duration
	CustomerWork time.Duration
	Customer     Competition
	Team         Competition
	// Due is the team's work in order of deadline.
	Due []Due
}

// Competition limits the slots of a flow. Share is its weighted share among the flows with waiting work; Backlogged and
// NonBacklogged are the slots recently used by other flows with and without waiting work.
type Competition struct {
	Share         float64
	Backlogged    float64
	NonBacklogged float64
}

// slots returns the slots that the flow can expect: its share of those not used by non-backlogged flows, or the slots
// that all other flows have recently left unused if these are more.
func (c Competition) slots(slots float64) float64 {
	rest := slots - c.NonBacklogged
	return max(0, c.Share*rest, rest-c.Backlogged)
}

// Load is the work of a job to be admitted.
type Load struct {
	Work time.Duration
	// Typical is the mean run time of the job's tasks. Longest is a bound that the longest task rarely exceeds on any
	// worker.
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
	totalWeight := customerWeight
	for name, cf := range c.customers {
		if name != k.Customer {
			b.Customer.add(&cf.rate, cf.tasks, q.now)
		}
		if name != k.Customer && cf.tasks > 0 {
			totalWeight += cf.weight
		}
	}
	b.Customer.Share = customerWeight / totalWeight
	cf := c.customers[k.Customer]
	if cf == nil {
		return b
	}
	b.CustomerWork = cf.work
	totalWeight = teamWeight
	for name, f := range cf.teams {
		if name != k.Team {
			b.Team.add(&f.rate, f.tasks, q.now)
		}
		if name != k.Team && f.tasks > 0 {
			totalWeight += f.weight
		}
	}
	b.Team.Share = teamWeight / totalWeight
	if f := cf.teams[k.Team]; f != nil {
		b.Due = f.due.list()
	}
	return b
}

func (c *Competition) add(rate *meter, tasks int, now time.Time) {
	if tasks > 0 {
		c.Backlogged += rate.at(now)
	} else {
		c.NonBacklogged += rate.at(now)
	}
}

func (p dueProfile) list() []Due {
	out := make([]Due, 0, len(p))
	for bucket, work := range p {
		out = append(out, Due{By: time.Unix(0, bucket*int64(deadlineResolution)), Work: work})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].By.Before(out[j].By) })
	return out
}

// Admit decides whether a job can be completed before its deadline; slots is the amount of work that the slots do per
// second. The customer is assumed to get its share of the slots, or those that the others have recently left unused if
// these are more: without this limit, a customer waiting behind the whole queue would be promised slots that the others
// continue to use. If not all work of the customer can be started before the deadline, the job may still overtake work
// of its team with later deadlines, provided that this work still meets them. There is no state besides the queue, so
// admission follows the start and end of a peak at once and cannot oscillate.
func Admit(b Backlog, l Load, slots float64, now time.Time) Verdict {
	remaining := l.Deadline.Sub(now)
	// The jobs of a kind with a few very long runs must not be refused while nothing waits.
	l.Longest = max(l.Typical, min(l.Longest, remaining/2))
	allowed := remaining - l.Longest
	if b.Work > 0 {
		// While tasks wait, all slots are busy with tasks that have half of their run time left on average.
		allowed -= l.Typical / 2
	}
	if slots <= 0 {
		return refuse(maxRetryAfter, allowed)
	}
	// The wait ends with the start of the last task, so that task's own work is not part of it.
	rest := max(0, l.Work-l.Typical)
	customerSlots := b.Customer.slots(slots)
	customerWait := wait(b.CustomerWork, rest, customerSlots)
	if customerWait <= allowed {
		return Verdict{Admit: true, Wait: customerWait}
	}
	teamWait, laterMet := b.teamWait(l, rest, b.Team.slots(customerSlots), now)
	if laterMet && teamWait <= allowed {
		return Verdict{Admit: true, Wait: teamWait}
	}
	return refuse(min(customerWait, teamWait), allowed)
}

// teamWait returns the wait behind the team's work with no later deadline, and whether the team's work with later
// deadlines still meets them. rest is the work of the job itself before its last task starts.
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

// wait returns the expected time until the work ahead and the job's own work have been started by the given slots.
func wait(ahead, own time.Duration, slots float64) time.Duration {
	if ahead+own <= 0 {
		return 0
	}
	return time.Duration((waitMargin*float64(ahead) + float64(own)) / max(slots, 1e-6))
}

func refuse(expected, allowed time.Duration) Verdict {
	hint := min(maxRetryAfter, max(minRetryAfter, expected-max(0, allowed)))
	return Verdict{Wait: expected, RetryAfter: hint}
}
