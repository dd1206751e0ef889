package customer

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

// Item is a waiting task.
type Item struct {
	Task     contract.TaskID
	Kind     *backend.RequestKind
	Class    backend.Class
	Customer string
	Team     string
	Deadline time.Time
	Enqueued time.Time
	Priority int
	Expected time.Duration
	Bytes    int
	// Attempts is the number of rejected starts.
	Attempts int
	// Charged is set while the task uses its team's quota, from Pop until Finished or Refund.
	Charged bool
}

func (it *Item) teamKey() TeamKey { return TeamKey{Customer: it.Customer, Team: it.Team} }

// Queue orders the waiting tasks of one service by weighted fair queueing: by virtual time among customers, then among
// the teams of a customer; within a team by job. mu guards the fields below it.
type Queue struct {
	teams *Teams

	mu      sync.Mutex
	now     time.Time
	classes [2]classQueue
}

// NewQueue returns an empty queue that uses the weights and quotas of teams.
func NewQueue(teams *Teams) *Queue {
	q := &Queue{teams: teams}
	for i := range q.classes {
		c := &q.classes[i]
		c.class = backend.Class(i)
		c.customers = make(map[string]*customerFlow)
		c.jobs = make(map[contract.JobID]*jobEntry)
		c.overQuota = list.New()
		c.ready.less = func(a, b *customerFlow) bool { return a.virtual < b.virtual }
		c.overRate.less = func(a, b *teamFlow) bool { return a.retry.Before(b.retry) }
	}
	return q
}

// Push adds tasks, each to the class set in it.
func (q *Queue) Push(items []Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for rest := items; len(rest) > 0; {
		n := 1
		for n < len(rest) && sameEntry(&rest[0], &rest[n]) {
			n++
		}
		q.advance(rest[0].Enqueued)
		q.push(rest[:n])
		rest = rest[n:]
	}
}

// sameEntry reports whether two tasks belong to the same jobEntry.
func sameEntry(a, b *Item) bool { return a.Task.Job == b.Task.Job && a.Class == b.Class }

// push adds tasks of one job and class. It expects q.mu to be held.
func (q *Queue) push(items []Item) {
	first := &items[0]
	c := &q.classes[first.Class]
	if c.totals.Tasks == 0 {
		// A class earns no credit for the time without waiting work.
		c.served = max(c.served, q.classes[1-first.Class].served)
	}
	j, ok := c.jobs[first.Task.Job]
	if !ok {
		f := q.flow(c, first.teamKey())
		j = newJobEntry(f, first)
		c.jobs[j.id] = j
		f.jobs.push(j)
	}
	j.items = slices.Grow(j.items, len(items))
	for i := range items {
		j.add(items[i])
		c.count(j.flow, &items[i], 1)
	}
	j.flow.jobs.fix(j)
	q.refresh(c, j.flow)
}

// flow returns the flow of a team and creates it if needed.
func (q *Queue) flow(c *classQueue, k TeamKey) *teamFlow {
	k = q.teams.Flow(k)
	cw, tw := q.teams.Weights(k.Customer, k.Team)
	cf, ok := c.customers[k.Customer]
	if !ok {
		c.evictIdle()
		cf = &customerFlow{name: k.Customer, weight: cw, index: notQueued, teams: make(map[string]*teamFlow)}
		cf.ready.less = func(a, b *teamFlow) bool { return a.virtual < b.virtual }
		c.customers[k.Customer] = cf
	}
	f, ok := cf.teams[k.Team]
	if !ok {
		cf.evictIdle()
		f = &teamFlow{key: k, customer: cf, weight: tw, index: notQueued, due: make(dueProfile)}
		f.jobs.less = precedes
		cf.teams[k.Team] = f
	}
	return f
}

// refresh updates the state of a flow from its waiting work and its quota, and the number of tasks that it may start.
func (q *Queue) refresh(c *classQueue, f *teamFlow) {
	switch {
	case f.tasks == 0:
		c.setState(f, flowIdle)
	case f.state == flowIdle:
		c.setState(f, flowReady)
	}
	startable := 0
	if f.state == flowReady {
		startable = q.checkQuota(c, f)
	}
	c.totals.Startable += startable - f.startable
	f.startable = startable
}

