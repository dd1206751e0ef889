package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/batch"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/pool"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	tickInterval = 50 * time.Millisecond
	// desiredStateLag is how long this process lets others have a newer desired state before it requests theirs. Usually
	// the store passes the new one to all within milliseconds. desiredStateRetry is the pause between requests.
	desiredStateLag   = 300 * time.Millisecond
	desiredStateRetry = 500 * time.Millisecond
	// publishRetry is the pause before this process is announced again after a failed call.
	publishRetry = time.Second
	// assignInterval is the longest time between two assignments of workers to owners.
	assignInterval = 500 * time.Millisecond
	// orphanDelay is how long a failure domain is without a member before the others take over its workers. A process
	// that was partitioned from the others sees them all missing, and must have time to make contact before it acquires
	// anything.
	orphanDelay = 2 * time.Second
	// cutOffOrphanDelay is the same time for a member that is cut off from a majority: it is rather on the smaller side of a
	// partition, whose other side owns these workers, than one of a few survivors.
	cutOffOrphanDelay = 10 * time.Second
)

// timestampRange bounds the first timestamp of a process.
const timestampRange = 1 << 40

// Store is the daemon's interface to the platform's store. The Follow calls run until ctx ends and pass each newer
// state to the callback, the current one first.
type Store interface {
	// FollowWorkers reads nothing while active is false, and lists all workers again afterwards.
	FollowWorkers(ctx context.Context, active func() bool, f func([]machine.Listing))
	// SinceWorkersRead returns the time since entries of workers were last read. Workers renew them every 1.5 s.
	SinceWorkersRead() time.Duration
	// FollowDesired reads what the operator publishes: the desired state, and the evacuations after each change.
	FollowDesired(ctx context.Context, desired func(contract.Desired), evacuations func(contract.Evacuations))
	FollowMembers(ctx context.Context, f func(machine.MemberList))
	PublishMember(ctx context.Context, m machine.Member) error
	RemoveMember(ctx context.Context, vm string) error
	// DecodeDesired decodes a document that a peer has forwarded.
	DecodeDesired(document []byte) (contract.Desired, error)
}

// Options configure a daemon.
type Options struct {
	Self  machine.Member
	Store Store
	Calls link.HostCalls
	Peers net.Listener
	// Dial connects to another member.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Lease is the longest lease of a run.
	Lease time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// AdaptStartTimeout makes the timeout of starts follow the time in which workers answer them.
	AdaptStartTimeout bool
	// AvoidSlow places tasks at owners that can start them on a worker that is not slow.
	AvoidSlow bool
	// Overload selects what is done while there is too little room on the workers.
	Overload contract.OverloadPolicy
	// MaxJobs is the number of jobs that may be kept, ended ones among them; 0 means any number.
	MaxJobs int
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Daemon is one process. Its components have locks of their own; mu guards the fields below it.
type Daemon struct {
	o          Options
	self       string
	members    *Members
	capacity   *zone.CapacityView
	crashes    *contract.CrashLedger
	cancels    *contract.CancelLedger
	held       *contract.HeldLedger
	relays     *heldRelays
	toAnnounce announcedJobs
	lateStarts *contract.LateStartLedger
	// announcedLate holds the starts without a reply to announce.
	announcedLate announcedLateStarts
	// entrusted holds the starts without a reply that this process keeps for others, ownEntrusted those that others keep for it.
	entrusted    *entrustedStarts
	ownEntrusted *ownEntrusted
	// ownership is that of the last assignment of workers.
	ownership   ownership
	evacuations evacuations
	// fencer fences the workers that nobody owns for now, incarnations holds those that any member has fenced.
	fencer       *pool.Fencer
	incarnations *incarnations
	confined     *contract.Confinement
	home         *batch.Home
	server       *link.PeerServer
	workers      *workers
	feed         *workerFeed
	entries      *entryRequests
	announced    *announcements
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	started      time.Time
	// firstTimestamp is the timestamp of the start. It is random, so that a timestamp of a previous process of the VM
	// proves nothing.
	firstTimestamp uint64

	// removedAt is when members to remove from the list were last looked for. Only the goroutine of run uses it.
	removedAt time.Time

	// assignMu is held while workers are assigned, so that an older assignment never overwrites a newer one. It is locked
	// before all other locks.
	assignMu sync.Mutex
	// assignedFrom is the basis of the last assignment; assignMu guards it.
	assignedFrom assignmentBasis

	mu      sync.Mutex
	pools   map[string]*pool.Pool
	desired contract.Desired
	// membersRead is set once the list of members has been read from the store.
	membersRead   bool
	joined        bool
	stopping      bool
	stoppingSince time.Time
	// sentNear, sentContacts and sentAll are the times of the last statuses to the own failure domain, to the contacts in
	// others, and to all members.
	sentNear     time.Time
	sentContacts time.Time
	sentAll      time.Time
	// contacts is the number of contacts in other failure domains.
	contacts       int
	lastCapacities map[string]zone.BackendCapacity
	// lastPresent is when a member was last seen, by failure domain.
	lastPresent map[string]time.Time
	assignedAt  time.Time
	// behindSince is when a member was first seen with a newer desired state than this process; zero if there is none.
	// requestedAt is when the newer one was last requested.
	behindSince time.Time
	requestedAt time.Time
	// listsRequestedAt is when the lists in force at another member were last requested.
	listsRequestedAt time.Time
	// published is set once the store has listed this process.
	published bool
}

// New starts a daemon.
func New(o Options) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		o: o, self: o.Self.ID(), capacity: newCapacityView(o), cancel: cancel, started: o.Now(),
		firstTimestamp: rand.Uint64N(timestampRange),
		pools:          make(map[string]*pool.Pool), lastPresent: make(map[string]time.Time), workers: newWorkers(o.Logger),
		crashes: contract.NewCrashLedger(), cancels: contract.NewCancelLedger(), held: contract.NewHeldLedger(),
		relays: newHeldRelays(), lateStarts: contract.NewLateStartLedger(), entrusted: newEntrustedStarts(),
		ownEntrusted: newOwnEntrusted(),
		confined:     contract.NewConfinement(), incarnations: newIncarnations(),
	}
	d.fencer = d.newFencer()
	d.members = newMembers(o.Self, d.dialPeer, o.Logger)
	d.home = batch.New(batch.Options{
		Self: d.self, Owners: owners{d}, Members: membership{d}, Capacity: d.capacity, Crashes: d.crashes,
		Cancels: d.cancels, Held: d.held, Fits: d.fits, Evacuated: d.evacuated, LateStarts: d.lateStarts, OwnerOf: d.ownerOf,
		Overload: o.Overload, MaxJobs: o.MaxJobs, Now: o.Now, Logger: o.Logger, Metrics: o.Metrics,
	})
	d.entries = newEntryRequests(d.members)
	d.announced = &announcements{members: d.members}
	d.feed = newWorkerFeed(d.self, d.members, o.Now, o.Logger)
	server, err := link.ServePeers(o.Peers, d.handle, func() uint64 { return d.timestamp(o.Now()) })
	if err != nil {
		cancel()
		d.home.Close()
		return nil, err
	}
	d.server = server
	d.spawn(func() { o.Store.FollowWorkers(ctx, d.feed.Reads, d.handleWorkerList) })
	d.spawn(func() {
		o.Store.FollowDesired(ctx, func(s contract.Desired) { d.setDesired(s, "store") },
			func(e contract.Evacuations) { d.setEvacuations(e, "store") })
	})
	d.spawn(func() { o.Store.FollowMembers(ctx, func(list machine.MemberList) { d.setMembers(ctx, list) }) })
	d.spawn(func() { d.announce(ctx) })
	d.spawn(func() { d.run(ctx) })
	return d, nil
}

