package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

// refreshList reads and applies the platform's VM list. If the list is unavailable, nothing changes.
func (d *Daemon) refreshList(ctx context.Context) {
	vms, err := d.o.List.List(ctx)
	if err != nil {
		return
	}
	now := d.o.Now()
	d.peers.applyList(vms)
	listed := make(map[string]bool, len(vms))
	for _, l := range platform.EntryListings(vms) {
		listed[l.VM.ID] = listed[l.VM.ID] || l.Domain == d.o.Domain
	}
	d.homes.ApplyList(listed, now)
	if d.wasListed.Load() && !listed[d.o.VM.ID] {
		d.fence("this entry VM was removed from the list")
	}
	d.wasListed.Store(listed[d.o.VM.ID])
	d.applyChanges(d.domain.ApplyList(platform.EntryListings(vms), now))
	d.applyWorkers(platform.WorkerSpecs(vms, d.o.Domain))
	d.slots.reassign()
}

// listedMembers returns the other entry VMs of the failure domain, with those that the VM list has gained since it was
// last applied.
func (d *Daemon) listedMembers(ctx context.Context) ([]string, error) {
	members := d.domain.Listed()
	if d.o.List == nil {
		return members, nil
	}
	vms, err := d.o.List.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, l := range platform.EntryListings(vms) {
		if l.Domain == d.o.Domain && l.VM.ID != d.o.VM.ID {
			members = append(members, l.VM.ID)
		}
	}
	return members, nil
}

func (d *Daemon) applyWorkers(specs []machine.WorkerSpec) {
	listed := make(map[machine.WorkerID]bool, len(specs))
	for _, s := range specs {
		listed[s.ID] = true
		if _, fresh := d.fleet.Upsert(s); fresh {
			d.recordWorker(timeline.WorkerListed, s.ID)
		}
	}
	for _, w := range d.fleet.All() {
		if id := w.Spec().ID; !listed[id] {
			d.fleet.Remove(id)
			d.workers.Forget(id)
			d.recordWorker(timeline.WorkerDropped, id)
		}
	}
}

// pollRoundTimeout bounds the wait for a round of status polls. The call to a worker that does not reply continues in
// its own goroutine and does not delay the others.
const pollRoundTimeout = 250 * time.Millisecond

// pollWorkers polls the workers that are due in this round concurrently.
func (d *Daemon) pollWorkers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, w := range d.duePolls() {
		wg.Go(func() {
			// A worker that does not reply keeps its last status; its starts become in doubt.
			_, _ = d.poll(ctx, w)
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	timer := time.NewTimer(pollRoundTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	d.slots.reassign()
}

// heartbeat sends heartbeats to the peers and marks silent members as suspect, then as gone.
func (d *Daemon) heartbeat() {
	d.checkPause()
	d.adminState.lastHeartbeat.Store(d.o.Now().UnixNano())
	d.applyChanges(d.domain.Tick(d.o.Now()))
	leaving := d.dispatcher.Draining()
	position, revision := d.configs.position()
	otherDomain := &api.Heartbeat{Leaving: leaving, ConfigOffset: position, ConfigRevision: revision}
	sameDomain := &api.Heartbeat{
		Leaving: leaving, ConfigOffset: position, ConfigRevision: revision, Slots: d.slots.statuses(),
		QuotaSeeded: d.quotas.seededBelow(),
	}
	d.peers.heartbeat(
		&api.PeerMessage{Body: &api.PeerMessage_Heartbeat{Heartbeat: sameDomain}},
		&api.PeerMessage{Body: &api.PeerMessage_Heartbeat{Heartbeat: otherDomain}},
	)
}

func (d *Daemon) applyChanges(changes []zone.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		d.o.Logger.Info("member state changed", "vm", c.VM.ID, "from", c.From.String(), "to", c.To.String())
		d.timeline.Record(timeline.Event{Kind: timeline.MemberChanged, Peer: c.VM.ID, Detail: c.To.String()})
		d.slots.memberChanged(c)
	}
	d.slots.reassign()
}

// LiveMembers returns the number of members of the failure domain that may receive new work.
func (d *Daemon) LiveMembers() int { return len(d.domain.Live()) }
