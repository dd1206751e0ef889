package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/internal/child"
	"github.com/cicadadale/cicadadale/load"
)

const (
	loopback     = "127.0.0.1:0"
	startTimeout = 10 * time.Second
	dialInterval = 20 * time.Millisecond
	// grace is the time that a daemon has to exit after SIGTERM.
	grace = 6 * time.Second
)

// daemon is one edge VM: a child process and the relays between it and other machines. mu guards the fields below it.
type daemon struct {
	vm     string
	domain string
	front  string
	// readiness and listen are the daemon's readiness and peer addresses. Clients reach it through the relay clients, members
	// through the relay peers.
	readiness string
	listen    string
	// source is the IP address from which the daemon calls workers; their relays tell daemons apart by it.
	source   string
	clients  *load.Relay
	peers    *load.Relay
	store    *load.Relay
	settings string
	log      string
	program  string

	mu      sync.Mutex
	process *child.Process
	// reserved is set while a fault acts on the process by signals.
	reserved bool
	// failed is set when the process has exited unexpectedly.
	failed bool
	// stopping is set before the process is signalled to exit.
	stopping bool
	// disturbances are the times of the faults between clients and the daemon.
	disturbances []span
}

// newDaemon opens a daemon's relays and writes its settings file.
func newDaemon(
	o Options, addresses *load.Addresses, dir, vm, domain, storeAddress string,
) (*daemon, error) {
	d := &daemon{
		vm: vm, domain: domain, source: randomLoopback(), program: o.Program, settings: filepath.Join(dir, vm+".toml"),
		log: filepath.Join(dir, vm+".log"),
	}
	for _, a := range []*string{&d.front, &d.readiness, &d.listen} {
		// The addresses are fixed in the settings, because a restarted daemon has to listen on the same ones.
		address, err := addresses.Free()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	var err error
	if d.clients, err = load.NewRelay(d.front); err != nil {
		return nil, err
	}
	if d.peers, err = load.NewSenderRelay(d.listen, peerSender); err != nil {
		return nil, err
	}
	if d.store, err = load.NewRelay(storeAddress); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[vm]\nid = %q\nfailure_domain = %q\ncpu_share = 0.4\n[listen]\nfront = %q\nreadiness = %q\n"+
		"peers = %q\nadvertise = %q\n[store]\naddress = %q\n[runs]\nlease_ms = %d\nsource = %q\n[stop]\ngrace_s = %v\n",
		vm, domain, d.front, d.readiness, d.listen, d.peers.Address(), d.store.Address(), maxLease.Milliseconds(),
		d.source, grace.Seconds())
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process and waits until it listens.
func (d *daemon) start() error {
	p, err := child.Start(d.log, d.program, "edge", "--settings", d.settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.process, d.stopping = p, false
	d.mu.Unlock()
	go d.watchExit(p)
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(dialInterval) {
		conn, err := net.Dial("tcp", d.front)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("daemon %s did not start listening, see %s", d.vm, d.log)
}

// watchExit marks the daemon as failed when the process exits without having been signalled to.
func (d *daemon) watchExit(p *child.Process) {
	<-p.Exited()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == p && !d.stopping {
		d.failed = true
	}
}

// reserve reserves the process for a fault. It reports false if another fault has reserved it.
func (d *daemon) reserve() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reserved {
		return false
	}
	d.reserved = true
	return true
}

func (d *daemon) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved = false
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process.Signal(s)
}

// terminate signals the process to exit and reports whether it has exited before the timeout.
func (d *daemon) terminate(s syscall.Signal, timeout time.Duration) bool {
	d.mu.Lock()
	d.stopping = true
	p := d.process
	d.mu.Unlock()
	p.Signal(s)
	_, ended := p.Wait(timeout)
	return ended
}

func (d *daemon) hasFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

func (d *daemon) close() {
	_ = d.terminate(syscall.SIGKILL, startTimeout)
	d.clients.Close()
	d.peers.Close()
	d.store.Close()
}

// span is a time in which a fault lay between clients and a daemon.
type span struct{ begin, end time.Time }

// disturb injects a fault between clients and the daemon, and records when it did.
func (d *daemon) disturb(inject func()) {
	begin := time.Now()
	inject()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances = append(d.disturbances, span{begin, time.Now()})
}

// disturbed reports whether a fault lay between clients and the daemon at any moment of a time.
func (d *daemon) disturbed(begin, end time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.disturbances, func(s span) bool { return s.begin.Before(end) && begin.Before(s.end) })
}
