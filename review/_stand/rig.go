package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/cicadadale"
	// Figures of the small sites.
	cpuShare   = 0.4
	maxHoldMs  = 1000
	graceS     = 6
	heartbeat  = 1500 * time.Millisecond
	routeHost  = "nony24.example"
	serviceID  = "huvo11a"
	zoneName   = "cork-a"
	startLimit = 10 * time.Second
)

// record is the file that says what was sent, answered and run. mu guards the file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begin: time.Now()}, nil
}

// line writes a line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, text)
	fmt.Println(text)
}

func (r *record) close() { _ = r.file.Close() }

// rig is a small deployment.
type rig struct {
	rec     *record
	dir     string
	store   *store
	plans   *plans
	workers []*worker
	daemons []*daemon
}

func newRig(rec *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, dir: dir, plans: newPlans(rec)}
	if r.store, err = serveStore(); err != nil {
		return nil, err
	}
	return r, nil
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		r.rec.line("logs of the daemons are kept in the temporary folder")
		fmt.Println(r.dir)
	}
}

// route is a route of the desired state, named as on the platform's pages.
type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Kind       string  `json:"kind"`
	TimeoutMs  int     `json:"timeout_ms"`
	SloMs      int     `json:"slo_ms"`
	Priority   int     `json:"priority"`
	Service    string  `json:"service"`
	Attempts   int     `json:"attempts"`
	SloFactor  float64 `json:"slo_factor"`
}

func newRoute(name, prefix string, timeout time.Duration) route {
	return route{
		Name: name, Host: routeHost, PathPrefix: prefix, Kind: "non_idempotent", TimeoutMs: int(timeout.Milliseconds()),
		SloMs: 60, Priority: 1, Service: serviceID, Attempts: 4, SloFactor: 1.6,
	}
}

// publish writes a desired state to the store.
func (r *rig) publish(version int, routes ...route) error {
	doc, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": serviceID, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_check": true, "standby": false,
		}},
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		return err
	}
	r.store.put("keyed.op", "config", doc)
	r.rec.line("operator: desired state %d published", version)
	return nil
}

// addWorker starts a worker of the given kind and rack.
func (r *rig) addWorker(id, kind, rack string) (*worker, error) {
	w, err := newWorker(r, id, kind, rack)
	if err == nil {
		r.workers = append(r.workers, w)
	}
	return w, err
}

// daemon is one edge daemon, a process of its own.
type daemon struct {
	r         *rig
	vm        string
	front     string
	readiness string
	metrics   string
	settings  string
	log       string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Ports from firstPort on, below those that systems use for outgoing connections: an address must be free again when its
// process or worker starts anew.
const (
	firstPort = 20000
	ports     = 12000
	portTries = 100
)

// listen listens on a free address.
func listen() (net.Listener, error) {
	var err error
	for range portTries {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addDaemon starts an edge daemon with the command of the deploy file, and settings as the template makes them.
func (r *rig) addDaemon(vm, zone string) (*daemon, error) {
	d := &daemon{r: r, vm: vm, settings: filepath.Join(r.dir, vm+".toml"), log: filepath.Join(r.dir, vm+".log")}
	var peers string
	for _, a := range []*string{&d.front, &d.readiness, &d.metrics, &peers} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	text := fmt.Sprintf("[vm]\nid = %q\nfailure_domain = %q\ncpu_share = %v\n\n[listen]\nfront = %q\nreadiness = %q\n"+
		"peers = %q\nmetrics = %q\n\n[store]\naddress = %q\n\n[runs]\nlease_ms = %d\n\n[stop]\ngrace_s = %d\n\n"+
		"[log]\nlevel = \"info\"\nformat = \"json\"\n",
		vm, zone, cpuShare, d.front, d.readiness, peers, d.metrics, r.store.address, maxHoldMs, graceS)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, nil
}

// start starts the process.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CICADADALE_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.r.rec.line("daemon %s started, pid %d, front %s", d.vm, cmd.Process.Pid, d.front)
	go func() {
		err := cmd.Wait()
		d.r.rec.line("daemon %s has ended: %v", d.vm, err)
		close(exited)
	}()
	return nil
}

// process returns the current process and the channel that is closed when it has ended.
func (d *daemon) process() (*os.Process, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process, d.exited
}

func (d *daemon) signal(s syscall.Signal) {
	p, _ := d.process()
	d.r.rec.line("daemon %s: signal %v", d.vm, s)
	_ = p.Signal(s)
}

func (d *daemon) kill() {
	p, exited := d.process()
	_ = p.Kill()
	<-exited
}

// awaitReady waits until a daemon answers the readiness check of the platform.
func (d *daemon) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < startLimit; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.readiness + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("daemon %s does not become ready", d.vm)
}
