package link

import "github.com/cicadadale/cicadadale/machine"

// InFlight reports whether starts to a worker wait for their replies. Status reports show whether they still run, so
// that such a worker has to be asked often.
func (l *Workers) InFlight(id machine.WorkerID) bool {
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