func newCapacityView(o Options) *zone.CapacityView {
	if o.AvoidSlow {
		return zone.NewSpeedAwareCapacityView(o.Self.ID(), o.Self.Domain)
	}
	return zone.NewCapacityView(o.Self.ID(), o.Self.Domain)
}

func (d *Daemon) spawn(f func()) {
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		f()
	}()
}

func (d *Daemon) dialPeer(m machine.Member) *link.Peer {
	return link.NewPeer(m.VM, m.Address, link.PeerOptions{
		Self: link.Identity{VM: machine.EntryVM{ID: d.o.Self.VM, Incarnation: d.o.Self.Incarnation}},
		// Announcements on the connection that has ended may be lost.
		OnDisconnect: func(string) { d.repeatHeldList(m.ID()) },
		OnAck:        func(vm string, sent time.Time) { d.members.RecordAck(m.ID(), vm, sent) },
		OnTimestamp:  func(vm string, timestamp uint64) { d.members.RecordTimestamp(m.ID(), vm, timestamp, d.o.Now()) },
		Dial:         d.o.Dial,
		Lamport:      func() uint64 { return 0 }, Now: d.o.Now, Logger: d.o.Logger, Metrics: d.o.Metrics,
	})
}

// announce publishes this process in the store, and retries until the store has accepted it.
func (d *Daemon) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.o.Store.PublishMember(ctx, d.o.Self)
		if err == nil {
			d.o.Logger.Info("announced this process in the store", "member", d.self)
			d.mu.Lock()
			d.published = true
			d.mu.Unlock()
			return
		}
		d.o.Logger.Warn("store did not accept the announcement; retrying", "error", err)
		select {
		case <-time.After(publishRetry):
		case <-ctx.Done():
		}
	}
}

