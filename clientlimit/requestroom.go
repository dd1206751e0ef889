package clientlimit

import (
	"container/list"
	"sync"
	"time"
)

// RequestRoom bounds the bytes of the requests of all clients over HTTP/1.1. Without room, the request that has been without its end for
// longest gives way, so that clients that stop short of the end cannot keep the others out. mu guards the fields below it and those of the
// reservations.
type RequestRoom struct {
	mu   sync.Mutex
	free int64
	// unfinished holds the reservations of requests that have no end yet, the oldest first.
	unfinished list.List
}

// reservation is what one request takes of a RequestRoom.
type reservation struct {
	room  *RequestRoom
	bytes int64
	// place is that among the unfinished ones, nil if the request is complete; since is when its request began.
	place *list.Element
	since time.Time
	// evict closes the connection of the request. It is called without a lock held.
	evict   func()
	evicted bool
}

// NewRequestRoom returns the room for a number of bytes.
func NewRequestRoom(bytes int64) *RequestRoom { return &RequestRoom{free: bytes} }

// newReservation returns the reservation of the requests of a connection, one after another.
func (r *RequestRoom) newReservation(evict func()) *reservation {
	return &reservation{room: r, evict: evict}
}

// growTo takes what a request that began at a time and has no end yet lacks of a number of bytes, or reports that there is no room for it.
func (rv *reservation) growTo(bytes int64, since, now time.Time) bool {
	evictions, grown := rv.room.growTo(rv, bytes, since, now)
	for _, evict := range evictions {
		evict()
	}
	return grown
}

func (r *RequestRoom) growTo(rv *reservation, bytes int64, since, now time.Time) (evictions []func(), grown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !rv.evicted && r.free < bytes-rv.bytes {
		stalled := r.stalled(rv, now)
		if stalled == nil {
			return evictions, false
		}
		stalled.evicted = true
		stalled.giveBack()
		evictions = append(evictions, stalled.evict)
	}
	if rv.evicted {
		return evictions, false
	}
	if rv.place == nil {
		rv.since = since
		rv.place = r.unfinished.PushBack(rv)
	}
	if more := bytes - rv.bytes; more > 0 {
		r.free -= more
		rv.bytes = bytes
	}
	return evictions, true
}

// stalled returns the oldest unfinished request but one, nil if it is not old. r.mu is held.
func (r *RequestRoom) stalled(except *reservation, now time.Time) *reservation {
	oldest := r.unfinished.Front()
	if oldest != nil && oldest == except.place {
		oldest = oldest.Next()
	}
	if oldest == nil {
		return nil
	}
	if rv := oldest.Value.(*reservation); now.Sub(rv.since) >= stalledTime {
		return rv
	}
	return nil
}

// finish notes that the request is complete. It keeps its bytes until release.
func (rv *reservation) finish() {
	rv.room.mu.Lock()
	defer rv.room.mu.Unlock()
	rv.takeOut()
}

// release gives back what the request holds.
func (rv *reservation) release() {
	rv.room.mu.Lock()
	defer rv.room.mu.Unlock()
	rv.giveBack()
}

// giveBack expects the lock of the room to be held.
func (rv *reservation) giveBack() {
	rv.takeOut()
	rv.room.free += rv.bytes
	rv.bytes = 0
}

// takeOut expects the lock of the room to be held.
func (rv *reservation) takeOut() {
	if rv.place != nil {
		rv.room.unfinished.Remove(rv.place)
		rv.place = nil
	}
}
