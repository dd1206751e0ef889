package edge

import (
	"maps"
	"sync"
	"time"
)

const (
	// relayInterval is the time between requests to pass announcements on, relayTime how long a request counts.
	relayInterval = 500 * time.Millisecond
	relayTime     = 1500 * time.Millisecond
)

// heldRelays records which members have asked for the announcements of others. mu guards the fields below it.
type heldRelays struct {
	mu sync.Mutex
	// until is the time to which the announcements of a home are passed on, by home and requester.
	until       map[string]map[string]time.Time
	requestedAt time.Time
}

func newHeldRelays() *heldRelays { return &heldRelays{until: make(map[string]map[string]time.Time)} }

// add records a request.
func (r *heldRelays) add(home, requester string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until[home] == nil {
		r.until[home] = make(map[string]time.Time)
	}
	r.until[home][requester] = now.Add(relayTime)
}

// requesters returns the members that have asked for the announcements of a home.
func (r *heldRelays) requesters(home string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, until := range r.until[home] {
		if now.Before(until) {
			ids = append(ids, id)
		}
	}
	return ids
}

// expire drops the requests that no longer count.
func (r *heldRelays) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for home, requesters := range r.until {
		maps.DeleteFunc(requesters, func(_ string, until time.Time) bool { return !now.Before(until) })
		if len(requesters) == 0 {
			delete(r.until, home)
		}
	}
}

// due reports whether the own requests are to be sent again.
func (r *heldRelays) due(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.requestedAt) < relayInterval {
		return false
	}
	r.requestedAt = now
	return true
}
