package entry

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/customer"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	quotaShards   = 16
	quotaInterval = 500 * time.Millisecond
	// seedingDelay is the time after the start of the process before it may seed shares. It is long enough to receive
	// heartbeats from members that know of an earlier seeding.
	seedingDelay = 3 * time.Second
	// unmetTTL is how long a delegate includes an unmet request of another VM in its own demand.
	unmetTTL = 2 * time.Second
)

// quotaExchange moves shares of team quotas between entry VMs. For each revision of a quota, the delegate of each
// failure domain seeds a fixed part of it, that is, it creates the first shares and divides them between the members.
// Afterwards a VM requests quota from the members of its failure domain; the delegate also requests it from the
// delegates of the others. The shards hold the shares by team.
type quotaExchange struct {
	d       *Daemon
	shards  [quotaShards]quotaShard
	started time.Time

	mu sync.Mutex
	// seeded is one more than the highest quota revision known to be seeded in the failure domain.
	seeded uint64
	round  int
	// vms maps the processes that have requested quota or were given some to their VMs.
	vms map[machine.Incarnation]string
}

type quotaShard struct {
	mu    sync.Mutex
	teams map[customer.TeamKey]*quotaEntry
}

// quotaEntry is this VM's share of a team's quota.
type quotaEntry struct {
	share *contract.QuotaShare
	// unmet is the missing quota of the last request that received nothing, valid until unmetUntil.
	unmet      int
	unmetUntil time.Time
}

func newQuotaExchange(d *Daemon) *quotaExchange {
	q := &quotaExchange{d: d, started: d.o.Now(), vms: make(map[machine.Incarnation]string)}
	for i := range q.shards {
		q.shards[i].teams = make(map[customer.TeamKey]*quotaEntry)
	}
	return q
}

func (q *quotaExchange) shard(k customer.TeamKey) *quotaShard {
	return &q.shards[xxhash.Sum64String(k.String())%quotaShards]
}

// delegate returns the member of a failure domain that exchanges quota with the other failure domains.
func (q *quotaExchange) delegate(domain zone.DomainID) (machine.EntryVM, bool) {
	vms := q.d.peers.inDomain(domain)
	if domain == q.d.o.Domain {
		vms = q.d.domain.Live()
	}
	return zone.Choose(fmt.Sprintf("quota/%d", domain), vms)
}

func (q *quotaExchange) isDelegate() bool {
	vm, ok := q.delegate(q.d.o.Domain)
	return ok && vm.ID == q.d.o.VM.ID
}

// tick seeds new quotas, resends unacknowledged transfers, and requests quota.
func (q *quotaExchange) tick() {
	usages := q.d.dispatcher.Teams().Usages()
	if len(usages) == 0 {
		return
	}
	sort.Slice(usages, func(i, j int) bool { return usages[i].Key.String() < usages[j].Key.String() })
	delegate := q.isDelegate()
	seeding := q.maySeed(delegate)
	below := uint64(0)
	for _, u := range usages {
		q.updateShare(u, seeding)
		below = max(below, u.Revision+1)
	}
	if seeding {
		q.setSeeded(below)
	}
	targets := q.targets(delegate)
	for _, u := range usages {
		q.resend(u.Key)
		if !q.d.dispatcher.Draining() {
			q.ask(u, targets)
		}
	}
}

// maySeed reports whether this VM seeds the shares of its failure domain. Only the delegate does, and only once it has
// received messages from all listed members, so that a seeding known to them is not repeated.
func (q *quotaExchange) maySeed(delegate bool) bool {
	if !delegate || q.d.o.Now().Sub(q.started) < seedingDelay {
		return false
	}
	for _, m := range q.d.domain.Members(q.d.o.Now()) {
		if m.State == zone.MemberJoining.String() || m.State == zone.MemberSuspect.String() {
			return false
		}
	}
	return true
}

func (q *quotaExchange) seededBelow() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.seeded
}

func (q *quotaExchange) setSeeded(below uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seeded = max(q.seeded, below)
}

