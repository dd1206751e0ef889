package zone

import (
	"sync"
	"time"
)

// answerLease is how long an acknowledgement proves that a member has not promised to refuse this home. It is shorter
// than SilenceLimit by the time that an answer may take from the check of the lease to the caller.
const answerLease = SilenceLimit - 500*time.Millisecond

// DeclareQuorum returns how many of n listed members have to promise to refuse a silent home before it is gone. A home
// of two never is: the list or the VM's next incarnation has to show its end.
func DeclareQuorum(n int) int { return n/2 + 1 }

// AnswerLease tells a home whether it may still give final answers. Its mutex guards all fields.
//
// A member that promises to refuse this home has not heard it for SilenceLimit, and so has not acknowledged anything
// that was sent within answerLease. As long as fewer than DeclareQuorum members are in that position, the home is not
// gone. A member that was never sent anything does not know this incarnation and cannot promise.
type AnswerLease struct {
	mu sync.Mutex
	// acked holds the sending time of the last acknowledged message, or of the first message.
	acked map[string]time.Time
}

// NewAnswerLease returns the lease of a home that no member knows yet.
func NewAnswerLease() *AnswerLease { return &AnswerLease{acked: make(map[string]time.Time)} }

// Sent records that a message is about to be sent to a member, which may hear it although its acknowledgement is lost.
func (l *AnswerLease) Sent(vm string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.acked[vm]; !ok {
		l.acked[vm] = now
	}
}

// Acknowledged records that a member has acknowledged a message sent at the given time.
func (l *AnswerLease) Acknowledged(vm string, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.acked[vm]) {
		l.acked[vm] = sent
	}
}

// Holds reports whether this home may give final answers. members are the other listed members of its failure domain.
func (l *AnswerLease) Holds(members []string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := 0
	for _, vm := range members {
		if sent, ok := l.acked[vm]; ok && now.Sub(sent) > answerLease {
			silent++
		}
	}
	return silent < DeclareQuorum(len(members)+1)
}
