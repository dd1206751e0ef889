package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/backend"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/dispatch"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
	"github.com/cicadadale/cicadadale/platform"
)

const (
	testService = "test.v1.Work"
	shortKind   = "Short"
	longKind    = "Long"

	slotsPerWorker = 8
	// oneWayDelay is the delay of a message between entry VMs of a failure domain.
	oneWayDelay = 250 * time.Microsecond
)

// testWorkers simulates all workers: a start beyond a worker's slots is rejected.
type testWorkers struct {
	cluster *testCluster

	mu       sync.Mutex
	busy     map[machine.WorkerID]int
	long     map[machine.WorkerID]int // number of long tasks running now
	maxLong  map[machine.WorkerID]int // highest number of long tasks running at once
	busyTime time.Duration
	waits    map[string][]time.Duration // waits of short tasks, by home
	longWait []time.Duration
	started  map[contract.TaskID]int
}

// payload encodes the run time of a task and its time of submission for a simulated worker.
func payload(run time.Duration, submitted time.Time) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(run))
	return binary.BigEndian.AppendUint64(b, uint64(submitted.UnixNano()))
}

// testStarter starts the tasks of one home on the simulated workers.
type testStarter struct {
	workers *testWorkers
	vm      string
}

func (s testStarter) Start(ctx context.Context, r dispatch.StartRequest) (dispatch.StartReply, error) {
	w := s.workers
	run := time.Duration(binary.BigEndian.Uint64(r.Ticket.Payload))
	submitted := time.Unix(0, int64(binary.BigEndian.Uint64(r.Ticket.Payload[8:])))
	time.Sleep(oneWayDelay)
	w.mu.Lock()
	if w.busy[r.Worker] >= w.cluster.slots {
		w.mu.Unlock()
		return dispatch.StartReply{}, fault.With(fault.NotStarted, dispatch.ReasonWorkerFull, "full")
	}
	w.busy[r.Worker]++
	w.started[r.Ticket.Task]++
	waited := time.Since(submitted) - oneWayDelay
	if r.Ticket.Kind == longKind {
		w.long[r.Worker]++
		w.maxLong[r.Worker] = max(w.maxLong[r.Worker], w.long[r.Worker])
		w.longWait = append(w.longWait, waited)
	} else {
		w.waits[s.vm] = append(w.waits[s.vm], waited)
	}
	w.mu.Unlock()
	run = time.Duration(float64(run) / w.cluster.speed(r.Worker))
	select {
	case <-time.After(run):
	case <-ctx.Done():
	}
	w.mu.Lock()
	w.busy[r.Worker]--
	if r.Ticket.Kind == longKind {
		w.long[r.Worker]--
	}
	w.busyTime += run
	w.mu.Unlock()
	time.Sleep(oneWayDelay)
	return dispatch.StartReply{Outcome: contract.OutcomeDone, RunTime: run}, nil
}

func (s testStarter) Resolve(context.Context, dispatch.StartRequest) (dispatch.StartReply, error) {
	return dispatch.StartReply{}, fault.Unavailable.New("not supported by the simulated workers")
}

// testCluster is a failure domain of entry VMs without caller endpoints and HTTP.
type testCluster struct {
	t       testing.TB
	net     *testNetwork
	workers *testWorkers
	slots   int
	speeds  map[machine.WorkerID]float64
	specs   []machine.WorkerSpec
	vms     []platform.VM
	policy  dispatch.Policy

	mu      sync.Mutex
	members map[string]*testMember
	// registries are those of all processes, including stopped ones.
	registries []metrics.Registry
	// baseline holds the counters at the start of the load.
	baseline map[string]int64
}

type testMember struct {
	*Daemon
	cancel  context.CancelFunc
	server  *link.PeerServer
	metrics metrics.Registry
}

