package clientlimit

import "sync/atomic"

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
