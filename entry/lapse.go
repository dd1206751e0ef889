package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/timeline"
)

// lapseLimit is the time between ticks beyond which the process counts as paused. Ticks come every 10 ms; a grant may
// have been given to another member once GrantTTL has passed.
const lapseLimit = time.Second

// lapse notices that the process was paused. Its mutex guards all fields.
type lapse struct {
	mu   sync.Mutex
	last time.Time
}

// resumed records a sign of life and reports whether the process was paused before it.
func (l *lapse) resumed(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	paused := !l.last.IsZero() && now.Sub(l.last) > lapseLimit
	l.last = now
	return paused
}

// checkLapse drops the idle grants of a process that was paused. It is called before messages and ticks are handled.
// Starts that were decided before the pause carry a start-by time that the worker checks on its own clock.
func (d *Daemon) checkLapse() {
	if d.lapse.resumed(d.o.Now()) {
		d.timeline.Record(timeline.Event{Kind: timeline.ProcessPaused})
		d.o.Logger.Warn("process was paused; idle grants are dropped", "vm", d.o.VM.ID)
		d.dispatcher.DropIdle()
	}
}
