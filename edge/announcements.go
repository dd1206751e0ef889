package edge

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
)

// announcementRepeat is how long after an announcement it is repeated, in case the first one was lost. The runs of a crashed
// worker are over by then, and their next ones about to be ordered; a cancelled job must be gone 3 s after the answer.
const announcementRepeat = 800 * time.Millisecond

// announcement is a fact that all members are told, now and once more.
type announcement struct {
	at time.Time
	// encode returns the message that tells the fact at a time.
	encode func(now time.Time) *api.PeerMessage
}

// announcements tells facts to all members. mu guards the field below it; it is not held while Members is called.
type announcements struct {
	members *Members

	mu sync.Mutex
	// toRepeat are the facts that are to be told again, the oldest first.
	toRepeat []announcement
}

// Announce tells a fact to all members.
func (a *announcements) Announce(fact announcement) {
	a.members.Broadcast(fact.encode(fact.at))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.toRepeat = append(a.toRepeat, fact)
}

// Repeat tells the facts again that are old enough.
func (a *announcements) Repeat(now time.Time) {
	a.mu.Lock()
	var due []*api.PeerMessage
	for len(a.toRepeat) > 0 && now.Sub(a.toRepeat[0].at) >= announcementRepeat {
		due = append(due, a.toRepeat[0].encode(now))
		a.toRepeat = a.toRepeat[1:]
	}
	a.mu.Unlock()
	if len(due) > 0 {
		a.members.Broadcast(due...)
	}
}
