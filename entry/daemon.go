package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/credentials"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/clientlimit"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/rpc"
	"github.com/cicadadale/cicadadale/timeline"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	listInterval      = 500 * time.Millisecond
	// statusInterval is the interval between rounds of status polls; a round polls the workers returned by duePolls.
	statusInterval    = time.Second
	schedulerInterval = 10 * time.Millisecond
	expiryInterval    = 10 * time.Second
	speedInterval     = 2 * time.Second
)

// Options are the settings and dependencies of a daemon. The caller opens the listeners, so that addresses are known
// before the daemon starts.
type Options struct {
	VM machine.EntryVM
	// Predecessor is the previous incarnation of this process, zero if there is none.
	Predecessor    machine.Incarnation
	Domain         zone.DomainID
	Region         zone.RegionID
	Services       []*backend.Service
	Log            platform.Log
	List           platform.VMList
	CallerListener net.Listener
	PeerListener   net.Listener
	// AdminListener serves the admin endpoints; nil disables them.
	AdminListener net.Listener
	DialPeer      func(ctx context.Context, address string) (net.Conn, error)
	// Connections bounds the connections to each worker for starts, and separately those for fences.
	Connections int
	// TimelineEvents is the capacity of the timeline's ring; 0 selects the default, a negative number disables the
	// timeline.
	TimelineEvents int
	// CallerCredentials secure connections from callers; nil serves plain TCP.
	CallerCredentials credentials.TransportCredentials
	// Clients bounds what callers make the process hold; nil sets no bounds.
	Clients *clientlimit.Process
	// JobBounds bounds the memory of jobs and of their answers; the zero value selects the defaults.
	JobBounds contract.JobBounds
	// Policy selects how workers are chosen; empty selects the default.
	Policy  dispatch.Policy
	Now     func() time.Time
	Logger  *slog.Logger
	Metrics metrics.Registry
	// OnViolation is called for each violated invariant; tests panic.
	OnViolation func(invariant string)
}

// Daemon is the process on an entry VM: it accepts jobs, dispatches their tasks to workers and exchanges slots, quota
// and configuration with other entry VMs. It is the home of the jobs that it accepts: the member that answers for them.
type Daemon struct {
	o          Options
	table      *contract.JobTable
	fleet      *machine.Fleet
	domain     *zone.FailureDomain
	workers    *link.Workers
	dispatcher *dispatch.Dispatcher
	peers      *peers
	slots      *slotBroker
	quotas     *quotaExchange
	capacities capacityCache
	budget     *platform.Budget
	claims     *claimDelegate
	configs    *configReplica
	// domainLookups is a semaphore for the claims that query other failure domains.
	domainLookups chan struct{}
	clock         *timeline.Clock
	timeline      *timeline.Ring

	homes         *zone.Homes
	lease         *zone.AnswerLease
	handovers     *handOvers
	tombstones    *tombstoneLog
	requests      *requestLimiter
	pauseDetector pauseDetector
	wasListed     atomic.Bool
	// forwards counts the calls forwarded to other failure domains.
	forwards atomic.Uint64
	fenced   atomic.Bool
	fencedCh chan struct{}
	started  time.Time

	peerServer *link.PeerServer
	rpcServer  *rpc.Server
	adminState adminState
	polls      workerPolls
	cancel     context.CancelFunc
	loops      sync.WaitGroup
}

