package edge

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

const (
	testBackend = "bookings"
	testLease   = time.Second
	testGrace   = 6 * time.Second
	// taskCPU is the CPU need of a task in thousandths of a core: a worker runs two tasks at once.
	taskCPU = 27_000
	// settleTime is the time for the daemons of a new deployment to join and to acquire the workers.
	settleTime = 3 * time.Second
)

// memStore is an in-memory platform store.
type memStore struct {
	network *network

	mu      sync.Mutex
	workers []machine.Listing
	desired contract.Desired
	// evacuations is the set that the operator has published last.
	evacuations contract.Evacuations
	members     map[string]machine.Member
	// gone holds the VMs that were declared gone, listVersion counts the changes of members and gone.
	gone        map[string]bool
	listVersion uint64
	changed     chan struct{}
	// unavailable names the VMs for which the store is unavailable, unavailableSince when that began.
	unavailable      map[string]bool
	unavailableSince map[string]time.Time
}

// readAt returns when a VM last read the store. s.mu is held.
func (s *memStore) readAt(vm string) time.Time {
	if s.unavailable[vm] {
		return s.unavailableSince[vm]
	}
	return time.Now()
}

func newMemStore(n *network) *memStore {
	return &memStore{network: n, members: make(map[string]machine.Member), gone: make(map[string]bool), changed: make(chan struct{}),
		unavailable: map[string]bool{}, unavailableSince: map[string]time.Time{}}
}

