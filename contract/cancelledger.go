package contract

import (
	"sync"
	"time"
)

const (
	// CancelRetention is how long a cancel is remembered: copies of a job may arrive seconds after it.
	CancelRetention = 60 * time.Second
	// maxCancels bounds the ledger; the oldest cancels are dropped first.
	maxCancels = 20_000
)

// JobCancel is the cancel of a job by a caller.
type JobCancel struct {
	Job string
	At  time.Time
}

// CancelLedger records the cancelled jobs that this VM has seen or been told of. All members keep one, so that a cancel
// reaches a job wherever it runs, and copies of the job that arrive later. mu guards the fields below it.
type CancelLedger struct {
	mu sync.Mutex
	at map[string]time.Time
	// order holds the cancels in the order in which they were recorded.
	order []JobCancel
}

// NewCancelLedger returns an empty ledger.
func NewCancelLedger() *CancelLedger { return &CancelLedger{at: make(map[string]time.Time)} }

// Record adds a cancel. It reports whether the job was not known to be cancelled.
func (l *CancelLedger) Record(c JobCancel, now time.Time) bool {
	if now.Sub(c.At) > CancelRetention {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.at[c.Job]; ok {
		return false
	}
	l.at[c.Job] = c.At
	l.order = append(l.order, c)
	for len(l.order) > maxCancels {
		l.dropOldest()
	}
	return true
}

// Cancelled reports whether a job has been cancelled.
func (l *CancelLedger) Cancelled(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.at[job]
	return ok
}

// Expire drops the cancels that no longer count. One that was recorded late may stay until those before it expire.
func (l *CancelLedger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.order) > 0 && now.Sub(l.order[0].At) > CancelRetention {
		l.dropOldest()
	}
}

// Recent returns the cancels since a time, the first recorded first.
func (l *CancelLedger) Recent(since time.Time) []JobCancel {
	l.mu.Lock()
	defer l.mu.Unlock()
	var recent []JobCancel
	for _, c := range l.order {
		if !c.At.Before(since) {
			recent = append(recent, c)
		}
	}
	return recent
}

// dropOldest expects l.mu to be held.
func (l *CancelLedger) dropOldest() {
	delete(l.at, l.order[0].Job)
	l.order[0] = JobCancel{}
	l.order = l.order[1:]
}
