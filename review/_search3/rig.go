// Command search3 is the random search of the third review: edge daemons as processes of their own, with stand-ins around them. Its seed is
// SEED; SAMEKIND=1 gives both kinds of workers the same capacity. It is no case, and no part of CI.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/contract"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/standin"
)

// Bounds and names of the deployment, as on a small site.
const (
	maxHold      = time.Second
	heartbeat    = 1500 * time.Millisecond
	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
	resendPause  = 1300 * time.Millisecond

	service = "orders"
	host    = "orders.example"
	prefix  = "/orders/"
)

// record is the protocol of one play: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// rig holds all parts of one play.
type rig struct {
	dir     string
	program string
	rec     *record
	store   *standin.KeyedLog
	workers []*worker
	daemons []*daemon
	done    chan struct{}
}

func newRig(out io.Writer) (*rig, error) {
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	program := os.Getenv("CICADADALE")
	if program == "" {
		program = "target/cicadadale"
	}
	return &rig{
		dir: dir, program: program, rec: &record{began: time.Now(), out: out}, store: standin.ServeKeyedLog(l),
		done: make(chan struct{}),
	}, nil
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	close(r.done)
	for _, d := range r.daemons {
		d.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", r.dir)
	}
}

// publish writes a desired state with one queue. guards is the admission check of the workers.
func (r *rig) publish(version int, guards bool) {
	doc, _ := json.Marshal(map[string]any{
		"version": version, "limits": map[string]any{},
		"routes": []map[string]any{{
			"name": "q", "host": host, "path_prefix": prefix, "service": service, "priority": 0, "attempts": 3,
			"slo_factor": 2.0, "slo_ms": 60000, "timeout_ms": 60000,
		}},
		"services": []map[string]any{{"name": service, "admission_check": guards}},
	})
	r.store.Put("keyed.op", "config", doc)
	r.rec.add("operator: desired state %d, admission_check %v", version, guards)
}

// worker is one worker of the platform with its entry in the store.
type worker struct {
	rig     *rig
	id      string
	zone    string
	address string
	host    *standin.RunHost
	server  *standin.HostServer

	mu       sync.Mutex
	capacity machine.Resources
	labels   []string
	state    string
	sequence int
	silent   bool
	// running holds the runs that are on the worker.
	running map[contract.RunKey]bool
}

func (w *worker) born() int64 { return w.host.StartTime() }

// Started implements standin.RunObserver.
func (w *worker) Started(_ string, k contract.RunKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[k] = true
	w.rig.rec.add("worker %s: started %s, %d at work, room for %d MB", w.id, name(k), len(w.running), w.capacity.MemoryMB)
}

// Ended implements standin.RunObserver.
func (w *worker) Ended(_ string, k contract.RunKey, state contract.RunState, _ time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, k)
	w.rig.rec.add("worker %s: %s ended (%s)", w.id, name(k), state)
}

func name(k contract.RunKey) string {
	return fmt.Sprintf("%s.0.%d.%d run %d", k.Batch, k.Step, k.Index, k.Run)
}

// addWorker starts a worker that runs each task for the time that plan returns.
func (r *rig) addWorker(id, zone string, capacity machine.Resources, guards bool, need machine.Resources,
	plan func(contract.RunKey) standin.RunPlan,
) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{rig: r, id: id, zone: zone, address: l.Addr().String(), capacity: capacity, state: "ready",
		labels: []string{"a", "r-" + id}, running: make(map[contract.RunKey]bool)}
	w.host = standin.NewRunHost(standin.RunHostOptions{
		ID: id, Capacity: capacity, MaxLease: maxHold, Plan: plan, Observer: w, Unguarded: !guards,
		Need: func(contract.RunKey) machine.Resources { return need },
	})
	w.server = standin.ServeHost(l, id, w.host)
	r.workers = append(r.workers, w)
	w.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeat):
				w.beat()
			case <-r.done:
				return
			}
		}
	}()
	return w, nil
}

