package contract

import "github.com/cicadadale/cicadadale/machine"

// FreeGap is the free capacity of one worker, to which an owner invites waiting runs of others.
type FreeGap struct {
	Free machine.Resources
	// Speed is relative to the mean of the back end.
	Speed  float64
	Labels []string
	// Tasks is the largest number of runs that the owner wants for this worker.
	Tasks int
}

// Holds reports whether a task of that size that requires the label, if any, fits into the gap.
func (g FreeGap) Holds(need machine.Resources, label string) bool {
	return machine.Listing{Capacity: g.Free, Labels: g.Labels}.CanHold(need, label)
}

// Less returns the gap without the resources of one run.
func (g FreeGap) Less(need machine.Resources) FreeGap {
	g.Free = g.Free.Minus(need)
	g.Tasks--
	return g
}
