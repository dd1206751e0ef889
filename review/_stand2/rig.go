package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/load"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Bounds of the deployment, as in the first site file of the users' pages.
const (
	maxHold    = time.Second
	grace      = 6 * time.Second
	cancelTime = 3 * time.Second
	heartbeat  = 1500 * time.Millisecond
	// settleTime is the time from the start of the daemons to the first request; traffic starts 10 s after the machines.
	settleTime = 10 * time.Second
)

const (
	routeHost    = "nony24.example"
	routePrefix  = "/lohu930/"
	service      = "bookings"
	startTimeout = 10 * time.Second
	dialInterval = 20 * time.Millisecond
	recordFile   = "record.txt"
)

// smallKind and largeKind are the capacities of the two kinds of workers of the first site.
var (
	smallKind = machine.Resources{CPUMillis: 64000, MemoryMB: 131072}
	largeKind = machine.Resources{CPUMillis: 96000, MemoryMB: 196608}
)

// zones lists the number of daemons in each zone, as in the first site file.
var zones = []struct {
	name    string
	daemons int
}{{"cork-a", 2}, {"cork-b", 2}, {"limerick", 1}, {"kerry", 1}}

// recorder writes the record of a case. mu guards the file.
type recorder struct {
	begin time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, recordFile))
	if err != nil {
		return nil, err
	}
	return &recorder{begin: time.Now(), file: f}, nil
}

// printf adds a line with the time since the start of the case.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that cannot be written is missing in the record; the result of the case does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// startedRun is the start of a run as seen by its worker.
type startedRun struct {
	key    contract.RunKey
	worker string
	// caller is the daemon whose call has started the run.
	caller string
	at     time.Time
	// ended is when the run has ended; zero for one that goes on.
	ended time.Time
}

// worker is a stand-in of a worker behind a relay, which tells its callers apart.
type worker struct {
	id     string
	zone   string
	host   *standin.RunHost
	server *standin.HostServer
	relay  *load.Relay

	mu       sync.Mutex
	capacity machine.Resources
	// silent is set while the worker writes no reports.
	silent bool
}

// daemon is an edge daemon: a child process, and the relays through which clients and other daemons reach it.
type daemon struct {
	vm        string
	zone      string
	source    string
	front     string
	readiness string
	clients   *load.Relay
	peers     *load.Relay
	settings  string
	log       string

	mu      sync.Mutex
	process *process
}

// rig is a small deployment. mu guards the fields below it.
type rig struct {
	*recorder
	program string
	tmp     string
	store   *standin.KeyedLog
	workers []*worker
	daemons []*daemon
	// duration returns how long the runs of a task take.
	duration func(contract.RunKey) time.Duration
	// need is the size of each task.
	need machine.Resources
	// unguarded is set if the workers start whatever they are told to start, kind is the capacity of the workers.
	unguarded bool
	kind      machine.Resources
	stop      context.CancelFunc
	// quiet is set if starts and ends are not recorded one by one.
	quiet atomic.Bool

	mu      sync.Mutex
	started []startedRun
}

// newRig starts the store, the workers and the daemons. workersPerZone is the number of workers in each zone.
func newRig(r *recorder, program string, workersPerZone int, need machine.Resources, duration func(contract.RunKey) time.Duration) (*rig, error) {
	return newRigOf(r, program, workersPerZone, need, duration, smallKind, false)
}

// newRigOf is newRig for workers of another kind, which may not guard their capacity.
func newRigOf(
	r *recorder, program string, workersPerZone int, need machine.Resources, duration func(contract.RunKey) time.Duration,
	kind machine.Resources, unguarded bool,
) (*rig, error) {
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &rig{recorder: r, program: program, tmp: tmp, duration: duration, need: need, stop: cancel,
		kind: kind, unguarded: unguarded}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return g, err
	}
	g.store = standin.ServeKeyedLog(l)
	g.store.Put("keyed.op", "config", desired(1, "jobs", routePrefix, !unguarded))
	for _, z := range zones {
		for n := range workersPerZone {
			if err := g.addWorker(z.name, fmt.Sprintf("worker-%s-%d", z.name, n+1)); err != nil {
				return g, err
			}
		}
	}
	go g.renewEntries(ctx)
	addresses := load.NewAddresses(randomLoopback())
	for _, z := range zones {
		for n := range z.daemons {
			if err := g.addDaemon(addresses, fmt.Sprintf("edge-%s-%d", z.name, n+1), z.name, l.Addr().String()); err != nil {
				return g, err
			}
		}
	}
	for _, d := range g.daemons {
		if err := g.start(d); err != nil {
			return g, err
		}
	}
	time.Sleep(settleTime)
	return g, nil
}

