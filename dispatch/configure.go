package dispatch

import "github.com/cicadadale/cicadadale/backend"

// Configure adds a service or replaces the request kinds of an existing one. Waiting tasks and observed run times are
// kept.
func (d *Dispatcher) Configure(name string, kinds []backend.KindSpec) {
	if sched, ok := d.scheduler(name); ok {
		sched.Service().Redeclare(kinds)
		return
	}
	d.AddService(backend.NewService(name, kinds))
}
