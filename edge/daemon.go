package edge

import (
	"context"
	"log/slog"
	"maps"
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
	// statusInterval is the time between two statuses to all members. The own failure domain, where most tasks are
	// placed, is told of changed rooms with the next tick. With 42 members this halves the messages of a daemon.
	statusInterval = 200 * time.Millisecond
	// nearShare and farShare are the time between statuses for each member that gets them, so that the statuses that a
	// process receives in a second do not grow with the number of members.
	nearShare = 2500 * time.Microsecond
	farShare  = 4 * time.Millisecond
	// joinDelay is how long a process that starts waits for the other members before it owns workers. A process that
	// took workers before it knows the others would take all of them.
	joinDelay = 400 * time.Millisecond
	// joinLimit ends the wait for members that are listed and do not answer.
	joinLimit = 2 * time.Second
	// publishRetry is the pause before this process is announced again after a failed call.
	publishRetry = time.Second
	// divideInterval is the longest time between two divisions of the workers.
	divideInterval = 500 * time.Millisecond
	// orphanDelay is how long a failure domain is without a member before the others take its workers over. A process
	// that was cut off from the others sees them all missing, and must hear from them before it takes anything.
	orphanDelay = 2 * time.Second
)

// stampRange bounds the stamp of the start of a process.
const stampRange = 1 << 40

// Store is what the daemon needs of the platform's store. The calls that follow something run until ctx ends and hand
// each newer state to the callback, first the present one.
type Store interface {
	// FollowWorkers reads nothing while active is false, and lists all workers again afterwards.
	FollowWorkers(ctx context.Context, active func() bool, f func([]machine.Listing))
	FollowDesired(ctx context.Context, f func(contract.Desired))
	FollowMembers(ctx context.Context, f func([]machine.Member))
	PublishMember(ctx context.Context, m machine.Member) error
	RemoveMember(ctx context.Context, vm string) error
	// DecodeDesired reads a document that a peer has passed on.
	DecodeDesired(document []byte) (contract.Desired, error)
}

// Options are the parts of a daemon.
type Options struct {
	Self  machine.Member
	Store Store
	Calls link.HostCalls
	Peers net.Listener
	// Dial connects to another member.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Lease is the longest lease of a run.
	Lease time.Duration
	// Grace is the time between the order to stop and the end of the process.
	Grace   time.Duration
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
}

// Daemon is one process. Its parts have locks of their own; mu guards the fields below it.
type Daemon struct {
	o       Options
	self    string
	members *Members
	rooms   *zone.Rooms
	home    *batch.Home
	server  *link.PeerServer
	workers *workers
	feed    *workerFeed
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	started time.Time
	// firstStamp is the stamp of the start. It is random, so that a stamp of an earlier process of the VM proves nothing.
	firstStamp uint64

	// dividing is held while the workers are divided, so that no older division is applied after a newer one. It is
	// locked before all others.
	dividing sync.Mutex

	mu            sync.Mutex
	pools         map[string]*pool.Pool
	desired       contract.Desired
	storeRead     bool
	joined        bool
	stopping      bool
	stoppingSince time.Time
	// sentNear and sentFar are the times of the last statuses to the own failure domain and to all.
	sentNear time.Time
	sentFar  time.Time
	lastRoom map[string]zone.BackendRoom
	// present says when a member was last seen in a failure domain.
	present map[string]time.Time
	divided time.Time
}

// New starts a daemon.
func New(o Options) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		o: o, self: o.Self.ID(), rooms: zone.NewRooms(o.Self.ID(), o.Self.Domain), cancel: cancel, started: o.Now(),
		firstStamp: rand.Uint64N(stampRange),
		pools:      make(map[string]*pool.Pool), present: make(map[string]time.Time), workers: newWorkers(o.Logger),
	}
	d.members = newMembers(o.Self, d.dialPeer, o.Logger)
	d.home = batch.New(batch.Options{
		Owners: owners{d}, Capacity: d.rooms, Fits: d.workers.fits, Now: o.Now, Logger: o.Logger, Metrics: o.Metrics,
	})
	d.feed = newWorkerFeed(d.self, d.members, o.Now, o.Logger)
	server, err := link.ServePeers(o.Peers, d.handle, func() uint64 { return d.stamp(o.Now()) })
	if err != nil {
		cancel()
		d.home.Close()
		return nil, err
	}
	d.server = server
	d.spawn(func() { o.Store.FollowWorkers(ctx, d.feed.Reads, d.listed) })
	d.spawn(func() { o.Store.FollowDesired(ctx, func(s contract.Desired) { d.setDesired(s, "store") }) })
	d.spawn(func() { o.Store.FollowMembers(ctx, d.setMembers) })
	d.spawn(func() { d.announce(ctx) })
	d.spawn(func() { d.run(ctx) })
	return d, nil
}

