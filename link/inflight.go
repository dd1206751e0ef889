package link

import "github.com/cicadadale/cicadadale/machine"

// HasStartsInFlight reports whether any start to a worker is waiting for its reply. Such a worker must be polled
// often, since its status reports show whether these tasks are still running.
func (l *Workers) HasStartsInFlight(id machine.WorkerID) bool {
	l.mu.RLock()
	w, ok := l.links[id]
	l.mu.RUnlock()
	if !ok {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inFlight) > 0
}
