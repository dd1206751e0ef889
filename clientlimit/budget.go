package clientlimit

import (
	"sync"
	"time"
)

// Budget is what the requests of all clients may hold. mu guards the fields below it.
type Budget struct {
	mu   sync.Mutex
	free int64
	// grown is closed and replaced when bytes are given back.
	grown chan struct{}
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget { return &Budget{free: bytes, grown: make(chan struct{})} }

// take reserves bytes, or reports that there are not as many left.
func (b *Budget) take(bytes int64) bool {
	taken, _ := b.tryTake(bytes)
	return taken
}

// takeWithin reserves bytes as soon as there are as many left, or reports that there were not within a time.
func (b *Budget) takeWithin(bytes int64, timeout time.Duration) bool {
	taken, grown := b.tryTake(bytes)
	if taken {
		return true
	}
	end := time.NewTimer(timeout)
	defer end.Stop()
	for !taken {
		select {
		case <-grown:
			taken, grown = b.tryTake(bytes)
		case <-end.C:
			return false
		}
	}
	return true
}

// tryTake reserves bytes if there are as many left. grown is closed when there are more.
func (b *Budget) tryTake(bytes int64) (taken bool, grown <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > b.free {
		return false, b.grown
	}
	b.free -= bytes
	return true, nil
}

// giveBack returns bytes that were taken.
func (b *Budget) giveBack(bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
	close(b.grown)
	b.grown = make(chan struct{})
}

// TaskRoom is the number of tasks that all accepted jobs together may still have.
type TaskRoom struct{ budget *Budget }

// Take reserves room for the tasks of a job, or reports that there is not enough left.
func (r TaskRoom) Take(tasks int) bool { return r.budget.take(int64(tasks)) }

// GiveBack returns the room of a job that has been answered.
func (r TaskRoom) GiveBack(tasks int) { r.budget.giveBack(int64(tasks)) }