// checkQuota returns how many tasks of a ready flow may start within its quota, and parks the flow if there are none.
func (q *Queue) checkQuota(c *classQueue, f *teamFlow) int {
	allowed, retry, limited := q.teams.Startable(f.key, f.tasks, q.now)
	switch {
	case !limited:
		return f.tasks
	case allowed > 0:
		return min(f.tasks, allowed)
	case retry.IsZero():
		c.setState(f, flowOverQuota)
	default:
		f.retry = retry
		c.setState(f, flowOverRate)
	}
	return 0
}

// Advance sets the time at which rates are computed and makes teams ready whose next token is available.
func (q *Queue) Advance(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
}

// advance implements Advance. It expects q.mu to be held.
func (q *Queue) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
	for i := range q.classes {
		c := &q.classes[i]
		for !c.overRate.empty() && !c.overRate.top().retry.After(q.now) {
			f := c.overRate.top()
			c.setState(f, flowReady)
			q.refresh(c, f)
		}
	}
}

// Wake recounts the tasks that a team may start after quota was released. It reports whether there are any.
func (q *Queue) Wake(k TeamKey) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	woken := false
	for i := range q.classes {
		c := &q.classes[i]
		f := c.lookup(k)
		if f == nil || f.tasks == 0 {
			continue
		}
		if f.state == flowOverQuota {
			c.setState(f, flowReady)
		}
		q.refresh(c, f)
		woken = woken || f.state == flowReady
	}
	return woken
}

// Pop removes and returns the task to start next. Long work is considered only if long is set.
func (q *Queue) Pop(long bool) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first, second := &q.classes[backend.ClassShort], &q.classes[backend.ClassLong]
	if !long {
		return q.pop(first)
	}
	if second.totals.Startable > 0 && second.served < first.served {
		first, second = second, first
	}
	if it, ok := q.pop(first); ok {
		return it, true
	}
	return q.pop(second)
}

// pop removes the next task of a class. It expects q.mu to be held.
func (q *Queue) pop(c *classQueue) (Item, bool) {
	for !c.ready.empty() {
		f := c.ready.top().ready.top()
		if q.reclassify(c, f) {
			continue
		}
		p := q.teams.TryStart(f.key, q.now)
		if p.OK {
			return q.take(c, f, p), true
		}
		q.park(c, f, p)
	}
	return q.popBorrowed(c)
}

// popBorrowed serves teams beyond their quota in turn, on quota borrowed from other teams. Long work may not borrow,
// because it could not return the quota quickly.
func (q *Queue) popBorrowed(c *classQueue) (Item, bool) {
	if c.class == backend.ClassLong || c.overQuota.Len() == 0 {
		return Item{}, false
	}
	f := c.overQuota.Front().Value.(*teamFlow)
	if q.reclassify(c, f) {
		return q.popBorrowed(c)
	}
	p := q.teams.TryBorrow(f.key, q.now)
	if !p.OK {
		if !p.Retry.IsZero() {
			q.park(c, f, p)
		}
		return Item{}, false
	}
	c.overQuota.MoveToBack(f.overQuotaElement)
	return q.take(c, f, p), true
}

// park sets aside a flow that may not start tasks within its quota.
func (q *Queue) park(c *classQueue, f *teamFlow, p Permit) {
	if p.Retry.IsZero() {
		c.setState(f, flowOverQuota)
	} else {
		f.retry = p.Retry
		c.setState(f, flowOverRate)
	}
	q.refresh(c, f)
}

// take removes the first task of a flow and charges its expected work.
func (q *Queue) take(c *classQueue, f *teamFlow, p Permit) Item {
	c.virtual = max(c.virtual, f.customer.virtual)
	f.customer.teamVirtual = max(f.customer.teamVirtual, f.virtual)
	c.charge(f, f.jobs.top().peek().Expected.Seconds())
	it := q.removeNext(c, f)
	for _, m := range []*meter{&c.rate, &f.customer.rate, &f.rate} {
		m.add(it.Expected, q.now)
	}
	it.Charged = p.Charged
	return it
}

