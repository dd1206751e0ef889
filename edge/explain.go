package edge

import (
	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/zone"
)

// Explain returns what the home of this process would decide on a job now. Like SubmitFrom, it shortens the deadline of a job while
// the process is stopping. It changes nothing.
func (d *Daemon) Explain(b contract.Batch) batch.Explanation {
	d.limitDeadline(&b)
	return d.home.Explain(b)
}

// Owners returns the owners of workers of a back end as this process knows them, those first at which a task of that priority is
// expected to start first.
func (d *Daemon) Owners(backend string, priority int) []zone.OwnerCapacity {
	return d.capacity.Owners(backend, priority)
}

// DesiredVersion returns the version of the desired state in effect, zero if there is none.
func (d *Daemon) DesiredVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desired.Version
}
