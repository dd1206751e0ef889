// Package bootclock tells a time that goes on while the machine is suspended. The steady clock of the operating system, by
// which Go measures, stands still meanwhile: what was heard before a suspension would count as fresh after it.
package bootclock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the difference between the courses of the time of day and the steady clock up to which no suspension is
// looked for. It covers the adjustment of the time of day and the rounding of both.
const tolerance = 10 * time.Millisecond

// Clock is a clock that counts suspensions. Its times are compared with each other only.
type Clock struct {
	begin time.Time
	// stood is how long the machine has been suspended since begin, lead how far the time of day was ahead of the steady
	// clock when that was last looked up. Both are in nanoseconds.
	stood, lead atomic.Int64

	// mu is held while stood and lead are looked up.
	mu    sync.Mutex
	first time.Duration
	// read returns the steady clock's lag behind the clock that counts suspensions.
	read func() time.Duration
}

// New returns a clock.
func New() *Clock { return newClock(systemLag) }

func newClock(read func() time.Duration) *Clock {
	return &Clock{begin: time.Now(), first: read(), read: read}
}

// Now returns the time. Only a suspension, or a step of the time of day, costs more than a call of time.Now.
func (c *Clock) Now() time.Time {
	now := time.Now()
	return c.at(now.Sub(c.begin), now.Round(0).Sub(c.begin.Round(0)))
}

// at returns the time when the steady clock and the time of day have advanced so far since begin.
func (c *Clock) at(steady, wall time.Duration) time.Time {
	lead := wall - steady
	if d := lead - time.Duration(c.lead.Load()); d > tolerance || d < -tolerance {
		c.lookUp(lead)
	}
	return c.begin.Add(steady + time.Duration(c.stood.Load()))
}

// lookUp asks the operating system how long the machine has been suspended.
func (c *Clock) lookUp(lead time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stood.Store(int64(max(c.read()-c.first, 0)))
	c.lead.Store(int64(lead))
}

// systemLag returns how far CLOCK_MONOTONIC is behind CLOCK_BOOTTIME.
func systemLag() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Without the second clock there is no sign of a suspension.
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