func (d *Daemon) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := d.o.Now()
			d.tick(now)
			d.removeLost(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// tick expires members and workers, reassigns workers when due and sends the status.
func (d *Daemon) tick(now time.Time) {
	for _, departed := range d.members.Expire(now) {
		d.handleDeparture(departed)
	}
	dropped, joined := d.workers.expire(now), d.join(now)
	if dropped || joined || now.Sub(d.lastAssignment()) > assignInterval {
		d.feed.UpdateReading()
		d.assignWorkers()
	}
	d.updateCrashes(now)
	d.cancels.Expire(now)
	d.held.Expire(now)
	d.relays.expire(now)
	d.announced.Repeat(now)
	d.updateLateStarts(now)
	d.entrusted.expire(now)
	d.sendAnswered(now)
	d.incarnations.expire(now)
	d.members.ChoosePartners()
	d.members.SettleLists(now)
	d.members.UpdateElectorate()
	d.sendStatus(now)
	d.requestHeldJobs(now)
	d.requestDesired(now)
	d.requestLists(now)
	d.requestEntries(now)
}

// handleDeparture informs all components that a process can no longer be reached.
func (d *Daemon) handleDeparture(member string) {
	d.capacity.Remove(member)
	for _, p := range d.allPools() {
		p.HomeUnreachable(member)
	}
	d.announceEntrusted(member)
	d.home.OwnerUnreachable(member)
	d.assignWorkers()
}

func (d *Daemon) allPools() map[string]*pool.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make(map[string]*pool.Pool, len(d.pools))
	for backend, p := range d.pools {
		all[backend] = p
	}
	return all
}

// pool returns the pool of a back end, and creates it if necessary.
func (d *Daemon) pool(backend string) *pool.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[backend]
	if !ok {
		p = pool.New(pool.Options{
			Backend: backend, Calls: d.o.Calls, Lease: d.o.Lease, CPUMillis: d.o.Self.CPUMillis, Now: d.o.Now, Logger: d.o.Logger, Metrics: d.o.Metrics,
			AdaptStartTimeout: d.o.AdaptStartTimeout, Overload: d.o.Overload,
			Policy:   poolPolicy(d.desired, d.evacuations.get(), backend),
			Report:   func(home string, r contract.RunReport) { d.report(home, backend, r) },
			Takeover: d.takeover, Crashed: d.workerCrashed, Confinement: d.confined,
			LateStarts: d.lateStarts, LateStart: d.lateStart, WorkerReplaced: d.workerReplaced,
			LatestStart: d.incarnations.latestStart,
			Room:        d.roomCallback(backend),
			Yield:       func() bool { return d.members.IsCutOff(d.o.Now()) },
		})
		d.pools[backend] = p
	}
	return p
}

// handleWorkerList applies the platform's list of workers as read from the store, and forwards it.
func (d *Daemon) handleWorkerList(l []machine.Listing) {
	d.setListings(l)
	if m := d.feed.Delta(l); m != nil {
		d.members.BroadcastNear(m)
	}
}

// setListings applies the platform's list of workers.
func (d *Daemon) setListings(l []machine.Listing) {
	d.workers.set(l, d.o.Now())
	d.assignWorkers()
}

// setDesired applies a desired state, unless it is older than the current one.
func (d *Daemon) setDesired(s contract.Desired, source string) {
	d.mu.Lock()
	if s.Version <= d.desired.Version && d.desired.Version != 0 {
		d.mu.Unlock()
		return
	}
	last := d.desired.Version
	d.desired = s
	d.mu.Unlock()
	d.o.Logger.Info("desired state applied", "version", s.Version, "last", last, "routes", len(s.Routes), "source", source)
	d.applyPolicies()
}

// applyPolicies passes the policies of the back ends to their pools. assignMu keeps an older policy from replacing a newer
// one.
func (d *Daemon) applyPolicies() {
	d.assignMu.Lock()
	defer d.assignMu.Unlock()
	d.mu.Lock()
	desired := d.desired
	d.mu.Unlock()
	evacuations := d.evacuations.get()
	for backend, p := range d.allPools() {
		p.SetPolicy(poolPolicy(desired, evacuations, backend))
	}
}

// poolPolicy returns what the operators say of the workers of a back end.
func poolPolicy(desired contract.Desired, evacuations contract.Evacuations, backend string) pool.Policy {
	return pool.Policy{
		GuardsCapacity: desired.Backends[backend].GuardsCapacity, SoleBackend: desired.SoleBackend(), Evacuations: evacuations,
	}
}

// setMembers applies the store's list of members.
func (d *Daemon) setMembers(ctx context.Context, list machine.MemberList) {
	d.members.ReadList(list, d.o.Now())
	listed := listedVMs(list)
	for _, m := range list.Members {
		d.learn(m, false)
	}
	d.members.Prune(listed)
	d.mu.Lock()
	d.membersRead = true
	d.mu.Unlock()
	d.announceAgain(ctx, listed[d.o.Self.VM])
}

func (d *Daemon) learn(m machine.Member, direct bool) {
	if replaced := d.members.Learn(m, direct); replaced != "" {
		d.handleDeparture(replaced)
	}
}

// Close stops all components at once.
func (d *Daemon) Close() {
	d.cancel()
	d.server.Close()
	d.home.Close()
	d.fencer.Close()
	for _, p := range d.allPools() {
		p.Close()
	}
	d.members.Close()
	d.goroutines.Wait()
}
