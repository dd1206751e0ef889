package clientlimit

import (
	"container/list"
	"context"
	"sync"
	"time"
)

const (
	// stalledTime is how long a connection may have a request without its end, or an answer that is not read, before it is closed to make
	// room for other callers.
	stalledTime = time.Second
	// roomTimeout is how long a call or a connection waits for room.
	roomTimeout = 2 * time.Second
)

// CallRoom bounds what the calls of all connections hold: the calls that are open, and the bytes of their messages. While there is room
// nothing is taken from anybody. Without room, the connection that has been stalled longest is closed, then the one that holds most gives way
// to one that holds less, so that a client cannot keep the others out. mu guards the fields below it and those of the shares.
type CallRoom struct {
	mu sync.Mutex
	// calls and messages are the bytes that are free, allMessages those that are there for messages.
	calls, messages, allMessages int64
	// ending are the bytes of calls that have been cancelled and not ended yet, granted those that the waiting calls will get.
	ending, granted int64
	orders          [rankings]*shareOrder
	// callWaiters and messageWaiters wait for room, the first come first.
	callWaiters, messageWaiters list.List
}

// CallShare is what the calls of one connection hold.
type CallShare struct {
	room *CallRoom
	// closeConn closes the connection to make room for others.
	closeConn func()
	// open holds the open calls that have not been cancelled, in no order.
	open                    []*OpenCall
	callBytes, messageBytes int64
	// stalledSince is when the oldest request without its end, or answer that is not read, has begun; zero for none.
	stalledSince time.Time
	// index is the place of the share in each order.
	index [rankings]int
	left  bool
}

// roomWaiter waits until a number of bytes is free. ready is closed then.
type roomWaiter struct {
	bytes int64
	ready chan struct{}
}

// NewCallRoom returns the room for the calls of a process on a VM.
func NewCallRoom(v VM) *CallRoom {
	r := &CallRoom{calls: v.CallBytes(), messages: v.MessageBytes(), allMessages: v.MessageBytes()}
	for n := range rankings {
		r.orders[n] = &shareOrder{ranking: n}
	}
	return r
}

// Join returns the share of a new connection. closeConn is called without a lock held.
func (r *CallRoom) Join(closeConn func()) *CallShare {
	s := &CallShare{room: r, closeConn: closeConn}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.orders {
		o.add(s)
	}
	return s
}

// Leave gives back what the messages of a closed connection hold. Its calls give their room back as they end.
func (s *CallShare) Leave() {
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	s.leave()
}

// leave expects the lock of the room to be held.
func (s *CallShare) leave() {
	if s.left {
		return
	}
	s.left = true
	r := s.room
	for _, o := range r.orders {
		o.remove(s)
	}
	r.messages += s.messageBytes
	s.messageBytes = 0
	r.wakeMessages()
	r.ending += s.callBytes
	s.callBytes = 0
}

// Begin takes room for a call, or reports that there is none for a connection that holds as much as this one. It waits for the room of
// calls that give way.
func (s *CallShare) Begin(ctx context.Context, bytes int64, cancel func(), now time.Time) (c *OpenCall, begun bool) {
	r := s.room
	// Allocations may have to help the collector, and so are made without the lock.
	c = &OpenCall{share: s, bytes: bytes, index: noPlace, cancel: cancel}
	w := &roomWaiter{bytes: bytes, ready: make(chan struct{})}
	r.mu.Lock()
	evictions, promised := r.promise(s, bytes, now)
	var place *list.Element
	if promised {
		r.granted += bytes
		place = r.callWaiters.PushBack(w)
		r.wakeCalls()
	}
	r.mu.Unlock()
	for _, evict := range evictions {
		evict()
	}
	if !promised || !r.awaitCall(ctx, w, place) || !s.add(c) {
		return nil, false
	}
	return c, true
}

// promise makes calls give way until there is, or will be, room for a new one. r.mu is held.
func (r *CallRoom) promise(s *CallShare, bytes int64, now time.Time) (evictions []func(), promised bool) {
	if s.left {
		return nil, false
	}
	for r.calls+r.ending < r.granted+bytes {
		evict := r.evictForCall(s, bytes, now)
		if evict == nil {
			return evictions, false
		}
		evictions = append(evictions, evict)
	}
	return evictions, true
}

// awaitCall waits until a waiter has its room, or reports that it got none in time.
func (r *CallRoom) awaitCall(ctx context.Context, w *roomWaiter, place *list.Element) bool {
	select {
	case <-w.ready:
		return true
	default:
	}
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	select {
	case <-w.ready:
	case <-timeout.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-w.ready:
		return true
	default:
		r.callWaiters.Remove(place)
		r.granted -= w.bytes
		r.wakeCalls()
		return false
	}
}

// wakeCalls gives those that wait first the room that is free. r.mu is held.
func (r *CallRoom) wakeCalls() {
	for first := r.callWaiters.Front(); first != nil; first = r.callWaiters.Front() {
		w := first.Value.(*roomWaiter)
		if w.bytes > r.calls {
			return
		}
		r.calls -= w.bytes
		r.granted -= w.bytes
		r.callWaiters.Remove(first)
		close(w.ready)
	}
}

// add adds a call that has its room, unless its connection has been closed.
func (s *CallShare) add(c *OpenCall) bool {
	r := s.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.left {
		r.calls += c.bytes
		r.wakeCalls()
		return false
	}
	c.index = len(s.open)
	s.open = append(s.open, c)
	s.addCallBytes(c.bytes)
	return true
}

// evictForCall takes room for a call from another connection and returns what ends that connection or its call, nil if there is none that
// has to give way. r.mu is held.
func (r *CallRoom) evictForCall(s *CallShare, bytes int64, now time.Time) func() {
	if stalled := r.stalled(s, now); stalled != nil {
		stalled.leave()
		return stalled.closeConn
	}
	most := r.orders[mostCalls].first(s)
	// A call is taken only if its connection keeps as much as the other one will have, and if the new call finds room then.
	lacking := r.granted + bytes - r.calls - r.ending
	if most == nil || most.callBytes-lacking < s.callBytes+bytes {
		return nil
	}
	call := most.open[len(most.open)-1]
	call.giveWay()
	return call.cancel
}

// stalled returns the connection that has been stalled longest, nil if none has been for long. r.mu is held.
func (r *CallRoom) stalled(except *CallShare, now time.Time) *CallShare {
	s := r.orders[longestStalled].first(except)
	if s == nil || s.stalledSince.IsZero() || now.Sub(s.stalledSince) < stalledTime {
		return nil
	}
	return s
}