// removeNext removes the first task of a flow without charging it.
func (q *Queue) removeNext(c *classQueue, f *teamFlow) Item {
	j := f.jobs.top()
	it := j.next()
	if len(j.items) == 0 {
		f.jobs.remove(j)
		delete(c.jobs, j.id)
	} else {
		f.jobs.fix(j)
	}
	c.count(f, &it, -1)
	q.refresh(c, f)
	return it
}

// reclassify moves the first task of a flow to the other class if its kind has been reclassified since it was queued.
func (q *Queue) reclassify(c *classQueue, f *teamFlow) bool {
	kind := f.jobs.top().peek().Kind
	if kind == nil || kind.Class() == c.class {
		return false
	}
	it := q.removeNext(c, f)
	it.Class = 1 - c.class
	q.push([]Item{it})
	return true
}

// Finished records that a popped task has run for the given time. Its team is charged for the difference to the
// expected run time. Finished reports whether tasks of the team may be waiting for the released quota.
func (q *Queue) Finished(it Item, ran time.Duration) bool {
	q.mu.Lock()
	c := &q.classes[it.Class]
	if f := c.lookup(q.teams.Flow(it.teamKey())); f != nil && ran > 0 {
		c.charge(f, (ran - it.Expected).Seconds())
	}
	q.mu.Unlock()
	return it.Charged && q.teams.Release(it.teamKey(), true)
}

// Refund takes back the charge of a task that was popped and did not start. It reports whether tasks of the team may be
// waiting for the released quota.
func (q *Queue) Refund(it Item) bool {
	q.mu.Lock()
	c := &q.classes[it.Class]
	if f := c.lookup(q.teams.Flow(it.teamKey())); f != nil {
		c.charge(f, -it.Expected.Seconds())
	}
	q.mu.Unlock()
	return it.Charged && q.teams.Release(it.teamKey(), false)
}

// Cancel removes the waiting tasks of a job and returns their number. It takes constant time per task.
func (q *Queue) Cancel(id contract.JobID) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for i := range q.classes {
		c := &q.classes[i]
		j, ok := c.jobs[id]
		if !ok {
			continue
		}
		n += len(j.items)
		delete(c.jobs, id)
		j.flow.jobs.remove(j)
		for i := range j.items {
			c.count(j.flow, &j.items[i], -1)
		}
		q.refresh(c, j.flow)
	}
	return n
}

// Reconfigure changes the deadline and priority of a job's waiting tasks. A zero deadline keeps the present one.
func (q *Queue) Reconfigure(id contract.JobID, deadline time.Time, priority int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.classes {
		j, ok := q.classes[i].jobs[id]
		if !ok {
			continue
		}
		j.reconfigure(deadline, priority)
		j.flow.jobs.fix(j)
	}
}

// ApplyWeights applies the weights and limits in effect to all flows.
func (q *Queue) ApplyWeights() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.classes {
		c := &q.classes[i]
		for _, cf := range c.customers {
			for _, f := range cf.teams {
				cf.weight, f.weight = q.teams.Weights(f.key.Customer, f.key.Team)
				if f.tasks > 0 {
					// Limits may have been raised or removed; refresh and the next Pop check them.
					c.setState(f, flowReady)
				}
				q.refresh(c, f)
			}
		}
	}
}

// Depth is the amount of waiting work. Short and Long count the tasks that may start within the quotas, so that no slot
// is requested unnecessarily; the other fields count all tasks.
type Depth struct {
	Short     int
	Long      int
	ShortWork time.Duration
	LongWork  time.Duration
	Waiting   int
	Bytes     int
}

// Depth returns the amount of waiting work.
func (q *Queue) Depth() Depth {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, l := &q.classes[backend.ClassShort], &q.classes[backend.ClassLong]
	d := Depth{
		Short: s.totals.Startable, Long: l.totals.Startable, ShortWork: s.totals.Work, LongWork: l.totals.Work,
		Waiting: s.totals.Tasks + l.totals.Tasks, Bytes: s.totals.Bytes + l.totals.Bytes,
	}
	if s.overQuotaTasks > 0 {
		d.Short += min(s.overQuotaTasks, q.teams.Spare())
	}
	return d
}

// WaitingOf returns the number of waiting tasks of a team.
func (q *Queue) WaitingOf(k TeamKey) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for i := range q.classes {
		if f := q.classes[i].lookup(k); f != nil {
			n += f.tasks
		}
	}
	return n
}
