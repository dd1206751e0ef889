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
	// Attempts counts the rejected starts.
	Attempts int
	// Charged says that the task holds a part of its team's quota, from Pop until Finished or Returned.
	Charged bool
}

func (it *Item) teamKey() TeamKey { return TeamKey{Customer: it.Customer, Team: it.Team} }

// Queue orders the waiting tasks of one service: by virtual time between customers, then between the teams of a
// customer; within a team by job. Its mutex guards all fields.
type Queue struct {
	teams *Teams

	mu      sync.Mutex
	now     time.Time
	classes [2]classQueue
}

// NewQueue returns an empty queue that asks teams for weights and quotas.
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

// Push adds tasks, each with the class stated in it.
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

// sameEntry reports whether two tasks wait in the same entry.
func sameEntry(a, b *Item) bool { return a.Task.Job == b.Task.Job && a.Class == b.Class }

// push adds tasks of one job and class. It expects q.mu to be held.
func (q *Queue) push(items []Item) {
	first := &items[0]
	c := &q.classes[first.Class]
	if c.totals.Tasks == 0 {
		// An idle class gets no credit for the time in which nothing of it waited.
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
	q.settle(c, j.flow)
}

// flow returns the flow of a team, a new one if needed.
func (q *Queue) flow(c *classQueue, k TeamKey) *teamFlow {
	k = q.teams.Flow(k)
	cw, tw := q.teams.Weights(k.Customer, k.Team)
	o, ok := c.customers[k.Customer]
	if !ok {
		c.forgetIdle()
		o = &customerFlow{name: k.Customer, weight: cw, index: notQueued, teams: make(map[string]*teamFlow)}
		o.ready.less = func(a, b *teamFlow) bool { return a.virtual < b.virtual }
		c.customers[k.Customer] = o
	}
	f, ok := o.teams[k.Team]
	if !ok {
		o.forgetIdle()
		f = &teamFlow{key: k, owner: o, weight: tw, index: notQueued, due: make(dueProfile)}
		f.jobs.less = precedes
		o.teams[k.Team] = f
	}
	return f
}

// settle moves a flow to the place that its work and its quota call for, and counts what it may start.
func (q *Queue) settle(c *classQueue, f *teamFlow) {
	switch {
	case f.tasks == 0:
		c.place(f, flowIdle)
	case f.state == flowIdle:
		c.place(f, flowReady)
	}
	startable := 0
	if f.state == flowReady {
		startable = q.bound(c, f)
	}
	c.totals.Startable += startable - f.startable
	f.startable = startable
}

// bound returns how many tasks of a ready flow its quota lets start, and sets the flow aside if there are none.
func (q *Queue) bound(c *classQueue, f *teamFlow) int {
	room, retry, limited := q.teams.Room(f.key, f.tasks, q.now)
	switch {
	case !limited:
		return f.tasks
	case room > 0:
		return min(f.tasks, room)
	case retry.IsZero():
		c.place(f, flowOverQuota)
	default:
		f.retry = retry
		c.place(f, flowOverRate)
	}
	return 0
}

// Advance sets the time from which rates are computed and makes teams ready whose next token is due.
func (q *Queue) Advance(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
}

// advance expects q.mu to be held.
func (q *Queue) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
	for i := range q.classes {
		c := &q.classes[i]
		for !c.overRate.empty() && !c.overRate.top().retry.After(q.now) {
			f := c.overRate.top()
			c.place(f, flowReady)
			q.settle(c, f)
		}
	}
}

// Wake counts anew what a team may start after quota was released. It reports whether there is something.
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
			c.place(f, flowReady)
		}
		q.settle(c, f)
		woken = woken || f.state == flowReady
	}
	return woken
}

// Pop removes the task to start next. Long work is offered only if long is true.
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