func newTestCluster(t testing.TB, policy dispatch.Policy, vms, workers int) *testCluster {
	c := &testCluster{
		t: t, net: &testNetwork{listeners: make(map[string]*testListener)}, slots: slotsPerWorker, policy: policy,
		speeds: make(map[machine.WorkerID]float64), members: make(map[string]*testMember),
	}
	c.workers = &testWorkers{
		cluster: c, busy: make(map[machine.WorkerID]int), long: make(map[machine.WorkerID]int),
		maxLong: make(map[machine.WorkerID]int), waits: make(map[string][]time.Duration),
		started: make(map[contract.TaskID]int),
	}
	for i := range workers {
		c.specs = append(c.specs, machine.WorkerSpec{
			ID: machine.WorkerID(fmt.Sprintf("worker-%d", i)), Service: testService, Slots: slotsPerWorker,
		})
	}
	for i := range vms {
		id := fmt.Sprintf("entry-%d", i)
		c.vms = append(c.vms, platform.VM{ID: id, Kind: platform.KindEntry, Domain: 1, PeerAddress: id})
	}
	for i := range vms {
		c.start(c.vms[i].ID)
	}
	// Wait until the members have exchanged heartbeats and each has taken over the workers that it allocates.
	time.Sleep(2 * time.Second)
	c.baseline = make(map[string]int64)
	for name, n := range c.counterDeltas() {
		c.baseline[name] = n
	}
	return c
}

func (c *testCluster) speed(w machine.WorkerID) float64 {
	if v, ok := c.speeds[w]; ok {
		return v
	}
	return 1
}

// start starts a new process on an entry VM.
func (c *testCluster) start(id string) {
	inc := machine.NewIncarnation()
	m := &testMember{metrics: metrics.NewRegistry()}
	d, err := New(Options{
		VM: machine.EntryVM{ID: id, PeerAddress: id, Incarnation: inc}, Domain: 1, Policy: c.policy, Now: time.Now,
		Logger:  slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})),
		Metrics: m.metrics, Connections: slotsPerWorker,
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) { return c.net.dial(ctx, id, address) },
	})
	require.NoError(c.t, err)
	m.Daemon = d
	// Replace the links to the workers with the simulated workers.
	d.dispatcher = dispatch.New(dispatch.Options{
		Table: d.table, Starter: testStarter{workers: c.workers, vm: id}, Broker: d.slots, Self: id,
		Placement: d.slots.placement, Fleet: d.fleet, Now: time.Now, Logger: d.o.Logger, Metrics: m.metrics,
		Timeline: d.timeline,
	})
	d.dispatcher.AddService(backend.NewService(testService, []backend.KindSpec{
		{Name: shortKind, Expected: 100 * time.Millisecond, Deadline: time.Minute},
		{Name: longKind, Expected: 5 * time.Second, Class: backend.ClassLong, Deadline: time.Minute},
	}))
	server, err := link.ServePeers(c.net.listen(id), d.receive, nil)
	require.NoError(c.t, err)
	m.server = server
	d.peers.applyList(c.vms)
	d.domain.ApplyList(platform.EntryListings(c.vms), time.Now())
	d.applyWorkers(c.specs)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	poll := func() {
		for _, w := range d.fleet.All() {
			w.ObserveStatus(1, 0, time.Now())
			c.workers.mu.Lock()
			w.ObserveBusy(c.workers.busy[w.Spec().ID])
			c.workers.mu.Unlock()
		}
		d.slots.reassign()
	}
	poll()
	d.loop(ctx, heartbeatInterval, d.heartbeat)
	d.loop(ctx, statusInterval, poll)
	d.startSlots(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[id] = m
	c.registries = append(c.registries, m.metrics)
}

func (c *testCluster) member(id string) *testMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[id]
}

// processes returns the running processes.
func (c *testCluster) processes() []*testMember {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*testMember, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, m)
	}
	return out
}

// stop stops the process on an entry VM without notice.
func (c *testCluster) stop(id string) {
	c.mu.Lock()
	m := c.members[id]
	delete(c.members, id)
	c.mu.Unlock()
	m.cancel()
	m.loops.Wait()
	m.peers.close()
	m.server.Close()
	m.dispatcher.Close()
}

