package clientlimit

import (
	"context"
	"time"
)

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