func (s *memStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeView is the store as one VM reaches it.
type storeView struct {
	s  *memStore
	vm string
}

func (v storeView) follow(ctx context.Context, f func()) {
	for ctx.Err() == nil {
		v.s.mu.Lock()
		changed, unavailable := v.s.changed, v.s.unavailable[v.vm]
		v.s.mu.Unlock()
		if !unavailable {
			f()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (v storeView) FollowWorkers(ctx context.Context, active func() bool, f func([]machine.Listing)) {
	v.follow(ctx, func() {
		if !active() {
			return
		}
		v.s.mu.Lock()
		list := slices.Clone(v.s.workers)
		v.s.mu.Unlock()
		f(list)
	})
}

func (v storeView) SinceWorkersRead() time.Duration {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	return time.Since(v.s.readAt(v.vm))
}

func (v storeView) FollowDesired(
	ctx context.Context, desired func(contract.Desired), evacuations func(contract.Evacuations),
) {
	v.follow(ctx, func() {
		v.s.mu.Lock()
		d, e := v.s.desired, v.s.evacuations
		v.s.mu.Unlock()
		evacuations(e)
		if d.Version > 0 {
			desired(d)
		}
	})
}

func (v storeView) FollowMembers(ctx context.Context, f func(machine.MemberList)) {
	v.follow(ctx, func() {
		v.s.mu.Lock()
		list := machine.MemberList{Version: v.s.listVersion}
		for _, m := range v.s.members {
			list.Members = append(list.Members, m)
		}
		for vm := range v.s.gone {
			list.Gone = append(list.Gone, vm)
		}
		v.s.mu.Unlock()
		f(list)
	})
}

func (v storeView) PublishMember(_ context.Context, m machine.Member) error {
	v.s.mu.Lock()
	unavailable := v.s.unavailable[v.vm]
	v.s.mu.Unlock()
	if unavailable {
		return errUnreachable
	}
	v.s.update(func() {
		v.s.members[m.VM] = m
		delete(v.s.gone, m.VM)
		v.s.listVersion++
	})
	return nil
}

func (v storeView) RemoveMember(_ context.Context, vm string) error {
	v.s.update(func() {
		delete(v.s.members, vm)
		v.s.listVersion++
	})
	return nil
}

func (v storeView) DecodeDesired(document []byte) (contract.Desired, error) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if string(document) != string(v.s.desired.Document) {
		return contract.Desired{}, fmt.Errorf("version %s is not known", document)
	}
	return v.s.desired, nil
}

// workerCalls are the calls to workers as one VM makes them.
type workerCalls struct {
	d  *deployment
	vm string
}

func (c workerCalls) reach(ctx context.Context, a link.HostAddress) (*standin.RunHost, error) {
	h := c.d.hosts[a.Worker]
	if h == nil || c.d.net.isCut(c.vm, a.Worker) {
		<-ctx.Done()
		return nil, fault.InDoubt.New("worker %s does not answer", a.Worker)
	}
	return h, nil
}

func (c workerCalls) Start(
	ctx context.Context, a link.HostAddress, s link.HostStart,
) (link.StartVerdict, link.HostReply, error) {
	h, err := c.reach(ctx, a)
	if err != nil {
		return 0, link.HostReply{}, err
	}
	return h.Start(ctx, s)
}

func (c workerCalls) Stop(
	ctx context.Context, a link.HostAddress, key contract.RunKey, token uint64,
) (link.HostReply, error) {
	ctx, cancel := c.d.awaitStop(ctx)
	defer cancel()
	h, err := c.reach(ctx, a)
	if err != nil {
		return link.HostReply{}, err
	}
	return h.Stop(ctx, key, token)
}

func (c workerCalls) Poll(ctx context.Context, a link.HostAddress, poll link.HostPoll) (link.PollReply, error) {
	h, err := c.reach(ctx, a)
	if err != nil {
		return link.PollReply{}, err
	}
	return h.Poll(ctx, poll)
}

func (c workerCalls) CloseIdleConnections(link.HostAddress) {}

// runObserver observes all workers and finds tasks with two runs at the same time.
type runObserver struct {
	mu       sync.Mutex
	running  map[contract.RunKey][]contract.RunKey
	starts   map[contract.RunKey]int
	done     map[contract.RunKey]int
	overlaps []string
	// started names the workers on which tasks have started.
	started []string
}

func (r *runObserver) Started(worker string, key contract.RunKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := key.Task()
	if others := r.running[task]; len(others) > 0 {
		r.overlaps = append(r.overlaps, fmt.Sprintf("%s on %s beside %v at %v", key, worker, others, time.Now()))
	}
	r.running[task] = append(r.running[task], key)
	r.starts[task]++
	r.started = append(r.started, worker)
}

func (r *runObserver) Ended(_ string, key contract.RunKey, state contract.RunState, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	task := key.Task()
	if i := slices.Index(r.running[task], key); i >= 0 {
		r.running[task] = slices.Delete(r.running[task], i, i+1)
	}
	if state == contract.RunDone {
		r.done[task]++
	}
}

func (r *runObserver) startsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for k, count := range r.starts {
		if k.Batch == job {
			n += count
		}
	}
	return n
}

// runningTasks returns the tasks that have a run.
func (r *runObserver) runningTasks() []contract.RunKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []contract.RunKey
	for task, runs := range r.running {
		if len(runs) > 0 {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// testLog keeps the log lines of all daemons of a test.
type testLog struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (l *testLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// linesWith returns the lines that contain a text.
func (l *testLog) linesWith(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// deployment runs the daemons, workers and store of a deployment in one process.
type deployment struct {
	t        *testing.T
	net      *network
	store    *memStore
	hosts    map[string]*standin.RunHost
	observer *runObserver
	log      *testLog
	// daemonsMu guards changes of daemons, and reads by other goroutines than that of the test.
	daemonsMu sync.Mutex
	daemons   map[string]*Daemon
	// unguarded is set if the workers start whatever they are told to start.
	unguarded bool
	overload  contract.OverloadPolicy
	clock     func() time.Time
	plan      func(key contract.RunKey) standin.RunPlan
	wg        sync.WaitGroup
	// workerNet is the network to the workers; nil for one without faults of its own.
	workerNet *workerNetwork
	// stopDelay is the time, in nanoseconds, by which all owners are late with the calls that stop runs.
	stopDelay atomic.Int64
}

// deploymentOptions are the properties of a deployment beside its size.
type deploymentOptions struct {
	workerNet *workerNetwork
	unguarded bool
	overload  contract.OverloadPolicy
	// clock is the clock of the daemons; nil for that of the test.
	clock func() time.Time
}

func newDeployment(t *testing.T, zones, daemonsPerZone, workersPerZone int) *deployment {
	return newDeploymentWith(deploymentOptions{}, t, zones, daemonsPerZone, workersPerZone)
}

// newDeploymentOver returns a deployment whose daemons call the workers over w.
func newDeploymentOver(w *workerNetwork, t *testing.T, zones, daemonsPerZone, workersPerZone int) *deployment {
	return newDeploymentWith(deploymentOptions{workerNet: w}, t, zones, daemonsPerZone, workersPerZone)
}

// newDeploymentOf returns a deployment whose workers guard their capacity unless they are unguarded.
func newDeploymentOf(t *testing.T, zones, daemonsPerZone, workersPerZone int, unguarded bool) *deployment {
	return newDeploymentWith(deploymentOptions{unguarded: unguarded}, t, zones, daemonsPerZone, workersPerZone)
}

func newDeploymentWith(o deploymentOptions, t *testing.T, zones, daemonsPerZone, workersPerZone int) *deployment {
	n, w, unguarded := newNetwork(), o.workerNet, o.unguarded
	d := &deployment{
		t: t, net: n, store: newMemStore(n), hosts: make(map[string]*standin.RunHost), daemons: make(map[string]*Daemon),
		log: &testLog{}, workerNet: w, unguarded: unguarded, overload: o.overload, clock: o.clock,
		observer: &runObserver{
			running: make(map[contract.RunKey][]contract.RunKey), starts: make(map[contract.RunKey]int),
			done: make(map[contract.RunKey]int),
		},
		plan: func(contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: 100 * time.Millisecond} },
	}
	if w != nil {
		w.d = d
	}
	d.store.desired = contract.Desired{
		Version: 1, Document: []byte("1"),
		Backends: map[string]contract.BackendPolicy{testBackend: {Name: testBackend, GuardsCapacity: !unguarded}},
		Routes:   []contract.Route{{Name: "r", Host: "h", PathPrefix: "/q/", Backend: testBackend, Attempts: 2}},
	}
	for z := range zones {
		for w := range workersPerZone {
			d.addWorker(zoneName(z), fmt.Sprintf("worker-%d-%d", z, w))
		}
	}
	for z := range zones {
		for i := range daemonsPerZone {
			d.startDaemon(zoneName(z), fmt.Sprintf("edge-%d-%d", z, i))
		}
	}
	time.Sleep(settleTime)
	return d
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

func (d *deployment) addWorker(zone, id string) {
	capacity := machine.Resources{CPUMillis: 64_000, MemoryMB: 131_072}
	h := standin.NewRunHost(standin.RunHostOptions{
		ID: id, Capacity: capacity, MaxLease: testLease, Observer: d.observer, Unguarded: d.unguarded,
		Plan: func(k contract.RunKey) standin.RunPlan { return d.plan(k) },
		Need: func(contract.RunKey) machine.Resources { return machine.Resources{CPUMillis: taskCPU, MemoryMB: 64} },
	})
	d.hosts[id] = h
	if d.workerNet != nil {
		d.workerNet.setListening(id, id)
	}
	d.store.update(func() {
		d.store.workers = append(d.store.workers, machine.Listing{
			Worker: id, Backend: testBackend, Address: id, Zone: zone, StartTime: h.StartTime(), Capacity: capacity,
		})
	})
}

func (d *deployment) startDaemon(zone, vm string) *Daemon {
	out := io.Writer(d.log)
	if os.Getenv("EDGE_TEST_LOG") != "" {
		out = io.MultiWriter(d.log, os.Stderr)
	}
	logger := slog.New(slog.NewTextHandler(out, nil)).With("vm", vm)
	calls, now := link.HostCalls(workerCalls{d, vm}), time.Now
	if d.clock != nil {
		now = d.clock
	}
	if d.workerNet != nil {
		calls, now = faultyCalls{d.workerNet, vm}, d.workerNet.now(vm)
	}
	daemon, err := New(Options{
		Self: machine.Member{
			VM: vm, Incarnation: machine.NewIncarnation(), Address: vm, Domain: zone, CPUMillis: 400,
		},
		Store: storeView{d.store, vm}, Calls: calls, Peers: d.net.listen(vm), Lease: testLease, Grace: testGrace, Overload: d.overload,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return d.net.dial(ctx, vm, address) },
		Now:  now, Logger: logger, Metrics: metrics.NewRegistry(),
	})
	require.NoError(d.t, err)
	d.daemonsMu.Lock()
	defer d.daemonsMu.Unlock()
	d.daemons[vm] = daemon
	return daemon
}

// killDaemon ends a daemon at once, without stopping its runs.
func (d *deployment) killDaemon(vm string) {
	d.daemonsMu.Lock()
	daemon := d.daemons[vm]
	delete(d.daemons, vm)
	d.daemonsMu.Unlock()
	daemon.Close()
	d.net.closeConns(vm)
}

func (d *deployment) close() {
	d.end()
	d.checkOverlaps()
}

// end ends all daemons and connections.
func (d *deployment) end() {
	for vm := range d.daemons {
		d.killDaemon(vm)
	}
	d.net.closeConns("")
	d.wg.Wait()
}

// checkOverlaps fails the test if a task had two runs at the same time, and prints the daemons' log lines about it.
func (d *deployment) checkOverlaps() {
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	for _, overlap := range d.observer.overlaps {
		task, _, _ := strings.Cut(overlap, "#")
		for _, line := range d.log.linesWith(task) {
			d.t.Log(line)
		}
	}
	require.Empty(d.t, d.observer.overlaps, "tasks that ran twice at the same time")
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }
