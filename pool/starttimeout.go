package pool

import (
	"math"
	"time"
)

const (
	// minStartTimeout is the shortest timeout of a start call, many round trips between failure domains.
	minStartTimeout = 40 * time.Millisecond
	// startDeviations is the number of mean deviations from the mean call time after which a start counts as unanswered.
	startDeviations = 8
	// callWeight is the weight of a call in the moving averages.
	callWeight = 0.05
	// maxTimeoutDoublings is the number of doublings that take minStartTimeout beyond startTimeout.
	maxTimeoutDoublings = 2
)

// callTimes holds moving averages of how long workers take to answer starts, as seen by this VM. The lock of the pool guards it.
type callTimes struct {
	mean, deviation float64
	known           bool
	// unanswered is the number of starts that got no reply since the last answered one, up to maxTimeoutDoublings.
	unanswered int
}

// record adds an answered call.
func (c *callTimes) record(took time.Duration) {
	t := took.Seconds()
	c.unanswered = 0
	if !c.known {
		// A first deviation of half of the time makes the timeout long until there are more calls.
		c.mean, c.deviation, c.known = t, t/2, true
		return
	}
	c.deviation += callWeight * (math.Abs(t-c.mean) - c.deviation)
	c.mean += callWeight * (t - c.mean)
}

// recordUnanswered adds a call without a reply. How long its answer would have taken is unknown, so it does not change the averages.
func (c *callTimes) recordUnanswered() { c.unanswered = min(c.unanswered+1, maxTimeoutDoublings) }

// startTimeout returns how long to wait for the answer to a start. After it a poll tells whether the run has started, and if not
// the start is repeated, so a short timeout saves time that the job has to its target. On a busy VM answers are read late, and a
// timeout that ends calls which the worker has answered would only add more calls. Starts without a reply
// double it until one is answered: if all answers have become slower than the averages say, none would be recorded otherwise.
func (c *callTimes) startTimeout() time.Duration {
	if !c.known {
		return startTimeout
	}
	t := time.Duration((c.mean + startDeviations*c.deviation) * float64(time.Second))
	return min(max(t, minStartTimeout)<<c.unanswered, startTimeout)
}

// startTimeout returns the timeout of a start call made now.
func (p *Pool) startTimeout() time.Duration {
	if !p.o.AdaptStartTimeout {
		return startTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callTimes.startTimeout()
}
