package timeline

import "sync/atomic"

// Clock is the Lamport clock of a process. Envelopes and start calls carry its time to other processes.
type Clock struct {
	time atomic.Uint64
}

// Tick advances the clock and returns the new time, which is unique within the process.
func (c *Clock) Tick() uint64 { return c.time.Add(1) }

// Observe advances the clock to the time of a message from another process, if that is later.
func (c *Clock) Observe(remote uint64) {
	for {
		local := c.time.Load()
		if remote <= local || c.time.CompareAndSwap(local, remote) {
			return
		}
	}
}

// Time returns the current time without advancing it.
func (c *Clock) Time() uint64 { return c.time.Load() }
