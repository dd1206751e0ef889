package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/zone"
)

// report sends a pool's report of a run to its home.
func (d *Daemon) report(home, backend string, r contract.RunReport) {
	d.updateEntrusted(home, r)
	if home == d.self {
		d.home.Report(batch.PoolRef{Owner: d.self, Backend: backend}, r)
		return
	}
	d.members.Send(home, &api.PeerMessage{Body: &api.PeerMessage_TaskReport{TaskReport: &api.TaskReport{
		Key: encodeKey(r.Key), State: uint32(r.State), Worker: r.Worker, Backend: backend,
		RunMs: clampMillis(r.RunTime), Ran: r.MayHaveStarted, Token: r.Token, MayStartLate: r.MayStartLate,
		LateWorkers: r.LateWorkers, NextOwner: r.NextOwner,
	}}})
}

// takeover announces to all homes that this process has become the owner of a worker. If no run was found there, only the
// own failure domain is told, where most homes with lost runs are: to others the announcement would prove only what they
// know a second later from the expiry, and each restart of a member leads to one for each of its workers.
func (d *Daemon) takeover(t contract.Takeover) {
	m := &api.PeerMessage{Body: &api.PeerMessage_WorkerTakeover{WorkerTakeover: &api.WorkerTakeover{
		Worker: t.Worker, Born: t.StartTime, Token: t.Token, Runs: encodeKeys(t.Runs),
	}}}
	if len(t.Runs) == 0 {
		d.members.BroadcastNear(m)
	} else {
		d.members.Broadcast(m)
	}
	if domain, ok := d.workers.domain(t.Worker); ok && domain != d.o.Self.Domain {
		d.tellIncarnation(t.Worker, t.StartTime)
	}
	d.home.Takeover(d.self, t)
}