func (c *testCluster) close() {
	for _, m := range c.processes() {
		c.stop(m.o.VM.ID)
	}
}

// submit submits one job.
func (c *testCluster) submit(id, kind string, runs ...time.Duration) {
	m := c.member(id)
	spec := contract.JobSpec{ID: m.table.Mint(1)[0], Service: testService, Customer: "customer"}
	for _, run := range runs {
		spec.Tasks = append(spec.Tasks, contract.TaskSpec{Kind: kind, Payload: payload(run, time.Now())})
	}
	require.NoError(c.t, m.dispatcher.Submit(spec))
}

// offerLoad submits jobs of short tasks with exponential interarrival times and run times of 50 to 150 ms for the given
// duration. load is the offered load in slots: the rate of tasks times their mean run time.
func (c *testCluster) offerLoad(id string, load float64, tasks int, during time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	gap := 0.1 * float64(tasks) / load // mean interarrival time in seconds; 0.1 s is the mean run time
	end := time.Now().Add(during)
	for {
		time.Sleep(time.Duration(random.ExpFloat64() * gap * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		runs := make([]time.Duration, tasks)
		for i := range runs {
			runs[i] = 50*time.Millisecond + time.Duration(random.IntN(int(100*time.Millisecond)))
		}
		c.submit(id, shortKind, runs...)
	}
}

func (c *testCluster) count(name string) int64 {
	var n int64
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.registries {
		n += metrics.GetOrRegisterCounter(name, r).Count()
	}
	return n - c.baseline[name]
}

// summary holds the results of a run.
type summary struct {
	tasks           int64
	wasted          float64 // rejected starts and unused grants per task
	bytesPerSecond  float64 // control traffic per entry VM
	busy            float64 // share of all slots that was busy
	p50, p99, worst time.Duration
	byHome          map[string]time.Duration // mean waits
}

func (c *testCluster) summarise(during time.Duration) summary {
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	s := summary{byHome: make(map[string]time.Duration)}
	for _, waits := range c.workers.waits {
		s.tasks += int64(len(waits))
	}
	s.tasks += int64(len(c.workers.longWait))
	s.wasted = float64(c.count(metric.StartsRejected)+c.count(metric.GrantsUnused)) / float64(max(1, s.tasks))
	s.bytesPerSecond = float64(c.count(metric.PeerBytesSent)) / float64(len(c.processes())) / during.Seconds()
	s.busy = c.workers.busyTime.Seconds() / during.Seconds() / float64(c.slots*len(c.specs))
	var all []time.Duration
	for id, waits := range c.workers.waits {
		var sum time.Duration
		for _, w := range waits {
			sum += w
		}
		s.byHome[id] = sum / time.Duration(max(1, len(waits)))
		all = append(all, waits...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	if n := len(all); n > 0 {
		s.p50, s.p99, s.worst = all[n/2], all[n*99/100], all[n-1]
	}
	return s
}

// counterDeltas returns the counters of slot allocation since the start of the load, for a log line.
func (c *testCluster) counterDeltas() map[string]int64 {
	counts := make(map[string]int64)
	for _, name := range []string{
		metric.DemandsSent, metric.GrantsIssued, metric.GrantsUnused, metric.ReturnsSent, metric.RecallsSent,
		metric.PeerEnvelopesSent, metric.PeerMessagesSent, metric.PeerBytesSent, metric.StartsRejected,
		metric.InvariantChecks, metric.InvariantViolations,
	} {
		counts[name] = c.count(name)
	}
	return counts
}

func (s summary) String() string {
	return fmt.Sprintf("tasks %d, wasted/task %.4f, bytes/s %.0f, busy %.3f, wait p50 %v p99 %v max %v, mean by home %v",
		s.tasks, s.wasted, s.bytesPerSecond, s.busy, s.p50, s.p99, s.worst, s.byHome)
}
