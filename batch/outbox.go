package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// outbox collects the messages that result from a decision; they are sent after the locks are released.
type outbox struct {
	owners  Owners
	members Membership
	// electorate is the current one, nil until it is needed.
	electorate *zone.Electorate
	// lastMajorities holds the contacts that the last tick has found; nil in a tick.
	lastMajorities map[*zone.Electorate]time.Time
	// majorities holds the last contacts with a majority of each electorate.
	majorities map[*zone.Electorate]time.Time
	// contacts holds the contacts that the messages echo. They are read when the messages are decided on: by the time they
	// are sent, the home may have treated their runs as ended, after an earlier contact.
	contacts    map[contactKey]Contact
	orders      []ownerOrder
	refreshes   map[refreshKey][]contract.RunKey
	withdrawals map[PoolRef][]contract.RunKey
	recalls     map[PoolRef][]contract.RunKey
	acks        map[PoolRef][]contract.RunKey
	urgent      map[PoolRef][]contract.RunKey
	// releases are the requests to earlier homes.
	releases []releaseRequest
	// held are the jobs to announce to the other members.
	held []contract.HeldJob
	// lateChecks is set in a tick that was late, nextCheck is the time to the next one if that is as late.
	lateChecks bool
	nextCheck  time.Duration
	// ordered describes the orders for the log, until the job has been advanced.
	ordered []string
}

// PoolRef names a pool: the workers of a back end that an owner has.
type PoolRef struct {
	Owner   string
	Backend string
}

// contactKey names the newest contact with an owner up to a time.
type contactKey struct {
	owner string
	limit time.Time
}

// refreshKey names the runs in a pool that are refreshed with the same echo.
type refreshKey struct {
	pool PoolRef
	echo Contact
}

type ownerOrder struct {
	owner string
	order contract.TaskOrder
	echo  Contact
}

type releaseRequest struct {
	contract.JobRelease
	repeated bool
}

func (h *Home) newOutbox() *outbox {
	out := newOutbox(h.o.Owners, h.o.Members)
	out.lastMajorities = h.contacts.get()
	return out
}

func newOutbox(owners Owners, members Membership) *outbox {
	return &outbox{
		owners: owners, members: members, contacts: make(map[contactKey]Contact),
		majorities: make(map[*zone.Electorate]time.Time),
	}
}

// contact returns the contact that messages to an owner echo: no later one than limit.
func (o *outbox) contact(owner string, limit time.Time) Contact {
	key := contactKey{owner, limit}
	c, ok := o.contacts[key]
	if !ok {
		c = o.owners.LastContact(owner, limit)
		o.contacts[key] = c
	}
	return c
}

// order adds an order for a task's current run. The run lives no longer than its lease after the last proof of the caller, and after
// the last look at the callers.
func (o *outbox) order(j *job, t *task, order contract.TaskOrder) {
	echo := o.contact(t.owner, earlier(o.provenAt(j), j.seenAt))
	t.confirm(echo)
	o.orders = append(o.orders, ownerOrder{t.owner, order, echo})
}

func (o *outbox) withdraw(p PoolRef, k contract.RunKey) { add(&o.withdrawals, p, k) }

func (o *outbox) recall(p PoolRef, k contract.RunKey) { add(&o.recalls, p, k) }

func (o *outbox) jobStarted(p PoolRef, k contract.RunKey) { add(&o.urgent, p, k) }

func (o *outbox) acknowledge(p PoolRef, k contract.RunKey) { add(&o.acks, p, k) }

// refresh adds the runs of a job that may be alive. Withdrawn runs are withdrawn again, in case the first message was
// lost.
func (o *outbox) refresh(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskPlaced {
			continue
		}
		if t.withdrawn {
			o.withdraw(j.poolRef(t), j.key(t))
			continue
		}
		echo := o.contact(t.owner, earlier(o.majorityContact(j.electorate), j.seenAt))
		t.confirm(echo)
		add(&o.refreshes, refreshKey{j.poolRef(t), echo}, j.key(t))
	}
}

func add[K comparable](m *map[K][]contract.RunKey, key K, k contract.RunKey) {
	if *m == nil {
		*m = make(map[K][]contract.RunKey)
	}
	(*m)[key] = append((*m)[key], k)
}

func (o *outbox) send() {
	for ref, keys := range o.acks {
		o.owners.Acknowledge(ref, keys)
	}
	for ref, keys := range o.withdrawals {
		o.owners.Withdraw(ref, keys)
	}
	for ref, keys := range o.recalls {
		o.owners.Recall(ref, keys)
	}
	for ref, keys := range o.urgent {
		o.owners.JobStarted(ref, keys)
	}
	for _, m := range o.orders {
		o.owners.Order(m.owner, m.order, m.echo)
	}
	for r, keys := range o.refreshes {
		o.owners.Refresh(r.pool, keys, r.echo)
	}
	for _, r := range o.releases {
		o.members.Release(r.JobRelease, r.repeated)
	}
	if len(o.held) > 0 {
		o.members.AnnounceHeld(o.held, o.lateChecks)
	}
}
