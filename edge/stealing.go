package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// maxInvited is the number of owners to which the same free capacity is offered: one of them often has nothing that fits. Runs
	// that both give up for it wait here for the next free capacity.
	maxInvited = 2
	// maxInvitationAge is the age from which an invitation is dropped. It counts from the newest timestamp that the sender had,
	// which is up to a status interval old.
	maxInvitationAge = 500 * time.Millisecond
)

// roomCallback returns what the pool of a back end calls when its workers may have free capacity; nil if runs are not taken from
// other owners.
func (d *Daemon) roomCallback(backend string) func() {
	if !d.o.Overload.Steal {
		return nil
	}
	return func() { d.invite(backend) }
}

// invite offers the free capacity of the own workers of a back end to owners at which runs wait.
func (d *Daemon) invite(backend string) {
	owners := d.capacity.LoadedOwners(backend, maxInvited)
	if len(owners) == 0 {
		return
	}
	gaps := d.pool(backend).Offer()
	if len(gaps) == 0 {
		return
	}
	now := d.o.Now()
	for _, owner := range owners {
		d.capacity.RecordInvitation(owner, backend)
		metrics.GetOrRegisterCounter(metric.PoolInvitationsSent, d.o.Metrics).Inc(1)
		d.members.Send(owner, &api.PeerMessage{Body: &api.PeerMessage_TaskInvitation{TaskInvitation: &api.TaskInvitation{
			Backend: backend, Gaps: encodeGaps(gaps), StampMs: d.members.LastContact(owner, now).Timestamp,
		}}})
	}
}

// inviteWaiting offers free capacity after the status of an owner has shown that runs wait there.
func (d *Daemon) inviteWaiting(capacities map[string]zone.BackendCapacity) {
	if !d.o.Overload.Steal {
		return
	}
	pools := d.allPools()
	for backend, c := range capacities {
		if pools[backend] != nil && c.Waiting != [zone.Priorities]time.Duration{} {
			d.invite(backend)
		}
	}
}

// handleInvitation gives up queued runs that another owner can start now. An invitation that has been delayed is dropped, since
// the capacity that it offers is gone.
func (d *Daemon) handleInvitation(id string, m *api.TaskInvitation) {
	if !d.o.Overload.Steal {
		return
	}
	if d.o.Now().Sub(d.sentAt(m.GetStampMs())) > maxInvitationAge {
		metrics.GetOrRegisterCounter(metric.PoolInvitationsLate, d.o.Metrics).Inc(1)
		return
	}
	if p := d.allPools()[m.GetBackend()]; p != nil {
		p.GiveUp(id, decodeGaps(m.GetGaps()))
	}
}

func encodeGaps(gaps []contract.FreeGap) []*api.FreeGap {
	list := make([]*api.FreeGap, len(gaps))
	for i, g := range gaps {
		list[i] = &api.FreeGap{
			CpuMillis: clamp(g.Free.CPUMillis), MemoryMb: clamp(g.Free.MemoryMB), Gpus: clamp(g.Free.GPUs),
			SpeedPercent: clamp(int(g.Speed * 100)), Labels: g.Labels, Tasks: clamp(g.Tasks),
		}
	}
	return list
}

func decodeGaps(list []*api.FreeGap) []contract.FreeGap {
	gaps := make([]contract.FreeGap, len(list))
	for i, g := range list {
		gaps[i] = contract.FreeGap{
			Free: machine.Resources{
				CPUMillis: int(g.GetCpuMillis()), MemoryMB: int(g.GetMemoryMb()), GPUs: int(g.GetGpus()),
			},
			Speed: float64(g.GetSpeedPercent()) / 100, Labels: g.GetLabels(), Tasks: int(g.GetTasks()),
		}
	}
	return gaps
}
