package clientlimit

import "sync"

// TaskRoom is the number of tasks that all accepted jobs together may still have. mu guards the field below it.
type TaskRoom struct {
	mu   sync.Mutex
	free int
}

// NewTaskRoom returns the room for a number of tasks.
func NewTaskRoom(tasks int) *TaskRoom { return &TaskRoom{free: tasks} }

// Take reserves room for the tasks of a job, or reports that there is not enough left.
func (r *TaskRoom) Take(tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tasks > r.free {
		return false
	}
	r.free -= tasks
	return true
}

// GiveBack returns the room of a job that has been answered.
func (r *TaskRoom) GiveBack(tasks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += tasks
}