func (d *Daemon) spawn(f func()) {
	d.tasks.Add(1)
	go func() {
		defer d.tasks.Done()
		f()
	}()
}

func (d *Daemon) dialPeer(vm, address string) *link.Peer {
	return link.NewPeer(vm, address, link.PeerOptions{
		Self:    link.Identity{VM: machine.EntryVM{ID: d.o.Self.VM, Incarnation: d.o.Self.Incarnation}},
		Stamped: func(vm string, stamp uint64) { d.members.Stamped(vm, stamp, d.o.Now()) },
		Dial:    d.o.Dial, Lamport: func() uint64 { return 0 }, Now: d.o.Now, Logger: d.o.Logger, Metrics: d.o.Metrics,
	})
}

// announce publishes this process until the store has accepted it.
func (d *Daemon) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.o.Store.PublishMember(ctx, d.o.Self)
		if err == nil {
			d.o.Logger.Info("announced to the other members", "member", d.self)
			return
		}
		d.o.Logger.Warn("store did not accept the announcement; trying again", "error", err)
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
			d.tick(d.o.Now())
		case <-ctx.Done():
			return
		}
	}
}

// tick does what only the passing of time decides.
func (d *Daemon) tick(now time.Time) {
	for _, gone := range d.members.Expire(now) {
		d.memberGone(gone)
	}
	dropped, joined := d.workers.expire(now), d.join(now)
	if dropped || joined || now.Sub(d.lastDivided()) > divideInterval {
		d.feed.Decide()
		d.divide()
	}
	d.sendStatus(now)
}

// join lets a process that has started own workers once it knows the other members. It reports whether that is now.
func (d *Daemon) join(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.joined || d.stopping || !d.storeRead || now.Sub(d.started) < joinDelay {
		return false
	}
	if !d.members.Settled() && now.Sub(d.started) < joinLimit {
		return false
	}
	d.joined = true
	d.o.Logger.Info("owning workers from now on", "members", d.members.Count()+1)
	return true
}

// memberGone tells all parts that a process cannot be reached any more.
func (d *Daemon) memberGone(gone departure) {
	d.rooms.Remove(gone.id)
	for _, p := range d.allPools() {
		p.HomeUnreachable(gone.id)
	}
	d.home.OwnerUnreachable(gone.id, gone.heard)
	d.divide()
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

// pool returns the pool of a back end.
func (d *Daemon) pool(backend string) *pool.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[backend]
	if !ok {
		p = pool.New(pool.Options{
			Backend: backend, Calls: d.o.Calls, Lease: d.o.Lease, Now: d.o.Now, Logger: d.o.Logger, Metrics: d.o.Metrics,
			Report:   func(home string, r contract.RunReport) { d.report(home, backend, r) },
			Takeover: d.takeover,
		})
		d.pools[backend] = p
	}
	return p
}

// orphans returns a function that reports whether a failure domain has been without a member for so long that the others
// take its workers over.
func (d *Daemon) orphans(now time.Time) func(domain string) bool {
	present := d.members.Present()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.divided = now
	if !d.stopping {
		present[d.o.Self.Domain] = true
	}
	for domain := range present {
		d.present[domain] = now
	}
	last := maps.Clone(d.present)
	return func(domain string) bool {
		seen, ok := last[domain]
		if !ok {
			seen = d.started
		}
		return now.Sub(seen) > orphanDelay
	}
}

func (d *Daemon) lastDivided() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.divided
}

