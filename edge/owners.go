package edge

import (
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
)

// owners implements batch.Owners: it passes orders to the local pools or sends them to other members.
type owners struct{ d *Daemon }

// LastContact implements batch.Owners.
func (s owners) LastContact(owner string, limit time.Time) batch.Contact {
	if owner != s.d.self {
		return s.d.members.LastContact(owner, limit)
	}
	if now := s.d.o.Now(); now.Before(limit) {
		limit = now
	}
	return batch.Contact{ReceivedAt: limit}
}

// Order implements batch.Owners.
func (s owners) Order(owner string, o contract.TaskOrder, echo batch.Contact) {
	if owner == s.d.self {
		s.d.pool(o.Backend).Order(s.d.self, o, echo.ReceivedAt)
		return
	}
	now := s.d.o.Now()
	m := encodeOrder(o, now)
	m.StampMs = echo.Timestamp
	s.d.members.Use(owner, now)
	s.d.members.Send(owner, &api.PeerMessage{Body: &api.PeerMessage_TaskOrder{TaskOrder: m}})
}

// Refresh implements batch.Owners.
func (s owners) Refresh(p batch.PoolRef, keys []contract.RunKey, echo batch.Contact) {
	if p.Owner == s.d.self {
		s.d.pool(p.Backend).Refresh(s.d.self, keys, echo.ReceivedAt)
		return
	}
	s.d.members.Use(p.Owner, s.d.o.Now())
	s.d.members.Send(p.Owner, &api.PeerMessage{Body: &api.PeerMessage_TaskRefresh{
		TaskRefresh: &api.TaskRefresh{Backend: p.Backend, Keys: encodeKeys(keys), StampMs: echo.Timestamp},
	}})
}

// Withdraw implements batch.Owners.
func (s owners) Withdraw(p batch.PoolRef, keys []contract.RunKey) {
	if p.Owner == s.d.self {
		s.d.pool(p.Backend).Withdraw(s.d.self, keys)
		return
	}
	s.d.members.Send(p.Owner, &api.PeerMessage{Body: &api.PeerMessage_TaskWithdrawal{
		TaskWithdrawal: &api.TaskWithdrawal{Backend: p.Backend, Keys: encodeKeys(keys)},
	}})
}

// Recall implements batch.Owners.
func (s owners) Recall(p batch.PoolRef, keys []contract.RunKey) {
	if p.Owner == s.d.self {
		s.d.pool(p.Backend).Recall(s.d.self, keys)
		return
	}
	s.d.members.Send(p.Owner, &api.PeerMessage{Body: &api.PeerMessage_TaskWithdrawal{
		TaskWithdrawal: &api.TaskWithdrawal{Backend: p.Backend, Keys: encodeKeys(keys), OnlyQueued: true},
	}})
}

// JobStarted implements batch.Owners.
func (s owners) JobStarted(p batch.PoolRef, keys []contract.RunKey) {
	if p.Owner == s.d.self {
		s.d.pool(p.Backend).JobStarted(keys)
		return
	}
	s.d.members.Send(p.Owner, &api.PeerMessage{Body: &api.PeerMessage_TaskUrgency{
		TaskUrgency: &api.TaskUrgency{Backend: p.Backend, Keys: encodeKeys(keys)},
	}})
}

// Acknowledge implements batch.Owners.
func (s owners) Acknowledge(p batch.PoolRef, keys []contract.RunKey) {
	if p.Owner == s.d.self {
		s.d.pool(p.Backend).Acknowledge(keys)
		return
	}
	s.d.members.Send(p.Owner, &api.PeerMessage{Body: &api.PeerMessage_TaskAck{
		TaskAck: &api.TaskAck{Backend: p.Backend, Keys: encodeKeys(keys)},
	}})
}