// sendStatus reports the free capacity of the own workers to the other members.
func (d *Daemon) sendStatus(now time.Time) {
	capacities := make(map[string]zone.BackendCapacity)
	for backend, p := range d.allPools() {
		capacities[backend] = p.FreeCapacity()
	}
	d.recordWaiting(capacities)
	d.mu.Lock()
	ownsNothing, leaving := !d.joined || d.stopping, d.stopping
	near, far := d.members.Counts()
	to := statusRecipients{
		near: now.Sub(d.sentNear) >= nearInterval(near) ||
			(!maps.Equal(capacities, d.lastCapacities) && now.Sub(d.sentNear) >= time.Duration(near)*nearStatusSpacing),
		contacts: now.Sub(d.sentContacts) >= contactInterval(d.contacts),
		all:      now.Sub(d.sentAll) >= farInterval(near+far),
	}
	if to.near || to.all {
		d.lastCapacities, d.sentNear = capacities, now
	}
	if to.contacts || to.all {
		d.sentContacts = now
	}
	if to.all {
		d.sentAll = now
	}
	version := d.desired.Version
	d.mu.Unlock()
	d.updateCapacity(d.self, d.o.Self.Domain, ownsNothing, capacities)
	if to == (statusRecipients{}) {
		return
	}
	status := &api.PoolStatus{OwnsNothing: ownsNothing, Leaving: leaving, DesiredVersion: version,
		StampMs: d.timestamp(now), WorkerList: d.feed.Sequence(), EvacuationsVersion: d.evacuations.get().Version,
	}
	status.ListsInForce, status.ListsSettled = d.members.ListVersions()
	for backend, capacity := range capacities {
		status.Rooms = append(status.Rooms, encodeCapacity(backend, capacity))
	}
	attached := statusAttachments{
		held: d.toAnnounce.take(to, now, status.GetStampMs()), late: d.announcedLate.take(to, now),
	}
	contacts := d.members.SendStatus(status, attached, to, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts = contacts
}

// timestamp returns the time since the start of this process, in milliseconds, offset by firstTimestamp.
func (d *Daemon) timestamp(now time.Time) uint64 {
	return d.firstTimestamp + uint64(max(now.Sub(d.started).Milliseconds(), 0))
}

// sentAt returns when this process sent an echoed timestamp, or the zero time for one that it has not sent.
func (d *Daemon) sentAt(timestamp uint64) time.Time {
	if timestamp < d.firstTimestamp || timestamp > d.timestamp(d.o.Now()) {
		return time.Time{}
	}
	return d.started.Add(time.Duration(timestamp-d.firstTimestamp) * time.Millisecond)
}

func (d *Daemon) updateCapacity(id, domain string, ownsNothing bool, capacities map[string]zone.BackendCapacity) {
	view := make(map[string]*zone.BackendCapacity, len(capacities))
	for backend, capacity := range capacities {
		view[backend] = &capacity
	}
	d.capacity.Update(id, domain, ownsNothing, view)
}

// handle processes an envelope of another member.
func (d *Daemon) handle(env *api.Envelope) link.HandlerResult {
	vm := env.GetFromVm()
	id := machine.Member{VM: vm, Incarnation: machine.Incarnation(env.GetFromIncarnation())}.ID()
	for _, m := range env.GetMessages() {
		if s := m.GetPoolStatus(); s != nil {
			d.learn(decodeMember(s.GetSender()), true)
		}
	}
	becameLive, known := d.members.RecordContact(id, vm, d.o.Now())
	if !known {
		// A status that introduces the sender contains its address. The sender's first one does, and one of every round to
		// all members.
		return link.Accepted
	}
	if becameLive {
		d.members.Send(id, slices.Concat(d.crashList(), d.cancelList(), d.heldList(), d.lateStartList(id),
			d.incarnationList(), []*api.PeerMessage{d.memberList()})...)
		d.assignWorkers()
	}
	for _, m := range env.GetMessages() {
		d.handleMessage(id, vm, m)
	}
	return link.Accepted
}

func (d *Daemon) memberList() *api.PeerMessage {
	list := &api.MemberList{}
	for _, m := range d.members.Known() {
		list.Members = append(list.Members, encodeMember(m))
	}
	return &api.PeerMessage{Body: &api.PeerMessage_MemberList{MemberList: list}}
}

// handleMessage processes messages about the runs of tasks, and passes the others to handleJobMessage.
func (d *Daemon) handleMessage(id, vm string, m *api.PeerMessage) {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_TaskOrder:
		o := decodeOrder(b.TaskOrder, d.o.Now())
		d.pool(o.Backend).Order(id, o, d.sentAt(b.TaskOrder.GetStampMs()))
	case *api.PeerMessage_TaskRefresh:
		d.pool(b.TaskRefresh.GetBackend()).Refresh(id, decodeKeys(b.TaskRefresh.GetKeys()),
			d.sentAt(b.TaskRefresh.GetStampMs()))
	case *api.PeerMessage_TaskWithdrawal:
		d.handleWithdrawal(id, b.TaskWithdrawal)
	case *api.PeerMessage_TaskUrgency:
		d.pool(b.TaskUrgency.GetBackend()).JobStarted(decodeKeys(b.TaskUrgency.GetKeys()))
	case *api.PeerMessage_TaskAck:
		d.pool(b.TaskAck.GetBackend()).Acknowledge(decodeKeys(b.TaskAck.GetKeys()))
	case *api.PeerMessage_TaskReport:
		r := b.TaskReport
		d.home.Report(batch.PoolRef{Owner: id, Backend: r.GetBackend()}, contract.RunReport{
			Key: decodeKey(r.GetKey()), State: contract.RunState(r.GetState()), Worker: r.GetWorker(),
			MayHaveStarted: r.GetRan(), Token: r.GetToken(), RunTime: time.Duration(r.GetRunMs()) * time.Millisecond,
			MayStartLate: r.GetMayStartLate(), LateWorkers: decodeLateWorkers(r.GetLateWorkers()),
			NextOwner: r.GetNextOwner(),
		})
	case *api.PeerMessage_WorkerTakeover:
		t := b.WorkerTakeover
		d.home.Takeover(id, contract.Takeover{
			Worker: t.GetWorker(), StartTime: t.GetBorn(), Token: t.GetToken(), Runs: decodeKeys(t.GetRuns()),
		})
	default:
		d.handleJobMessage(id, vm, m)
	}
}

