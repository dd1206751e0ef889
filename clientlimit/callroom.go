package clientlimit

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
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

// OpenCall is a call that has not ended.
type OpenCall struct {
	share *CallShare
	bytes int64
	// index is the call's place among those of its share, noPlace once the call has been cancelled or has ended.
	index int
	ended bool
	// handled is set once the server has begun to handle the call, or has given it up before.
	handled atomic.Bool
	// cancel ends the call to make room for others.
	cancel func()
}

const noPlace = -1

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

// Handled notes that the server has begun to handle the call, and will report its end.
func (c *OpenCall) Handled() { c.handled.Store(true) }

// Cancelled ends a call that is not handled: the server does not report the end of such a call.
func (c *OpenCall) Cancelled() {
	if c.handled.CompareAndSwap(false, true) {
		c.End()
	}
}

// End gives back the room of a call. It may be called more than once.
func (c *OpenCall) End() {
	s, r := c.share, c.share.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	cancelled := c.index == noPlace
	if !cancelled {
		c.takeOut()
	}
	if cancelled || s.left {
		r.ending -= c.bytes
	} else {
		s.addCallBytes(-c.bytes)
	}
	r.calls += c.bytes
	r.wakeCalls()
}

// giveWay notes that a call is cancelled to make room. The lock of the room is held.
func (c *OpenCall) giveWay() {
	c.takeOut()
	c.share.addCallBytes(-c.bytes)
	c.share.room.ending += c.bytes
}

// takeOut removes a call from those of its share. The lock of the room is held.
func (c *OpenCall) takeOut() {
	s := c.share
	last := len(s.open) - 1
	s.open[c.index] = s.open[last]
	s.open[c.index].index = c.index
	s.open[last] = nil
	s.open = s.open[:last]
	c.index = noPlace
}

// addCallBytes expects the lock of the room to be held.
func (s *CallShare) addCallBytes(bytes int64) {
	s.callBytes += bytes
	s.room.orders[mostCalls].update(s)
}

// Hold sets the bytes that the messages of a connection hold, or reports that there is no room for them.
func (s *CallShare) Hold(bytes int64, stalledSince, now time.Time) bool {
	r := s.room
	r.mu.Lock()
	if s.left {
		r.mu.Unlock()
		return false
	}
	if s.stalledSince != stalledSince {
		s.stalledSince = stalledSince
		r.orders[longestStalled].update(s)
	}
	var evictions []func()
	more := bytes - s.messageBytes
	for bytes <= r.allMessages && r.messages < more {
		evict := r.evictForMessages(s, bytes, now)
		if evict == nil {
			break
		}
		evictions = append(evictions, evict)
	}
	held := more <= 0 || more <= r.messages
	if held {
		s.messageBytes = bytes
		r.messages -= more
		r.orders[largestMessages].update(s)
		r.wakeMessages()
	}
	r.mu.Unlock()
	for _, evict := range evictions {
		evict()
	}
	return held
}

// Await waits until a connection may find room for its messages. It returns false if there will be none, or when ctx ends.
func (s *CallShare) Await(ctx context.Context, bytes int64) bool {
	r := s.room
	r.mu.Lock()
	if s.left || bytes > r.allMessages {
		r.mu.Unlock()
		return false
	}
	w := &roomWaiter{bytes: bytes - s.messageBytes, ready: make(chan struct{})}
	place := r.messageWaiters.PushBack(w)
	r.wakeMessages()
	r.mu.Unlock()
	// Other connections may have stalled for long enough meanwhile.
	stalled := time.NewTimer(stalledTime)
	defer stalled.Stop()
	select {
	case <-w.ready:
	case <-stalled.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messageWaiters.Remove(place)
	return ctx.Err() == nil
}

// wakeMessages tells those that wait first that there is room. r.mu is held.
func (r *CallRoom) wakeMessages() {
	free := r.messages
	for first := r.messageWaiters.Front(); first != nil; first = r.messageWaiters.Front() {
		w := first.Value.(*roomWaiter)
		if w.bytes > free {
			return
		}
		free -= w.bytes
		r.messageWaiters.Remove(first)
		close(w.ready)
	}
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

// evictForMessages takes room for the messages of a connection from another one. r.mu is held.
func (r *CallRoom) evictForMessages(s *CallShare, bytes int64, now time.Time) func() {
	other := r.stalled(s, now)
	if other == nil {
		other = r.orders[largestMessages].first(s)
		if other == nil || other.messageBytes <= bytes {
			return nil
		}
	}
	other.leave()
	return other.closeConn
}

// stalled returns the connection that has been stalled longest, nil if none has been for long. r.mu is held.
func (r *CallRoom) stalled(except *CallShare, now time.Time) *CallShare {
	s := r.orders[longestStalled].first(except)
	if s == nil || s.stalledSince.IsZero() || now.Sub(s.stalledSince) < stalledTime {
		return nil
	}
	return s
}
