// Package dispatch joins waiting tasks with slots, starts them on workers and resolves starts whose outcome is in
// doubt.
package dispatch
