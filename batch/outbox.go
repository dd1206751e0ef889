package batch

import (
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

// outbox collects the messages that result from a decision; they are sent after the locks are released.
type outbox struct {
	orders      []ownerOrder
	refreshes   map[PoolRef][]contract.RunKey
	withdrawals map[PoolRef][]contract.RunKey
	recalls     map[PoolRef][]contract.RunKey
	acks        map[PoolRef][]contract.RunKey
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

func newOutbox() *outbox { return &outbox{} }

func (o *outbox) order(owner string, t contract.TaskOrder) {
	o.orders = append(o.orders, ownerOrder{owner, t})
}

func (o *outbox) withdraw(p PoolRef, k contract.RunKey) { add(&o.withdrawals, p, k) }

func (o *outbox) recall(p PoolRef, k contract.RunKey) { add(&o.recalls, p, k) }

func (o *outbox) acknowledge(p PoolRef, k contract.RunKey) { add(&o.acks, p, k) }

// refresh adds the runs of a job that may be alive. Withdrawn runs are withdrawn again, in case the first message was
// lost.
func (o *outbox) refresh(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskPlaced {
			continue
		}
		if t.withdrawn {
			o.withdraw(j.poolRef(t), j.key(t))
			continue
		}
		t.refreshedAt = now
		add(&o.refreshes, j.poolRef(t), j.key(t))
	}
}

func add(m *map[PoolRef][]contract.RunKey, p PoolRef, k contract.RunKey) {
	if *m == nil {
		*m = make(map[PoolRef][]contract.RunKey)
	}
	(*m)[p] = append((*m)[p], k)
}

func (o *outbox) send(owners Owners) {
	for ref, keys := range o.acks {
		owners.Acknowledge(ref, keys)
	}
	for ref, keys := range o.withdrawals {
		owners.Withdraw(ref, keys)
	}
	for ref, keys := range o.recalls {
		owners.Recall(ref, keys)
	}
	for _, m := range o.orders {
		owners.Order(m.owner, m.order)
	}
	for ref, keys := range o.refreshes {
		owners.Refresh(ref, keys)
	}
}
