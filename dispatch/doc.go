// Package dispatch matches waiting tasks with worker slots, starts the tasks on workers and resolves starts whose
// outcome is in doubt.
package dispatch
