package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

// lapseLimit is the time between ticks beyond which the process counts as paused. Ticks come every 10 ms; a grant may
// have been given to another member once GrantTTL has passed.
const lapseLimit = time.Second

// lapse notices that the process was paused. Its mutex guards all fields.
type lapse struct {
	mu   sync.Mutex
	last time.Time
	// stale says that grants from before a pause are still held.
	stale bool
}

// alive records a sign of life and reports whether grants from before a pause are still held. After a pause it calls
// notice before any other caller can pass.
func (l *lapse) alive(now time.Time, notice func(paused time.Duration)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if paused := now.Sub(l.last); !l.last.IsZero() && paused > lapseLimit {
		l.stale = true
		notice(paused)
	}
	l.last = now
	return l.stale
}

// dropped records that no grant from before a pause is left.
func (l *lapse) dropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = false
}

// checkLapse drops the idle grants of a process that was paused. It is called before messages and ticks are handled.
// Starts that were decided before the pause carry a start-by time that the worker checks on its own clock.
func (d *Daemon) checkLapse() {
	if !d.lapse.alive(d.o.Now(), d.resumed) {
		return
	}
	d.timeline.Record(timeline.Event{Kind: timeline.ProcessPaused})
	d.o.Logger.Warn("process was paused; idle grants are dropped", "vm", d.o.VM.ID)
	d.dispatcher.DropIdle()
	d.lapse.dropped()
}

// resumed ends the incarnation of a process that was paused for SilenceLimit: the members that counted it as gone may
// have been replaced meanwhile, so that nobody who is left refuses it.
func (d *Daemon) resumed(paused time.Duration) {
	if paused >= zone.SilenceLimit && len(d.domain.Listed()) > 0 {
		d.fence("the process was paused for " + paused.String())
	}
}

// mayStart reports whether the others cannot count this home as gone. A home that was paused or cut off must not start
// tasks of jobs that others have answered as lost. It is called with the lock of a lane held.
func (d *Daemon) mayStart() bool {
	now := d.o.Now()
	return !d.lapse.alive(now, d.resumed) && !d.fenced.Load() && d.lease.Holds(d.domain.Listed(), now)
}
