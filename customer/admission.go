package customer

import (
	"sort"
	"time"

	"github.com/cicadadale/cicadadale/backend"
)

const (
	// waitMargin is the factor on the expected wait that covers the error of the expectation.
	waitMargin = 1.1
	// shortestRetry and longestRetry bound the hint after which time a refused job may be submitted again.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 10 * time.Second
)

// Due is waiting work by the start of the interval in which its deadline lies.
type Due struct {
	By   time.Time
	Work time.Duration
}

// Backlog is the waiting work ahead of a job: all of its class, that of its customer and that of its team, with the
// shares of the slots that customer and team get while all others wait as well.
type Backlog struct {
	Work          time.Duration
	CustomerWork  time.Duration
	TeamWork      time.Duration
	CustomerShare float64
	TeamShare     float64
	// Due is the team's work by deadline, in order.
	Due []Due
}

// Load is a job to be admitted.
type Load struct {
	Work     time.Duration
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
	b := Backlog{Work: c.totals.Work, CustomerShare: 1, TeamShare: 1}
	o := c.customers[k.Customer]
	if o == nil || o.tasks == 0 {
		b.CustomerShare = customerWeight / (c.activeWeight + customerWeight)
		return b
	}
	b.CustomerWork = o.work
	b.CustomerShare = o.weight / max(c.activeWeight, o.weight)
	f := o.teams[k.Team]
	if f == nil || f.tasks == 0 {
		b.TeamShare = teamWeight / (o.activeWeight + teamWeight)
		return b
	}
	b.TeamWork = f.work
	b.TeamShare = f.weight / max(o.activeWeight, f.weight)
	b.Due = f.due.list()
	return b
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
// second. The job waits behind the least of three backlogs: all work, its customer's work at the customer's share of
// the slots, and its team's work with an earlier deadline at the team's share. The last one must also leave the team's
// accepted jobs within their deadlines. There is no state besides the queue, so that admission follows a crest and its
// end at once and cannot oscillate.
func Admit(b Backlog, l Load, slots float64, now time.Time) Verdict {
	allowed := l.Deadline.Sub(now) - l.Longest
	if b.Work > 0 {
		// While tasks wait all slots are busy, on average with half of a task before them.
		allowed -= l.Longest / 2
	}
	if slots <= 0 {
		return refuse(longestRetry, allowed)
	}
	rest := max(0, l.Work-l.Longest)
	all := wait(b.Work+rest, slots)
	own := wait(b.CustomerWork+rest, slots*b.CustomerShare)
	shortest := min(all, own)
	if shortest <= allowed {
		return Verdict{Admit: true, Wait: shortest}
	}
	team, harmless := b.teamWait(l, rest, slots*b.CustomerShare*b.TeamShare, now)
	if harmless && team <= allowed {
		return Verdict{Admit: true, Wait: team}
	}
	return refuse(min(shortest, team), allowed)
}

// teamWait returns the wait behind the team's work with an earlier deadline, and whether the later work still meets
// its deadlines.
func (b Backlog) teamWait(l Load, rest time.Duration, slots float64, now time.Time) (time.Duration, bool) {
	ahead := rest
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
		if wait(total, slots)+l.Longest > d.By.Sub(now) {
			return wait(ahead, slots), false
		}
	}
	return wait(ahead, slots), true
}

func wait(work time.Duration, slots float64) time.Duration {
	if work <= 0 {
		return 0
	}
	return time.Duration(waitMargin * float64(work) / max(slots, 1e-6))
}

func refuse(expected, allowed time.Duration) Verdict {
	hint := min(longestRetry, max(shortestRetry, expected-max(0, allowed)))
	return Verdict{Wait: expected, RetryAfter: hint}
}