// updateShare moves the share to the current revision of the quota. Shares of earlier revisions are void.
func (q *quotaExchange) updateShare(u customer.Usage, seeding bool) {
	seed := seeding && u.Revision >= q.seededBelow()
	s := q.shard(u.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.teams[u.Key]
	if ok && e.share.Revision() == u.Revision && !seed {
		return
	}
	seededPart := 0
	if seed {
		seededPart = q.seededPart(u.Quota)
	}
	e = &quotaEntry{share: contract.NewQuotaShare(u.Key.String(), u.Revision, q.d.o.VM.Incarnation, seededPart)}
	s.teams[u.Key] = e
	if seed {
		q.divide(e, seededPart)
	}
	q.d.dispatcher.SetQuotaShare(u.Key, e.share.Held())
}

// divide gives the members of the failure domain equal parts of a seeded share. The shard lock must be held; the
// transfers are sent by the next resend.
func (q *quotaExchange) divide(e *quotaEntry, part int) {
	live := q.d.domain.Live()
	for _, vm := range live {
		q.recordProcess(vm.ID, vm.Incarnation)
		e.share.Give(vm.Incarnation, part/len(live))
	}
}

// domains returns the failure domains that seed shares. If the settings name none, these are the listed ones, which is
// exact only while all entry VMs have the same list.
func (q *quotaExchange) domains() []uint16 {
	if d := q.d.dispatcher.Teams().Domains(); len(d) > 0 {
		return d
	}
	return q.d.peers.listedDomains()
}

// seededPart returns the part of a quota that this failure domain seeds.
func (q *quotaExchange) seededPart(quota int) int {
	domains := q.domains()
	for n, id := range domains {
		if zone.DomainID(id) == q.d.o.Domain {
			return contract.SeededPart(quota, n, len(domains))
		}
	}
	return 0
}

// recordProcess records the VM on which a process runs.
func (q *quotaExchange) recordProcess(vm string, inc machine.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.vms[inc] = vm
}

// resend sends the unacknowledged transfers of a team again.
func (q *quotaExchange) resend(k customer.TeamKey) {
	s := q.shard(k)
	s.mu.Lock()
	var pending []contract.QuotaTransfer
	if e, ok := s.teams[k]; ok {
		pending = e.share.Pending()
	}
	s.mu.Unlock()
	for _, t := range pending {
		q.sendTransfer(t, 0)
	}
}

// sendTransfer sends a transfer to the VM of its receiver. slots is the quota that it adds to earlier transfers; resend
// passes 0.
func (q *quotaExchange) sendTransfer(t contract.QuotaTransfer, slots int) {
	q.mu.Lock()
	vm := q.vms[t.To]
	q.mu.Unlock()
	q.d.timeline.Record(timeline.Event{
		Kind: timeline.QuotaMoved, Peer: vm, Detail: t.Team, Count: int64(slots),
	})
	m := transferTo(t)
	m.Slots = uint32(slots)
	m.FromDomain = uint32(q.d.o.Domain)
	q.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_QuotaTransfer{QuotaTransfer: m}})
}

func transferTo(t contract.QuotaTransfer) *api.QuotaTransfer {
	return &api.QuotaTransfer{
		Team: t.Team, QuotaRevision: t.Revision, Sequence: t.Sequence, Total: t.Total,
		FromIncarnation: uint64(t.From), ToIncarnation: uint64(t.To),
	}
}

func transferFrom(m *api.QuotaTransfer) contract.QuotaTransfer {
	return contract.QuotaTransfer{
		Team: m.GetTeam(), Revision: m.GetQuotaRevision(), Sequence: m.GetSequence(), Total: m.GetTotal(),
		From: machine.Incarnation(m.GetFromIncarnation()), To: machine.Incarnation(m.GetToIncarnation()),
	}
}

// targets returns the VMs to ask in this round: the next member of this failure domain and, for the delegate, the next
// delegate of another failure domain, both round robin.
func (q *quotaExchange) targets(delegate bool) []string {
	q.mu.Lock()
	q.round++
	round := q.round
	q.mu.Unlock()
	var members, delegates, out []string
	for _, vm := range q.d.domain.Live() {
		if vm.ID != q.d.o.VM.ID {
			members = append(members, vm.ID)
		}
	}
	if delegate {
		for _, id := range q.domains() {
			if vm, ok := q.delegate(zone.DomainID(id)); ok && zone.DomainID(id) != q.d.o.Domain {
				delegates = append(delegates, vm.ID)
			}
		}
	}
	if len(members) > 0 {
		out = append(out, members[round%len(members)])
	}
	if len(delegates) > 0 {
		out = append(out, delegates[round%len(delegates)])
	}
	return out
}

