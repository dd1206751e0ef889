// Package bootclock provides a clock that continues while the machine is suspended. The monotonic clock of Go stops
// during a suspension, so a message received before it would be treated as recent after it.
package bootclock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the drift between the wall clock and the monotonic clock up to which Now does not check for a
// suspension. It covers the adjustment of the wall clock and the rounding of both.
const tolerance = 10 * time.Millisecond

// Clock is a clock that includes suspensions. Its times may only be compared with each other.
type Clock struct {
	begin time.Time
	// suspended is how long the machine has been suspended since begin; wallLead is how far the wall clock was ahead of
	// the monotonic clock when suspended was last updated. Both are in nanoseconds.
	suspended, wallLead atomic.Int64

	// mu serializes updates of suspended and wallLead.
	mu sync.Mutex
	// initialLag is the lag that readLag returned at begin.
	initialLag time.Duration
	// readLag returns how far the monotonic clock is behind the clock that includes suspensions.
	readLag func() time.Duration
}

// New returns a clock that starts at the current time.
func New() *Clock { return newClock(systemLag) }

func newClock(readLag func() time.Duration) *Clock {
	return &Clock{begin: time.Now(), initialLag: readLag(), readLag: readLag}
}

// Now returns the time. It costs more than time.Now only after a suspension or a step of the wall clock.
func (c *Clock) Now() time.Time {
	now := time.Now()
	return c.at(now.Sub(c.begin), now.Round(0).Sub(c.begin.Round(0)))
}

// at returns the time, given how far the monotonic and the wall clock have advanced since begin.
func (c *Clock) at(monotonic, wall time.Duration) time.Time {
	wallLead := wall - monotonic
	if d := wallLead - time.Duration(c.wallLead.Load()); d > tolerance || d < -tolerance {
		c.update(wallLead)
	}
	return c.begin.Add(monotonic + time.Duration(c.suspended.Load()))
}

// update reads from the operating system how long the machine has been suspended.
func (c *Clock) update(wallLead time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended.Store(int64(max(c.readLag()-c.initialLag, 0)))
	c.wallLead.Store(int64(wallLead))
}

// systemLag returns how far CLOCK_MONOTONIC is behind CLOCK_BOOTTIME.
func systemLag() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		// Without both clocks a suspension cannot be detected.
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
