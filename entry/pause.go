package entry

import (
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

// pauseThreshold is the time between ticks above which the process counts as paused. Ticks come every 10 ms; after a
// pause of GrantTTL a grant may have been given to another member.
const pauseThreshold = time.Second

// pauseDetector detects that the process was paused. mu guards all fields.
type pauseDetector struct {
	mu   sync.Mutex
	last time.Time
	// stale is set while grants from before a pause are still held.
	stale bool
}

// observe records that the process runs and reports whether grants from before a pause are still held. After a pause it
// calls onPause before any other caller can proceed.
func (p *pauseDetector) observe(now time.Time, onPause func(paused time.Duration)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if paused := now.Sub(p.last); !p.last.IsZero() && paused > pauseThreshold {
		p.stale = true
		onPause(paused)
	}
	p.last = now
	return p.stale
}

// grantsDropped records that all grants from before a pause have been dropped.
func (p *pauseDetector) grantsDropped() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = false
}

// checkPause drops the idle grants of a process that was paused. It is called before messages and ticks are handled.
// Starts decided before the pause carry a start-by time, which the worker checks against its own clock.
func (d *Daemon) checkPause() {
	if !d.pauseDetector.observe(d.o.Now(), d.fenceAfterPause) {
		return
	}
	d.timeline.Record(timeline.Event{Kind: timeline.ProcessPaused})
	d.o.Logger.Warn("process was paused; dropping idle grants", "vm", d.o.VM.ID)
	d.dispatcher.ReturnIdle()
	d.pauseDetector.grantsDropped()
}

// fenceAfterPause fences the incarnation after a pause of SilenceLimit or longer: the members that counted it as gone
// may have been replaced in the meantime, so that no remaining member refuses it.
func (d *Daemon) fenceAfterPause(paused time.Duration) {
	if paused >= zone.SilenceLimit && len(d.domain.Listed()) > 0 {
		d.fence("the process was paused for " + paused.String())
	}
}

// mayStart reports whether this home may start tasks: only while the others cannot count it as gone. A home that was
// paused or cut off must not start tasks of jobs that others have reported as lost. It is called with the lock of a
// service scheduler held.
func (d *Daemon) mayStart() bool {
	now := d.o.Now()
	return !d.pauseDetector.observe(now, d.fenceAfterPause) && !d.fenced.Load() && d.lease.Holds(d.domain.Listed(), now)
}
