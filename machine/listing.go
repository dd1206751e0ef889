package machine

import "slices"

// Resources is the amount that a task needs of a worker, or that a worker has.
type Resources struct {
	CPUMillis int
	MemoryMB  int
	GPUs      int
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUMillis <= r.CPUMillis && need.MemoryMB <= r.MemoryMB && need.GPUs <= r.GPUs
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPUMillis: r.CPUMillis + o.CPUMillis, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPUMillis: r.CPUMillis - o.CPUMillis, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Max returns the larger of each amount of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		CPUMillis: max(r.CPUMillis, o.CPUMillis), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPUs: max(r.GPUs, o.GPUs),
	}
}

// Min returns the smaller of each amount of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		CPUMillis: min(r.CPUMillis, o.CPUMillis), MemoryMB: min(r.MemoryMB, o.MemoryMB), GPUs: min(r.GPUs, o.GPUs),
	}
}

// Listing is an entry of the platform's list of workers. It describes one incarnation of a worker.
type Listing struct {
	Worker  string
	Backend string
	Address string
	Zone    string
	// StartTime is the start time of this incarnation in Unix milliseconds. A worker that restarts under the same name
	// has another one.
	StartTime int64
	// Sequence numbers the entries of an incarnation; zero if it is not known.
	Sequence int64
	Capacity Resources
	Labels   []string
	Draining bool
}

// CanHold reports whether the worker, when idle, can run a task of that size that requires the label, if any.
func (l Listing) CanHold(need Resources, label string) bool {
	return l.Capacity.Fits(need) && (label == "" || l.HasLabel(label))
}

// HasLabel reports whether the worker has the label.
func (l Listing) HasLabel(label string) bool { return slices.Contains(l.Labels, label) }

// Equal reports whether both entries have the same content; their sequence numbers do not count.
func (l Listing) Equal(o Listing) bool {
	return l.Worker == o.Worker && l.Backend == o.Backend && l.Address == o.Address && l.Zone == o.Zone &&
		l.StartTime == o.StartTime && l.Capacity == o.Capacity && l.Draining == o.Draining && slices.Equal(l.Labels, o.Labels)
}
