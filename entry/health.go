package entry

import (
	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
)

// healthChanged updates the slots offered to the allocators, and warns the other members of the failure domain of a
// quarantined worker.
func (d *Daemon) healthChanged(id machine.WorkerID, state machine.HealthState) {
	d.slots.reassign()
	w, ok := d.fleet.Get(id)
	if !ok || state != machine.Quarantined {
		return
	}
	d.peers.broadcast(&api.PeerMessage{Body: &api.PeerMessage_WorkerWarning{WorkerWarning: &api.WorkerWarning{
		Worker: string(id), WorkerIncarnation: uint64(w.Incarnation()),
	}}})
}

// applyWarning applies another member's warning of a quarantined worker.
func (d *Daemon) applyWarning(m *api.WorkerWarning) {
	w, ok := d.fleet.Get(machine.WorkerID(m.GetWorker()))
	if ok && w.Warn(machine.Incarnation(m.GetWorkerIncarnation()), d.o.Now()) {
		d.slots.reassign()
	}
}
