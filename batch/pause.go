package batch

import (
	"sync"
	"time"
)

const (
	// pauseLimit is the time between ticks from which the process counts as paused. A caller submits its job again 1.3 s
	// after its connection breaks, so after a shorter pause the home still has time to notice the broken connection. On a
	// slow VM ticks are up to 600 ms apart, which is no pause.
	pauseLimit = time.Second
	// pauseRecovery is the time after a pause in which no run is ordered: what arrived during the pause is handled first,
	// such as the ends of callers' connections.
	pauseRecovery = 100 * time.Millisecond
	// stallLimit is the time between ticks from which acknowledgements of other members may wait to be read, stallRecovery the
	// time in which they are.
	stallLimit    = 200 * time.Millisecond
	stallRecovery = 200 * time.Millisecond
)

// pauseDetector finds out that the process has been paused, or was so slow that its view of the callers is old. mu guards
// the fields below it.
type pauseDetector struct {
	mu sync.Mutex
	pauseState
}

// pauseState is what a pauseDetector knows.
type pauseState struct {
	lastTick     time.Time
	resumesAt    time.Time
	stalledUntil time.Time
}

func (d *pauseDetector) get() pauseState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauseState
}

func (d *pauseDetector) set(s pauseState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pauseState = s
}

// tick records that the process runs. It returns the length of the pause that ends now, zero if there was none.
func (d *pauseDetector) tick(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastTick)
	d.lastTick = now
	if gap > stallLimit {
		d.stalledUntil = now.Add(stallRecovery)
	}
	if gap <= pauseLimit {
		return 0
	}
	d.resumesAt = now.Add(pauseRecovery)
	return gap
}

// paused reports whether the process has just been paused, so that its callers may have left without its notice.
func (d *pauseDetector) paused(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastTick) > pauseLimit || now.Before(d.resumesAt)
}

// stalled reports whether the process runs so slowly, or has just been paused, that its last contact with the other members
// may be newer than it knows.
func (d *pauseDetector) stalled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastTick) > stallLimit || now.Before(d.stalledUntil)
}
