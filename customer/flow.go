package customer

import (
	"container/list"
	"time"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
)

const (
	// longFloor is the minimum share of the slot time of long work while short work waits as well and slots for long
	// work are available. Without it, a peak of short work would delay accepted long work past every deadline.
	longFloor = 0.1
	// evictionThreshold is the number of flows, plus two for each ready flow, below which idle flows are kept.
	evictionThreshold = 64
)

// classQueue holds the waiting tasks of one class.
type classQueue struct {
	class     backend.Class
	customers map[string]*customerFlow
	jobs      map[contract.JobID]*jobEntry
	// ready holds the customers with a team that may start a task, overQuota the teams that wait for a slot of their
	// quota, and overRate the teams that wait for a token.
	ready     indexedHeap[*customerFlow]
	overQuota *list.List
	overRate  indexedHeap[*teamFlow]
	// virtual is the highest virtual time of a customer at which a task was taken. A customer whose work begins to wait
	// continues from this time or from its own, if that is later.
	virtual float64
	// maxVirtual is the highest virtual time of any customer; virtual is advanced to it when nothing waits.
	maxVirtual float64
	// served is the virtual time of the class, which is compared with that of the other class.
	served float64
	totals Totals
	// overQuotaTasks is the number of tasks of the teams in overQuota.
	overQuotaTasks int
	rate           meter
}

// Totals counts waiting tasks.
type Totals struct {
	Tasks int
	Bytes int
	Work  time.Duration
	// Startable is the number of tasks that may start now within the quotas.
	Startable int
}

// customerFlow is the waiting work of one customer within a class. Its virtual time advances by the started work
// divided by the customer's weight; the flow with the smallest virtual time is served next.
type customerFlow struct {
	name    string
	weight  float64
	virtual float64
	// teamVirtual and maxTeamVirtual are for the teams what virtual and maxVirtual of the class are for the customers.
	teamVirtual    float64
	maxTeamVirtual float64
	index          int
	teams          map[string]*teamFlow
	ready          indexedHeap[*teamFlow]
	tasks          int
	work           time.Duration
	rate           meter
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
	key              TeamKey
	customer         *customerFlow
	weight           float64
	virtual          float64
	state            flowState
	index            int
	overQuotaElement *list.Element
	retry            time.Time
	jobs             indexedHeap[*jobEntry]
	tasks            int
	work             time.Duration
	due              dueProfile
	startable        int
	rate             meter
}

func (f *customerFlow) position() *int { return &f.index }

func (f *teamFlow) position() *int { return &f.index }

// evictIdle removes flows that are indistinguishable from new ones, so that the memory for names invented by
// callers is bounded.
func (c *classQueue) evictIdle() {
	if len(c.customers) < evictionThreshold+2*len(c.ready.items) {
		return
	}
	for name, cf := range c.customers {
		if cf.tasks == 0 && cf.virtual <= c.virtual {
			delete(c.customers, name)
		}
	}
}

func (f *customerFlow) evictIdle() {
	if len(f.teams) < evictionThreshold+2*len(f.ready.items) {
		return
	}
	for name, t := range f.teams {
		if t.tasks == 0 && t.virtual <= f.teamVirtual {
			delete(f.teams, name)
		}
	}
}

// count adds the task n times (1 or -1) to all sums.
func (c *classQueue) count(f *teamFlow, it *Item, n int) {
	work := time.Duration(n) * it.Expected
	cf := f.customer
	if cf.tasks == 0 {
		// A flow earns no credit for the time without waiting work.
		cf.virtual = max(cf.virtual, c.virtual)
	}
	if f.tasks == 0 {
		f.virtual = max(f.virtual, cf.teamVirtual)
	}
	c.totals.Tasks += n
	c.totals.Bytes += n * it.Bytes
	c.totals.Work += work
	cf.tasks += n
	cf.work += work
	f.tasks += n
	f.work += work
	f.due.add(it.Deadline, work)
	if f.state == flowOverQuota {
		c.overQuotaTasks += n
	}
	if cf.tasks == 0 {
		cf.teamVirtual = max(cf.teamVirtual, cf.maxTeamVirtual)
	}
	if c.totals.Tasks == 0 {
		c.virtual = max(c.virtual, c.maxVirtual)
	}
}

// setState changes the state of a flow and moves it to the structure that holds the flows of that state.
func (c *classQueue) setState(f *teamFlow, s flowState) {
	if f.state == s {
		return
	}
	c.leaveState(f)
	f.state = s
	switch s {
	case flowReady:
		f.customer.ready.push(f)
		if f.customer.index == notQueued {
			c.ready.push(f.customer)
		}
	case flowOverQuota:
		f.overQuotaElement = c.overQuota.PushBack(f)
		c.overQuotaTasks += f.tasks
	case flowOverRate:
		c.overRate.push(f)
	}
}

func (c *classQueue) leaveState(f *teamFlow) {
	switch f.state {
	case flowReady:
		f.customer.ready.remove(f)
		if f.customer.ready.empty() {
			c.ready.remove(f.customer)
		}
	case flowOverQuota:
		c.overQuota.Remove(f.overQuotaElement)
		f.overQuotaElement = nil
		c.overQuotaTasks -= f.tasks
	case flowOverRate:
		c.overRate.remove(f)
	}
}

func (c *classQueue) lookup(k TeamKey) *teamFlow {
	cf, ok := c.customers[k.Customer]
	if !ok {
		return nil
	}
	return cf.teams[k.Team]
}

// charge adds work in seconds to the virtual times of a flow, its customer and its class.
func (c *classQueue) charge(f *teamFlow, work float64) {
	f.virtual += work / f.weight
	f.customer.virtual += work / f.customer.weight
	f.customer.maxTeamVirtual = max(f.customer.maxTeamVirtual, f.virtual)
	c.maxVirtual = max(c.maxVirtual, f.customer.virtual)
	if f.state == flowReady {
		f.customer.ready.fix(f)
	}
	c.ready.fix(f.customer)
	weight := 1 - longFloor
	if c.class == backend.ClassLong {
		weight = longFloor
	}
	c.served += work / weight
}