// beat writes the entry of the worker, unless it is down.
func (w *worker) beat() {
	// The stand-in of the worker calls Started and Ended with its lock held.
	born := w.born()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	w.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": w.state,
		"cold_left_ms": 0, "sequence": w.sequence, "born": born, "labels": w.labels,
		"capacity": map[string]int{"cpu": w.capacity.CPUMillis, "mem_mb": w.capacity.MemoryMB, "gpus": 0},
	})
	w.rig.store.Put("keyed.servers", w.id, entry)
}

// crash makes the worker dark: it answers nothing and sends nothing.
func (w *worker) crash() {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	w.rig.rec.add("worker %s: crashes, dark", w.id)
	w.host.Crash()
}

// restart begins a new life of the worker under its id, with the given capacity.
func (w *worker) restart(capacity machine.Resources, labels []string) {
	w.host.SetCapacity(capacity)
	w.host.Restart()
	w.mu.Lock()
	w.silent, w.sequence, w.capacity, w.labels = false, 0, capacity, labels
	w.mu.Unlock()
	w.beat()
	w.rig.rec.add("worker %s: starts again, room for %d MB, labels %v", w.id, capacity.MemoryMB, labels)
}

// daemon is an edge daemon: a process with the command of the deploy file.
type daemon struct {
	rig      *rig
	vm       string
	front    string
	ready    string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addDaemon writes the settings of a daemon from the template of the deploy file and starts it.
func (r *rig) addDaemon(vm, zone string) (*daemon, error) {
	d := &daemon{rig: r, vm: vm, front: freeAddress(), ready: freeAddress(), settings: filepath.Join(r.dir, vm+".toml")}
	text, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return nil, err
	}
	filled := string(text)
	for field, value := range map[string]string{
		"node_name": vm, "zone": zone, "limits.cpu_share": "0.4", "limits.memory_mb": "284", "limits.max_fds": "4100",
		"listen.front": d.front, "listen.readiness": d.ready, "platform.address": r.store.Address(),
		"{ip}}:{{internal_ports.0": freeAddress(), "{ip}}:{{internal_ports.1": freeAddress(),
		"bounds.max_hold_ms": "1000", "bounds.grace_s": "6",
	} {
		if strings.HasPrefix(field, "{") {
			filled = strings.ReplaceAll(filled, "{"+field+"}}", value)
			continue
		}
		filled = strings.ReplaceAll(filled, "{{"+field+"}}", value)
	}
	if err := os.WriteFile(d.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, d.start()
}

func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.rig.dir, d.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.cmd = exec.Command(d.rig.program, "edge")
	d.cmd.Env = append(os.Environ(), "CICADADALE_CONFIG="+d.settings, "GOMAXPROCS=1")
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) { _ = c.Wait(); close(exited) }(d.cmd, d.exited)
	d.rig.rec.add("daemon %s: started", d.vm)
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.rig.rec.add("daemon %s: %s", d.vm, s)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) kill() {
	if d.cmd != nil {
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
}

var errNotReady = errors.New("the daemons were not ready in time")

// awaitReady waits until all daemons report that they are ready, and a moment more for them to acquire their workers.
func (r *rig) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, d := range r.daemons {
			resp, err := http.Get("http://" + d.ready + "/-/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(r.daemons) {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return errNotReady
}

// call makes one call of a client. A status of 0 means that there was no answer.
func (r *rig) call(d *daemon, method, id string, body []byte, limit time.Duration) (int, string) {
	r.rec.add("client: %s %s at %s", method, id, d.vm)
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+d.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		r.rec.add("client: no answer to %s %s at %s (%v)", method, id, d.vm, errors.Unwrap(err))
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	r.rec.add("client: %s %s at %s answered %d %s", method, id, d.vm, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// job returns the body of a best-effort job.
func job(steps ...map[string]any) []byte {
	b, _ := json.Marshal(map[string]any{"task_spec": "spec", "best_effort": true, "steps": steps})
	return b
}