// desired returns a desired state with one queue.
func desired(version int, name, prefix string, guards bool) []byte {
	document, err := json.Marshal(map[string]any{
		"version": version, "limits": map[string]any{},
		"routes": []map[string]any{{
			"name": name, "host": routeHost, "path_prefix": prefix, "service": service, "priority": 0, "attempts": 2,
			"slo_factor": 1.6, "slo_ms": 60, "timeout_ms": time.Minute.Milliseconds(),
		}},
		"services": []map[string]any{{"name": service, "admission_check": guards}},
	})
	if err != nil {
		panic(err)
	}
	return document
}

// close ends all processes and stand-ins.
func (g *rig) close() {
	g.stop()
	for _, d := range g.daemons {
		d.mu.Lock()
		p := d.process
		d.mu.Unlock()
		if p != nil {
			p.signal(syscall.SIGKILL)
			_ = p.wait(startTimeout)
		}
		d.clients.Close()
		d.peers.Close()
	}
	for _, w := range g.workers {
		w.relay.Close()
	}
	_ = os.RemoveAll(g.tmp)
}

// randomLoopback returns a random loopback address.
func randomLoopback() string {
	part := func() int { return 1 + rand.IntN(250) }
	return fmt.Sprintf("127.%d.%d.%d", part(), part(), part())
}

func (g *rig) addWorker(zone, id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	relay, err := load.NewRelay(l.Addr().String())
	if err != nil {
		return err
	}
	w := &worker{id: id, zone: zone, relay: relay, capacity: g.kind}
	w.host = standin.NewRunHost(standin.RunHostOptions{
		ID: id, Capacity: g.kind, MaxLease: maxHold, Observer: g, Unguarded: g.unguarded,
		Plan: func(k contract.RunKey) standin.RunPlan { return standin.RunPlan{Duration: g.duration(k)} },
		Need: func(contract.RunKey) machine.Resources { return g.need },
	})
	w.server = standin.ServeHost(l, id, w.host)
	g.workers = append(g.workers, w)
	g.putEntry(w, 1)
	return nil
}

// putEntry writes a worker's report about itself.
func (g *rig) putEntry(w *worker, sequence int) {
	w.mu.Lock()
	capacity, silent := w.capacity, w.silent
	w.mu.Unlock()
	if silent {
		return
	}
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": w.relay.Address(), "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence, "born": w.host.StartTime(), "labels": []string{"a", "r-" + w.zone},
		"capacity": map[string]int{"cpu": capacity.CPUMillis, "mem_mb": capacity.MemoryMB, "gpus": 0},
	})
	if err == nil {
		g.store.Put("keyed.servers", w.id, entry)
	}
}

// renewEntries writes the reports of all workers again and again.
func (g *rig) renewEntries(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, w := range g.workers {
			g.putEntry(w, sequence)
		}
	}
}

// Started implements standin.RunObserver.
func (g *rig) Started(id string, key contract.RunKey) {
	caller := "?"
	for _, w := range g.workers {
		if w.id == id {
			caller = g.daemonFrom(w.relay.LastSender())
		}
	}
	g.mu.Lock()
	g.started = append(g.started, startedRun{key: key, worker: id, caller: caller, at: time.Now()})
	g.mu.Unlock()
	if !g.quiet.Load() {
		g.printf("%s starts %s on the order of %s", id, key, caller)
	}
}

// Ended implements standin.RunObserver.
func (g *rig) Ended(id string, key contract.RunKey, state contract.RunState, at time.Time) {
	g.mu.Lock()
	for i := range g.started {
		if r := &g.started[i]; r.key == key && r.worker == id && r.ended.IsZero() {
			r.ended = at
		}
	}
	g.mu.Unlock()
	if !g.quiet.Load() {
		g.printf("%s ends %s: %s", id, key, state)
	}
}

