package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/contract"
)

const (
	// retryDelay is the delay before a task whose start was rejected is queued again; it doubles with each rejection of
	// the task, up to retryLimit.
	retryDelay = 5 * time.Millisecond
	retryLimit = time.Second
	// retryShare is the number of retry tokens that each start earns; retryBurst is the maximum number of tokens.
	retryShare = 0.1
	retryBurst = 50
	// retryAttempts is the minimum number of rejections before a task whose deadline has passed is failed as not run.
	retryAttempts = 8
)

// RetryBudget is a token bucket that limits fast retries of rejected starts to a share of all starts. mu guards all
// fields.
type RetryBudget struct {
	mu          sync.Mutex
	tokens      float64
	initialised bool
}

// Earn adds the tokens that one start earns.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Delay returns the delay before the given attempt (1 for the first retry). jitter is between 0 and 1. If the budget is
// exhausted, the maximum delay applies: accepted work is delayed, not dropped.
func (b *RetryBudget) Delay(attempt int, jitter float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	delay := retryLimit
	if b.tokens >= 1 {
		b.tokens--
		delay = min(retryLimit, retryDelay<<min(attempt-1, 10))
	}
	return time.Duration(float64(delay) * (0.5 + jitter/2))
}

// init fills the bucket on first use. It expects b.mu to be held.
func (b *RetryBudget) init() {
	if !b.initialised {
		b.initialised, b.tokens = true, retryBurst
	}
}

// jitter returns a random number between 0 and 1.
func jitter() float64 { return rand.Float64() }

// failExpired counts a rejected attempt of a task. If the task has been rejected retryAttempts times and its deadline
// has passed, it is finished as not run.
func (d *Dispatcher) failExpired(a *Assignment, now time.Time) bool {
	a.Item.Attempts++
	if a.Item.Attempts < retryAttempts || now.Before(a.Item.Deadline) {
		return false
	}
	d.counters.notRun.Inc(1)
	report := contract.TaskReport{Outcome: contract.OutcomeNotRun, Detail: "no worker accepted the start"}
	d.o.Table.Finish(a.Item.Task, report, nil, now)
	return true
}
