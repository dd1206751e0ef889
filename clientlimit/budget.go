package clientlimit

import "sync"

// Budget is what the requests of all clients may hold. mu guards free.
type Budget struct {
	mu   sync.Mutex
	free int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{free: bytes} }

// take reserves bytes, or reports that there are not as many left.
func (b *Budget) take(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.free {
		return false
	}
	b.free -= bytes
	return true
}

// giveBack returns bytes that were taken.
func (b *Budget) giveBack(bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
}
