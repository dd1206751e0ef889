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
	// majorities holds the last contacts with a majority of each electorate.
	majorities map[*zone.Electorate]time.Time
	// contacts holds the contacts that the messages echo, by owner. They are read when the messages are decided on: by the
	// time they are sent, the home may have treated their runs as ended, after an earlier contact.
	contacts    map[string]Contact
	orders      []ownerOrder
	refreshes   map[PoolRef][]contract.RunKey
	withdrawals map[PoolRef][]contract.RunKey
	recalls     map[PoolRef][]contract.RunKey
	acks        map[PoolRef][]contract.RunKey
	// releases are the requests to earlier homes.
	releases []releaseRequest
	// held are the jobs to announce to the other members.
	held []contract.HeldJob
	// ordered describes the orders for the log, until the job has been advanced.
	ordered []string
}

// PoolRef names a pool: the workers of a back end that an owner has.
type PoolRef struct {
	Owner   string
	Backend string
}

type ownerOrder struct {
	owner string
	order contract.TaskOrder
}

type releaseRequest struct {
	contract.JobRelease
	repeated bool
}

func (h *Home) newOutbox() *outbox { return newOutbox(h.o.Owners, h.o.Members) }

func newOutbox(owners Owners, members Membership) *outbox {
	return &outbox{
		owners: owners, members: members, contacts: make(map[string]Contact),
		majorities: make(map[*zone.Electorate]time.Time),
	}
}

// contact returns the contact that messages to an owner echo.
func (o *outbox) contact(owner string) Contact {
	c, ok := o.contacts[owner]
	if !ok {
		c = o.owners.LastContact(owner)
		o.contacts[owner] = c
	}
	return c
}

// order adds an order for a task's current run.
func (o *outbox) order(t *task, order contract.TaskOrder) {
	t.confirm(o.contact(t.owner))
	o.orders = append(o.orders, ownerOrder{t.owner, order})
}

func (o *outbox) withdraw(p PoolRef, k contract.RunKey) { add(&o.withdrawals, p, k) }

func (o *outbox) recall(p PoolRef, k contract.RunKey) { add(&o.recalls, p, k) }

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
		t.confirm(o.contact(t.owner))
		add(&o.refreshes, j.poolRef(t), j.key(t))
	}
}

func add(m *map[PoolRef][]contract.RunKey, p PoolRef, k contract.RunKey) {
	if *m == nil {
		*m = make(map[PoolRef][]contract.RunKey)
	}
	(*m)[p] = append((*m)[p], k)
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
	for _, m := range o.orders {
		o.owners.Order(m.owner, m.order, o.contacts[m.owner])
	}
	for ref, keys := range o.refreshes {
		o.owners.Refresh(ref, keys, o.contacts[ref.Owner])
	}
	for _, r := range o.releases {
		o.members.Release(r.JobRelease, r.repeated)
	}
	if len(o.held) > 0 {
		o.members.AnnounceHeld(o.held)
	}
}