// pop expects q.mu to be held.
func (q *Queue) pop(c *classQueue) (Item, bool) {
	for !c.ready.empty() {
		f := c.ready.top().ready.top()
		if q.reclass(c, f) {
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

// popBorrowed serves teams beyond their quota in turns. Long work gets no loan, because it could not be returned
// quickly.
func (q *Queue) popBorrowed(c *classQueue) (Item, bool) {
	if c.class == backend.ClassLong || c.overQuota.Len() == 0 {
		return Item{}, false
	}
	f := c.overQuota.Front().Value.(*teamFlow)
	if q.reclass(c, f) {
		return q.popBorrowed(c)
	}
	p := q.teams.TryBorrow(f.key, q.now)
	if !p.OK {
		if !p.Retry.IsZero() {
			q.park(c, f, p)
		}
		return Item{}, false
	}
	c.overQuota.MoveToBack(f.parkedAt)
	return q.take(c, f, p), true
}

// park sets a flow aside that its quota holds back.
func (q *Queue) park(c *classQueue, f *teamFlow, p Permit) {
	if p.Retry.IsZero() {
		c.place(f, flowOverQuota)
	} else {
		f.retry = p.Retry
		c.place(f, flowOverRate)
	}
	q.settle(c, f)
}

// take removes the first task of a flow and charges its expected work.
func (q *Queue) take(c *classQueue, f *teamFlow, p Permit) Item {
	c.virtual = max(c.virtual, f.owner.virtual)
	f.owner.teamVirtual = max(f.owner.teamVirtual, f.virtual)
	c.charge(f, f.jobs.top().peek().Expected.Seconds())
	it := q.removeNext(c, f)
	for _, m := range []*meter{&c.rate, &f.owner.rate, &f.rate} {
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
	q.settle(c, f)
	return it
}

// reclass moves the first task of a flow to the other class if its kind has been judged anew since it was queued.
func (q *Queue) reclass(c *classQueue, f *teamFlow) bool {
	kind := f.jobs.top().peek().Kind
	if kind == nil || kind.Class() == c.class {
		return false
	}
	it := q.removeNext(c, f)
	it.Class = 1 - c.class
	q.push([]Item{it})
	return true
}

// Finished ends a task that was popped and has run for the given time. Its team is charged for the difference to
// the expectation. It reports whether tasks of the team may wait for the released quota.
func (q *Queue) Finished(it Item, ran time.Duration) bool {
	q.mu.Lock()
	c := &q.classes[it.Class]
	if f := c.lookup(q.teams.Flow(it.teamKey())); f != nil && ran > 0 {
		c.charge(f, (ran - it.Expected).Seconds())
	}
	q.mu.Unlock()
	return it.Charged && q.teams.Release(it.teamKey(), true)
}

// Returned takes back the charge of a task that was popped and did not start.
func (q *Queue) Returned(it Item) bool {
	q.mu.Lock()
	c := &q.classes[it.Class]
	if f := c.lookup(q.teams.Flow(it.teamKey())); f != nil {
		c.charge(f, -it.Expected.Seconds())
	}
	q.mu.Unlock()
	return it.Charged && q.teams.Release(it.teamKey(), false)
}

// Cancel removes the waiting tasks of a job and returns their number. The cost per task is constant.
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
		q.settle(c, j.flow)
	}
	return n
}

// Reconfigure changes the deadline and priority of a job's waiting tasks. A zero deadline leaves it as it is.
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

// ApplyWeights takes over the weights and limits in effect.
func (q *Queue) ApplyWeights() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.classes {
		c := &q.classes[i]
		for _, o := range c.customers {
			for _, f := range o.teams {
				o.weight, f.weight = q.teams.Weights(f.key.Customer, f.key.Team)
				if f.tasks > 0 {
					// Limits may have been raised or dropped: the next Pop finds out.
					c.place(f, flowReady)
				}
				q.settle(c, f)
			}
		}
	}
}

// Depth is the amount of waiting work. Short and Long count the tasks that the quotas let start, so that no slot is
// asked for in vain; Waiting and Bytes count all.
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
	if s.parked > 0 {
		d.Short += min(s.parked, q.teams.Spare())
	}
	return d
}

// WaitingOf counts the waiting tasks of a team.
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
