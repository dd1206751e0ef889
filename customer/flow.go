package customer

import (
	"container/list"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

const (
	// longFloor is the share of the slot time that long work gets while slots admit it and short work waits as well.
	// Without it a crest of short work would hold accepted long work past every deadline.
	longFloor = 0.1
	// idleFlows is the number of flows without work that are kept before they are looked through.
	idleFlows = 64
)

// classQueue holds the waiting tasks of one class.
type classQueue struct {
	class     backend.Class
	customers map[string]*customerFlow
	jobs      map[contract.JobID]*jobEntry
	// ready holds the customers with a team that may start a task. overQuota lists teams that wait for a slot of
	// their quota, overRate teams that wait for a token.
	ready     indexedHeap[*customerFlow]
	overQuota *list.List
	overRate  indexedHeap[*teamFlow]
	virtual   float64
	// last is the highest virtual time of a customer; virtual catches up with it when nothing waits.
	last float64
	// served is the virtual time of the class against the other one.
	served float64
	totals Totals
	// parked is the number of tasks of the teams in overQuota.
	parked int
	rate   meter
}

// Totals counts waiting tasks.
type Totals struct {
	Tasks int
	Bytes int
	Work  time.Duration
	// Startable is the number of tasks that the quotas let start now.
	Startable int
}

// customerFlow is the waiting work of one customer within a class. Its virtual time grows by the work started
// divided by the customer's weight; the flow with the smallest one is served next.
type customerFlow struct {
	name        string
	weight      float64
	virtual     float64
	teamVirtual float64
	teamLast    float64
	index       int
	teams       map[string]*teamFlow
	ready       indexedHeap[*teamFlow]
	tasks       int
	work        time.Duration
	rate        meter
}

type flowState uint8

const (
	flowIdle flowState = iota
	flowReady
	flowOverQuota
	flowOverRate
)

// teamFlow is the waiting work of one team within a class.
type teamFlow struct {
	key       TeamKey
	owner     *customerFlow
	weight    float64
	virtual   float64
	state     flowState
	index     int
	parkedAt  *list.Element
	retry     time.Time
	jobs      indexedHeap[*jobEntry]
	tasks     int
	work      time.Duration
	due       dueProfile
	startable int
	rate      meter
}

func (f *customerFlow) position() *int { return &f.index }

func (f *teamFlow) position() *int { return &f.index }

// forgetIdle drops flows that are indistinguishable from new ones, so that names made up by callers do not pile up.
func (c *classQueue) forgetIdle() {
	if len(c.customers) < idleFlows+2*len(c.ready.items) {
		return
	}
	for name, o := range c.customers {
		if o.tasks == 0 && o.virtual <= c.virtual {
			delete(c.customers, name)
		}
	}
}

func (f *customerFlow) forgetIdle() {
	if len(f.teams) < idleFlows+2*len(f.ready.items) {
		return
	}
	for name, t := range f.teams {
		if t.tasks == 0 && t.virtual <= f.teamVirtual {
			delete(f.teams, name)
		}
	}
}

// count adds n tasks like it (1 or -1) to all sums.
func (c *classQueue) count(f *teamFlow, it *Item, n int) {
	work := time.Duration(n) * it.Expected
	o := f.owner
	if o.tasks == 0 {
		// An idle flow gets no credit for the time in which it asked for nothing.
		o.virtual = max(o.virtual, c.virtual)
	}
	if f.tasks == 0 {
		f.virtual = max(f.virtual, o.teamVirtual)
	}
	c.totals.Tasks += n
	c.totals.Bytes += n * it.Bytes
	c.totals.Work += work
	o.tasks += n
	o.work += work
	f.tasks += n
	f.work += work
	f.due.add(it.Deadline, work)
	if f.state == flowOverQuota {
		c.parked += n
	}
	if o.tasks == 0 {
		o.teamVirtual = max(o.teamVirtual, o.teamLast)
	}
	if c.totals.Tasks == 0 {
		c.virtual = max(c.virtual, c.last)
	}
}

// place changes the state of a flow.
func (c *classQueue) place(f *teamFlow, s flowState) {
	if f.state == s {
		return
	}
	c.leave(f)
	f.state = s
	switch s {
	case flowReady:
		f.owner.ready.push(f)
		if f.owner.index == notQueued {
			c.ready.push(f.owner)
		}
	case flowOverQuota:
		f.parkedAt = c.overQuota.PushBack(f)
		c.parked += f.tasks
	case flowOverRate:
		c.overRate.push(f)
	}
}

func (c *classQueue) leave(f *teamFlow) {
	switch f.state {
	case flowReady:
		f.owner.ready.remove(f)
		if f.owner.ready.empty() {
			c.ready.remove(f.owner)
		}
	case flowOverQuota:
		c.overQuota.Remove(f.parkedAt)
		f.parkedAt = nil
		c.parked -= f.tasks
	case flowOverRate:
		c.overRate.remove(f)
	}
}

func (c *classQueue) lookup(k TeamKey) *teamFlow {
	o, ok := c.customers[k.Customer]
	if !ok {
		return nil
	}
	return o.teams[k.Team]
}

// charge adds work in seconds to the virtual times of a flow.
func (c *classQueue) charge(f *teamFlow, work float64) {
	f.virtual += work / f.weight
	f.owner.virtual += work / f.owner.weight
	f.owner.teamLast = max(f.owner.teamLast, f.virtual)
	c.last = max(c.last, f.owner.virtual)
	if f.state == flowReady {
		f.owner.ready.fix(f)
	}
	c.ready.fix(f.owner)
	weight := 1 - longFloor
	if c.class == backend.ClassLong {
		weight = longFloor
	}
	c.served += work / weight
}