// handleJobMessage processes messages about jobs and about what all members know of their tasks, and passes the others to
// handleClusterState.
func (d *Daemon) handleJobMessage(id, vm string, m *api.PeerMessage) {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_WorkerCrash:
		d.recordCrash(decodeCrash(b.WorkerCrash, d.o.Now()))
	case *api.PeerMessage_JobCancel:
		d.handleCancel(id, decodeCancel(b.JobCancel, d.o.Now()))
	case *api.PeerMessage_LateStarts:
		d.handleLateStarts(id, b.LateStarts)
	case *api.PeerMessage_WorkerIncarnations:
		d.handleIncarnations(b.WorkerIncarnations)
	case *api.PeerMessage_HeldJobs:
		d.handleHeldJobs(id, b.HeldJobs)
	case *api.PeerMessage_HeldJobsRequest:
		d.handleHeldJobsRequest(id, b.HeldJobsRequest)
	case *api.PeerMessage_JobRelease:
		d.handleRelease(id, b.JobRelease)
	case *api.PeerMessage_JobReleased:
		d.handleReleased(id, b.JobReleased)
	default:
		d.handleClusterState(id, vm, m)
	}
}

func (d *Daemon) handleWithdrawal(home string, w *api.TaskWithdrawal) {
	if w.GetOnlyQueued() {
		d.pool(w.GetBackend()).Recall(home, decodeKeys(w.GetKeys()))
		return
	}
	d.pool(w.GetBackend()).Withdraw(home, decodeKeys(w.GetKeys()))
}

// handleClusterState processes messages about members, workers and their capacity, and the desired state.
func (d *Daemon) handleClusterState(id, vm string, m *api.PeerMessage) {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_PoolStatus:
		d.handleStatus(id, vm, b.PoolStatus)
	case *api.PeerMessage_DesiredState:
		d.handleDesired(id, b.DesiredState)
	case *api.PeerMessage_TaskInvitation:
		d.handleInvitation(id, b.TaskInvitation)
	case *api.PeerMessage_DesiredStateRequest:
		d.sendDesired(id, b.DesiredStateRequest)
	case *api.PeerMessage_WorkerList:
		if list, current := d.feed.Apply(id, b.WorkerList); current {
			d.setListings(list)
		}
	case *api.PeerMessage_WorkerListRequest:
		if full := d.feed.FullList(); full != nil {
			d.members.Send(id, full)
		}
	case *api.PeerMessage_WorkerEntryRequest:
		d.sendEntry(id, b.WorkerEntryRequest)
	case *api.PeerMessage_WorkerEntry:
		d.handleEntry(id, b.WorkerEntry)
	case *api.PeerMessage_MemberList:
		d.handleMemberList(b.MemberList)
	case *api.PeerMessage_MemberListRequest:
		d.sendLists(id, b.MemberListRequest)
	}
}

func (d *Daemon) handleStatus(id, vm string, s *api.PoolStatus) {
	capacities := make(map[string]zone.BackendCapacity, len(s.GetRooms()))
	for _, r := range s.GetRooms() {
		capacities[r.GetBackend()] = decodeCapacity(r)
	}
	now, domain := d.o.Now(), d.members.Domain(vm)
	if s.GetSubscribe() {
		d.members.RecordSubscription(vm, now)
	}
	if d.members.Subscribes(vm, now) {
		d.updateCapacity(id, domain, s.GetOwnsNothing(), capacities)
	} else {
		// Its statuses come too seldom for tasks to be placed there.
		d.capacity.Remove(id)
	}
	if !d.members.Current(id, vm) {
		// The process was replaced while its status was handled.
		d.capacity.Remove(id)
	}
	d.inviteWaiting(capacities)
	if domain == d.o.Self.Domain && d.feed.RecordSequence(id, s.GetWorkerList()) {
		d.members.Send(id, &api.PeerMessage{Body: &api.PeerMessage_WorkerListRequest{
			WorkerListRequest: &api.WorkerListRequest{}}})
	}
	d.members.RecordEvacuations(id, vm, s.GetEvacuationsVersion())
	d.members.RecordLists(id, vm, s.GetListsInForce(), s.GetListsSettled(), now)
	if d.members.UpdateStatus(id, vm, s.GetOwnsNothing(), s.GetLeaving(), s.GetDesiredVersion(), s.GetStampMs(), now) {
		d.assignWorkers()
	}
}