// need returns the quota of a team that this VM holds and its demand. The shard lock must be held.
func (q *quotaExchange) need(k customer.TeamKey, e *quotaEntry) customer.QuotaNeed {
	n := customer.QuotaNeed{Held: e.share.Held(), Demand: q.d.dispatcher.TeamDemand(k)}
	if q.d.o.Now().Before(e.unmetUntil) {
		n.Demand += e.unmet
	}
	return n
}

// ask requests quota for the team if its demand on this VM exceeds the share.
func (q *quotaExchange) ask(u customer.Usage, targets []string) {
	s := q.shard(u.Key)
	s.mu.Lock()
	e, ok := s.teams[u.Key]
	var n customer.QuotaNeed
	if ok {
		n = q.need(u.Key, e)
	}
	s.mu.Unlock()
	if !ok || min(n.Demand, u.Quota) <= n.Held {
		return
	}
	for _, vm := range targets {
		q.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_QuotaRequest{QuotaRequest: &api.QuotaRequest{
			Team: u.Key.String(), QuotaRevision: u.Revision, Held: uint32(n.Held), Demand: uint32(min(n.Demand, u.Quota)),
		}}})
	}
}

// handleMessage handles the quota messages of a peer. It returns false for other messages.
func (q *quotaExchange) handleMessage(vm string, inc machine.Incarnation, m *api.PeerMessage) bool {
	switch b := m.GetBody().(type) {
	case *api.PeerMessage_QuotaRequest:
		q.recordProcess(vm, inc)
		q.handleRequest(inc, b.QuotaRequest)
	case *api.PeerMessage_QuotaTransfer:
		q.handleTransfer(vm, b.QuotaTransfer)
	default:
		return false
	}
	return true
}

// handleRequest transfers a part of the share to the requesting process. If there is none to give, a delegate includes
// the request in its own demand for a while.
func (q *quotaExchange) handleRequest(to machine.Incarnation, r *api.QuotaRequest) {
	k, ok := customer.ParseTeamKey(r.GetTeam())
	if !ok {
		return
	}
	theirs := customer.QuotaNeed{Held: int(r.GetHeld()), Demand: int(r.GetDemand())}
	delegate := q.isDelegate()
	s := q.shard(k)
	s.mu.Lock()
	e, ok := s.teams[k]
	if !ok || e.share.Revision() != r.GetQuotaRevision() {
		s.mu.Unlock()
		return
	}
	n := customer.TransferAmount(q.need(k, e), theirs)
	t, given := e.share.Give(to, n)
	if given {
		q.d.dispatcher.SetQuotaShare(k, e.share.Held())
	} else if delegate {
		e.unmet, e.unmetUntil = theirs.Demand-theirs.Held, q.d.o.Now().Add(unmetTTL)
	}
	s.mu.Unlock()
	if given {
		q.sendTransfer(t, n)
	}
}

// handleTransfer adds a transfer to the share and acknowledges it, or records an acknowledgement.
func (q *quotaExchange) handleTransfer(vm string, m *api.QuotaTransfer) {
	k, ok := customer.ParseTeamKey(m.GetTeam())
	if !ok {
		return
	}
	t := transferFrom(m)
	s := q.shard(k)
	s.mu.Lock()
	e, ok := s.teams[k]
	taken := false
	if ok && m.GetAcknowledged() {
		e.share.Acknowledge(t)
	} else if ok && e.share.Receive(t) {
		taken = true
		q.d.dispatcher.SetQuotaShare(k, e.share.Held())
	}
	s.mu.Unlock()
	if !taken {
		return
	}
	ack := transferTo(t)
	ack.Acknowledged = true
	q.d.peers.send(vm, &api.PeerMessage{Body: &api.PeerMessage_QuotaTransfer{QuotaTransfer: ack}})
}