// divide hands the pools the workers that this process owns.
func (d *Daemon) divide() {
	d.dividing.Lock()
	defer d.dividing.Unlock()
	d.mu.Lock()
	owning := d.joined && !d.stopping
	d.mu.Unlock()
	candidates := d.members.Owners()
	if owning {
		candidates = append(candidates, candidate(d.o.Self))
	}
	orphaned := d.orphans(d.o.Now())
	owned := make(map[string][]machine.Listing)
	for _, l := range d.workers.all() {
		if id, ok := zone.OwnerOf(l.Worker, l.Zone, candidates, orphaned(l.Zone)); ok && id == d.self {
			owned[l.Backend] = append(owned[l.Backend], l)
		}
	}
	for backend := range owned {
		d.pool(backend)
	}
	for backend, p := range d.allPools() {
		p.SetHosts(owned[backend])
	}
}

// listed takes the platform's list of workers from the store, and passes it on.
func (d *Daemon) listed(l []machine.Listing) {
	d.setListings(l)
	if m := d.feed.PassOn(l); m != nil {
		d.members.BroadcastNear(m)
	}
}

// setListings takes the platform's list of workers.
func (d *Daemon) setListings(l []machine.Listing) {
	d.workers.set(l, d.o.Now())
	d.divide()
}

// setDesired takes a desired state, unless it is older than the present one.
func (d *Daemon) setDesired(s contract.Desired, source string) {
	d.mu.Lock()
	if s.Version <= d.desired.Version && d.desired.Version != 0 {
		d.mu.Unlock()
		return
	}
	last := d.desired.Version
	d.desired = s
	d.mu.Unlock()
	d.o.Logger.Info("desired state in force", "version", s.Version, "last", last, "routes", len(s.Routes), "source", source)
}

// setMembers takes the list of members of the store.
func (d *Daemon) setMembers(list []machine.Member) {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.VM] = true
		d.learn(m, false)
	}
	d.members.Keep(listed)
	d.mu.Lock()
	d.storeRead = true
	d.mu.Unlock()
}

func (d *Daemon) learn(m machine.Member, direct bool) {
	if replaced := d.members.Learn(m, direct); replaced.id != "" {
		d.memberGone(replaced)
	}
}

// Ready reports whether this process can take jobs. It does not have to own workers yet: jobs wait for owners, which are
// known within half a second, while the balancer looks only once a second.
func (d *Daemon) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping && d.desired.Version != 0
}

// Stop ends the daemon gracefully: it gives its workers up, finishes the jobs that it has accepted, and leaves.
func (d *Daemon) Stop(ctx context.Context) {
	d.mu.Lock()
	d.stopping, d.stoppingSince = true, d.o.Now()
	d.mu.Unlock()
	d.o.Logger.Info("stopping", "jobs", d.home.Active())
	d.sendStatus(d.o.Now())
	d.divide()
	d.spawn(func() {
		if err := d.o.Store.RemoveMember(ctx, d.o.Self.VM); err != nil {
			d.o.Logger.Warn("store did not take the departure", "error", err)
		}
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	quiet, since := 0, d.o.Now()
	for quiet < stopQuietTicks || d.o.Now().Sub(since) < rotationDelay {
		select {
		case <-ticker.C:
			quiet++
			if d.home.Active() > 0 {
				quiet = 0
			}
		case <-ctx.Done():
			d.o.Logger.Warn("stopping with jobs that are not answered", "jobs", d.home.Active())
			return
		}
	}
	d.o.Logger.Info("stopped; all jobs are answered")
}

// Finish waits until all accepted jobs are answered. It is called once no new connections are accepted: a client may send
// a request on an open one until the process ends.
func (d *Daemon) Finish(ctx context.Context) {
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for d.home.Active() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.o.Logger.Warn("ending with jobs that are not answered", "jobs", d.home.Active())
			return
		}
	}
}

const (
	// finishInterval is the time between looks for jobs at the end of a process.
	finishInterval = 5 * time.Millisecond
	// stopQuietTicks is the number of ticks without a job after which a stopping process ends.
	stopQuietTicks = 6
	// rotationDelay is the time for which the balancer sends new connections to a process that is not ready any more: it
	// takes two failed checks, one a second.
	rotationDelay = 2300 * time.Millisecond
)

// Close ends all parts at once.
func (d *Daemon) Close() {
	d.cancel()
	d.server.Close()
	d.home.Close()
	for _, p := range d.allPools() {
		p.Close()
	}
	d.members.Close()
	d.tasks.Wait()
}
