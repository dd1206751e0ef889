package dispatch

import "github.com/cicadadale/cicadadale/backend"

// Configure makes a service available or changes the declarations of one that is. Waiting tasks and learned run times
// stay.
func (d *Dispatcher) Configure(name string, kinds []backend.KindSpec) {
	if l, ok := d.lane(name); ok {
		l.Service().Redeclare(kinds)
		return
	}
	d.AddService(backend.NewService(name, kinds))
}
