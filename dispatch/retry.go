package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// retryDelay is the pause before a task whose start was rejected is queued again; it doubles with each rejection
	// of the task up to retryLimit.
	retryDelay = 5 * time.Millisecond
	retryLimit = time.Second
	// retryShare is the number of retries that each start earns, retryBurst the number that may be saved up.
	retryShare = 0.1
	retryBurst = 50
	// retryAttempts is the number of rejections after which a task whose deadline has passed is given up.
	retryAttempts = 8
)

// RetryBudget bounds the repeated placement of rejected starts to a share of all starts. Its mutex guards all fields.
type RetryBudget struct {
	mu     sync.Mutex
	saved  float64
	primed bool
}

// Earn records a start.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prime()
	b.saved = min(retryBurst, b.saved+retryShare)
}

// Delay returns the pause before the given attempt (1 for the first retry). Jitter is between 0 and 1. When the budget
// is used up, the pause is the longest one: accepted work is delayed, not dropped.
func (b *RetryBudget) Delay(attempt int, jitter float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prime()
	delay := retryLimit
	if b.saved >= 1 {
		b.saved--
		delay = min(retryLimit, retryDelay<<min(attempt-1, 10))
	}
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}

// prime expects b.mu to be held.
func (b *RetryBudget) prime() {
	if !b.primed {
		b.primed, b.saved = true, retryBurst
	}
}

// jitter returns a random number between 0 and 1.
func jitter() float64 { return rand.Float64() }

// giveUp finishes a task as not run that no worker has accepted for long and whose deadline has passed.
func (d *Dispatcher) giveUp(a *Assignment, now time.Time) bool {
	a.Item.Attempts++
	if a.Item.Attempts < retryAttempts || now.Before(a.Item.Deadline) {
		return false
	}
	d.counters.notRun.Inc(1)
	report := contract.TaskReport{Outcome: contract.OutcomeNotRun, Detail: "no worker accepted the start"}
	d.o.Table.Finish(a.Item.Task, report, nil, now)
	return true
}
