package zone

import (
	"sync"
	"time"
)

// answerLeaseTTL is the time after the sending of a message for which its acknowledgement proves that the member has
// not promised to refuse this home. It is shorter than SilenceLimit by the time that an answer may take from the check
// of the lease to the caller.
const answerLeaseTTL = SilenceLimit - 500*time.Millisecond

// DeclareQuorum returns how many of n listed members have to promise to refuse a silent home before it is declared
// gone. In a domain of two members, the home and one other, there are never enough promises: the list or the VM's next
// incarnation has to show that the home has ended.
func DeclareQuorum(n int) int { return n/2 + 1 }

// AnswerLease decides whether a home (the member that accepted a job and answers for it) may still give final
// answers. Its mutex guards all fields.
//
// A member that promises to refuse this home has not received a message from it for SilenceLimit, and so has not
// acknowledged any message sent within answerLeaseTTL. While this holds for fewer than DeclareQuorum members, the home
// is not gone. A member that was never sent a message does not know this incarnation and cannot promise.
type AnswerLease struct {
	mu sync.Mutex
	// acked holds the send time of the last acknowledged message, or of the first message if none was acknowledged.
	acked map[string]time.Time
}

// NewAnswerLease returns the lease of a home that no member knows yet.
func NewAnswerLease() *AnswerLease { return &AnswerLease{acked: make(map[string]time.Time)} }

// Sent records that a message is about to be sent to a member, which may receive it even if its acknowledgement is
// lost.
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

// Holds reports whether this home may give final answers; members are the other listed members of its failure domain.
func (l *AnswerLease) Holds(members []string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := 0
	for _, vm := range members {
		if sent, ok := l.acked[vm]; ok && now.Sub(sent) > answerLeaseTTL {
			silent++
		}
	}
	return silent < DeclareQuorum(len(members)+1)
}