// New returns a daemon that does not serve yet.
func New(o Options) (*Daemon, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.DialPeer == nil {
		var dialer net.Dialer
		o.DialPeer = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if o.VM.Incarnation == 0 {
		o.VM.Incarnation = machine.NewIncarnation()
	}
	policy, err := dispatch.ParsePolicy(string(o.Policy))
	if err != nil {
		return nil, err
	}
	o.Policy = policy
	d := &Daemon{
		o: o, fleet: machine.NewFleet(), domain: zone.NewFailureDomain(o.Domain, o.VM.ID),
		table: contract.NewJobTable(o.Domain, o.VM.Incarnation), clock: &timeline.Clock{},
		homes: zone.NewHomes(), lease: zone.NewAnswerLease(), handovers: newHandOvers(),
		requests: newRequestLimiter(maxServed), fencedCh: make(chan struct{}), started: o.Now(),
	}
	if o.Predecessor != 0 {
		d.homes.MarkGone(o.VM.ID, o.Predecessor, o.Now())
	}
	d.tombstones = newTombstoneLog(d)
	d.table.OnCheck(d.onCheck)
	if o.JobBounds != (contract.JobBounds{}) {
		d.table.SetBounds(o.JobBounds)
	}
	d.timeline = newTimeline(o, d.clock)
	workers, err := link.NewWorkers(d.fleet, o.VM.Incarnation, o.Connections, d.clock)
	if err != nil {
		return nil, err
	}
	d.workers = workers
	d.peers = newPeers(d)
	d.slots = newSlotBroker(d)
	d.quotas = newQuotaExchange(d)
	d.domainLookups = make(chan struct{}, maxDomainLookups)
	d.budget = platform.NewBudget(appendBudget)
	d.claims = newClaimDelegate(claimDelegateOptions{
		Self: o.VM.Incarnation, Log: o.Log, Budget: d.budget, Now: o.Now, Logger: o.Logger, Metrics: o.Metrics,
	})
	d.dispatcher = dispatch.New(dispatch.Options{
		Table: d.table, Starter: pollingStarter{Starter: workers, d: d}, Broker: d.slots, Self: o.VM.ID,
		Placement: d.slots.placement, MayStart: d.mayStart,
		Fleet: d.fleet, Now: o.Now, Logger: o.Logger, Metrics: o.Metrics, Timeline: d.timeline,
		Control: workers, Capacity: d.capacity, HealthChanged: d.healthChanged,
		SlotReclassified: d.slots.taskReclassified, DistributedQuotas: true,
	})
	d.configs = newConfigReplica(configReplicaOptions{
		Log: o.Log, Budget: d.budget, Now: o.Now, Logger: o.Logger, Metrics: o.Metrics, Apply: d.applyConfiguration,
		Verdict: d.recordVerdict,
	})
	return d, nil
}

// Start starts serving callers and peers.
func (d *Daemon) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	server, err := link.ServePeers(d.o.PeerListener, d.receive, nil)
	if err != nil {
		cancel()
		return err
	}
	d.peerServer = server
	d.startAdmin()
	d.refreshList(ctx)
	d.configs.initialRead(ctx)
	d.pollWorkers(ctx)
	d.rpcServer = rpc.Serve(d.o.CallerListener, d, rpc.ServerOptions{
		Now: d.o.Now, Credentials: d.o.CallerCredentials, Clients: d.o.Clients, Metrics: d.o.Metrics,
	})
	d.loop(ctx, heartbeatInterval, func() { d.heartbeat() })
	d.loop(ctx, delegateInterval, d.electClaimDelegate)
	d.loops.Go(func() { d.configs.tail(ctx) })
	d.loop(ctx, configInterval, func() { d.maintainConfiguration(ctx) })
	d.loop(ctx, listInterval, func() { d.refreshList(ctx) })
	d.loop(ctx, statusInterval, func() { d.pollWorkers(ctx) })
	d.startSlots(ctx)
	d.loop(ctx, speedInterval, d.fleet.CentreSpeeds)
	d.loop(ctx, quotaInterval, d.quotas.tick)
	d.loop(ctx, expiryInterval, func() { d.table.Expire(d.o.Now()); d.homes.Expire(d.o.Now()) })
	d.loop(ctx, expiryInterval, d.claims.expire)
	d.tombstones.start(ctx)
	d.timeline.Record(timeline.Event{Kind: timeline.ProcessStarted})
	d.adminState.serving.Store(true)
	d.o.Logger.Info("entry daemon started", "vm", d.o.VM.ID, "incarnation", d.o.VM.Incarnation.String(),
		"callers", d.o.CallerListener.Addr().String())
	return nil
}

// startSlots starts the periodic work of the service schedulers and slot allocators.
func (d *Daemon) startSlots(ctx context.Context) {
	d.loop(ctx, schedulerInterval, func() { d.checkPause(); d.dispatcher.Tick() })
	if d.slots.placement == nil {
		d.loop(ctx, slotInterval, d.slots.tick)
		d.loop(ctx, renewInterval, d.slots.renewHoldings)
	}
}

func (d *Daemon) loop(ctx context.Context, every time.Duration, fn func()) {
	d.loops.Go(func() {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				fn()
			case <-ctx.Done():
				return
			}
		}
	})
}

// waitIdle waits until all jobs that this VM answers for have a final answer, or ctx is cancelled.
func (d *Daemon) waitIdle(ctx context.Context) {
	t := time.NewTicker(schedulerInterval)
	defer t.Stop()
	for d.table.Unfinished() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Kill stops the daemon at once, as a crash does. The jobs of this incarnation are lost.
func (d *Daemon) Kill() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	d.peers.close()
	d.rpcServer.Stop(cancelled)
	d.shutdown()
}

// shutdown closes all connections and waits for the goroutines.
func (d *Daemon) shutdown() {
	d.cancel()
	d.loops.Wait()
	d.tombstones.wait()
	d.claims.close()
	d.peerServer.Close()
	d.peers.close()
	d.dispatcher.Close()
	d.stopAdmin()
}
