package machine

import "slices"

// Resources is what a task needs of a worker, or what a worker has.
type Resources struct {
	CPUMillis int
	MemoryMB  int
	GPUs      int
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUMillis <= r.CPUMillis && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPUMillis: r.CPUMillis + o.CPUMillis, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns what is left of r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPUMillis: r.CPUMillis - o.CPUMillis, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Listing is an entry of the platform's list of workers: one life of a worker.
type Listing struct {
	Worker  string
	Backend string
	Address string
	Zone    string
	// Born is the start of this life; a worker that starts again under its name has another one.
	Born     int64
	Capacity Resources
	Labels   []string
	Draining bool
}

// CanHold reports whether the worker can run a task of that size while it is idle.
func (l Listing) CanHold(need Resources, label string) bool {
	return l.Capacity.Fits(need) && (label == "" || l.HasLabel(label))
}

// HasLabel reports whether the worker has a label.
func (l Listing) HasLabel(label string) bool { return slices.Contains(l.Labels, label) }

// Equal reports whether two entries say the same.
func (l Listing) Equal(o Listing) bool {
	return l.Worker == o.Worker && l.Backend == o.Backend && l.Address == o.Address && l.Zone == o.Zone &&
		l.Born == o.Born && l.Capacity == o.Capacity && l.Draining == o.Draining && slices.Equal(l.Labels, o.Labels)
}
