package zone

import (
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// ReclassifyAsLong reclassifies a member's short slot as long, because its task has exceeded the short-task limit. The cap on
// long work then admits fewer new long tasks.
func (g *SlotAllocator) ReclassifyAsLong(member string, worker machine.WorkerID, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.workers[worker]
	if !ok {
		return
	}
	h := w.held[member]
	if h.Short == 0 {
		return
	}
	g.setHeld(w, member, Count{Short: h.Short - 1, Long: h.Long + 1}, now)
}