// runs returns the starts so far.
func (g *rig) runs() []startedRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]startedRun(nil), g.started...)
}

// daemonFrom returns the name of the daemon that calls workers from an address.
func (g *rig) daemonFrom(source string) string {
	for _, d := range g.daemons {
		if d.source == source {
			return d.vm
		}
	}
	return source
}

func (g *rig) daemon(vm string) *daemon {
	for _, d := range g.daemons {
		if d.vm == vm {
			return d
		}
	}
	panic("no daemon " + vm)
}

func (g *rig) addDaemon(addresses *load.Addresses, vm, zone, store string) error {
	d := &daemon{
		vm: vm, zone: zone, source: randomLoopback(), settings: filepath.Join(g.tmp, vm+".toml"), log: filepath.Join(g.tmp, vm+".log"),
	}
	var listen string
	for _, a := range []*string{&d.front, &d.readiness, &listen} {
		address, err := addresses.Free()
		if err != nil {
			return err
		}
		*a = address
	}
	var err error
	if d.clients, err = load.NewRelay(d.front); err != nil {
		return err
	}
	if d.peers, err = load.NewSenderRelay(listen, peerSender); err != nil {
		return err
	}
	g.daemons = append(g.daemons, d)
	text := fmt.Sprintf("[vm]\nid = %q\nfailure_domain = %q\ncpu_share = 0.4\n[listen]\nfront = %q\nreadiness = %q\n"+
		"peers = %q\nadvertise = %q\n[store]\naddress = %q\n[runs]\nlease_ms = %d\nsource = %q\n[stop]\ngrace_s = %v\n"+
		"[log]\nlevel = \"info\"\nformat = \"json\"\n",
		vm, zone, d.front, d.readiness, listen, d.peers.Address(), store, maxHold.Milliseconds(), d.source, grace.Seconds())
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts a daemon with the command of the deploy file and waits until it listens.
func (g *rig) start(d *daemon) error {
	p, err := startProcess(d.log, g.program, "edge", "--settings", d.settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.process = p
	d.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(dialInterval) {
		conn, err := net.Dial("tcp", d.front)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("daemon %s did not start listening", d.vm)
}

// peerSender names the sender of a connection between daemons by its first envelope; see load.SenderFunc.
func peerSender(first []byte) (vm string, decided bool) {
	var envelope []byte
	for {
		rest, frame, ok, err := drpcwire.ParseFrame(first)
		if err != nil {
			return "", true
		}
		if !ok {
			return "", false
		}
		first = rest
		if frame.Kind != drpcwire.KindMessage {
			continue
		}
		envelope = append(envelope, frame.Data...)
		if frame.Done {
			break
		}
	}
	var e api.Envelope
	if err := proto.Unmarshal(envelope, &e); err != nil {
		return "", true
	}
	return e.GetFromVm(), true
}

// cutOff partitions a daemon from all others in both directions. Clients, workers and the store still reach it.
func (g *rig) cutOff(d *daemon) (heal func()) {
	var outages []*load.Outage
	for _, o := range g.daemons {
		if o != d {
			outages = append(outages, d.peers.Partition(o.vm), o.peers.Partition(d.vm))
		}
	}
	return func() {
		for _, o := range outages {
			o.End()
		}
	}
}

// answer is the answer to a request of a client.
type answer struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return strconv.Itoa(a.status) + " " + a.body
}

// call sends one request of a client to a daemon, on a connection of its own.
func (g *rig) call(d *daemon, method, id string, body []byte, limit time.Duration) answer {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.clients.Address()+routePrefix+id, strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	req.Host = routeHost
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), err: err, at: time.Now()}
}

// newID returns the id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// lastLine returns the last line of a log.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// keepLogs copies the logs of the daemons to a folder that CASE_LOGS names, for a look at a failure.
func (g *rig) keepLogs() {
	dir := os.Getenv("CASE_LOGS")
	if dir == "" {
		return
	}
	for _, d := range g.daemons {
		text, err := os.ReadFile(d.log)
		if err == nil {
			_ = os.WriteFile(filepath.Join(dir, d.vm+".log"), text, 0o600)
		}
	}
}
