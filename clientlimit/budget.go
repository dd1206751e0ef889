package clientlimit

import "sync"

// Budget is what the requests of all clients may hold. mu guards the field below it.
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
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
}

// TaskRoom is the number of tasks that all accepted jobs together may still have.
type TaskRoom struct{ budget *Budget }

// Take reserves room for the tasks of a job, or reports that there is not enough left.
func (r TaskRoom) Take(tasks int) bool { return r.budget.take(int64(tasks)) }

// GiveBack returns the room of a job that has been answered.
func (r TaskRoom) GiveBack(tasks int) { r.budget.giveBack(int64(tasks)) }
