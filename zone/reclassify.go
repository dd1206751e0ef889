package zone

import (
	"time"

	"github.com/cicadadale/cicadadale/machine"
)

// ReclassifyAsLong reclassifies a member's short slot as long, because its task has exceeded the short-task limit. The
// cap on long work then admits fewer new long tasks.
func (a *SlotAllocator) ReclassifyAsLong(member string, worker machine.WorkerID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.workers[worker]
	if !ok {
		return
	}
	h := w.held[member]
	if h.Short == 0 {
		return
	}
	a.setHeld(w, member, Count{Short: h.Short - 1, Long: h.Long + 1}, now)
}
