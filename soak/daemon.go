package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/internal/child"
	"github.com/cicadadale/cicadadale/load"
)

const (
	loopback     = "127.0.0.1:0"
	startTimeout = 10 * time.Second
	lookInterval = 20 * time.Millisecond
	// grace is the time that a daemon has between SIGTERM and its end.
	grace = 6 * time.Second
)

// daemon is one edge VM: a child process and the relays between it and the other machines. mu guards the fields below it.
type daemon struct {
	vm     string
	domain string
	front  string
	// readiness and listen are the daemon's other addresses, peers is the relay through which members reach it.
	readiness string
	listen    string
	peers     *load.Relay
	store     *load.Relay
	settings  string
	log       string
	program   string

	mu      sync.Mutex
	process *child.Process
	// busy is set while a fault stops, pauses or ends the process.
	busy bool
	// failed is set when the process has ended by itself.
	failed bool
	ending bool
}

// newDaemon writes the settings of a daemon.
func newDaemon(
	o Options, addresses *load.Addresses, dir, vm, domain, storeAddress string,
) (*daemon, error) {
	d := &daemon{
		vm: vm, domain: domain, program: o.Program, settings: filepath.Join(dir, vm+".toml"),
		log: filepath.Join(dir, vm+".log"),
	}
	for _, a := range []*string{&d.front, &d.readiness, &d.listen} {
		// The daemon is started again at the same addresses.
		address, err := addresses.Free()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	var err error
	if d.peers, err = load.NewRelay(d.listen); err != nil {
		return nil, err
	}
	if d.store, err = load.NewRelay(storeAddress); err != nil {
		return nil, err
	}
	text := fmt.Sprintf("[vm]\nid = %q\nfailure_domain = %q\ncpu_share = 0.4\n[listen]\nfront = %q\nreadiness = %q\n"+
		"peers = %q\nadvertise = %q\n[store]\naddress = %q\n[runs]\nlease_ms = %d\n[stop]\ngrace_s = %v\n",
		vm, domain, d.front, d.readiness, d.listen, d.peers.Address(), d.store.Address(), maxLease.Milliseconds(),
		grace.Seconds())
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// start runs the process and waits until it listens.
func (d *daemon) start() error {
	p, err := child.Start(d.log, d.program, "edge", "--settings", d.settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.process, d.ending = p, false
	d.mu.Unlock()
	go d.watch(p)
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(lookInterval) {
		conn, err := net.Dial("tcp", d.front)
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("daemon %s does not listen, see %s", d.vm, d.log)
}

// watch notes a process that ends without being told to.
func (d *daemon) watch(p *child.Process) {
	<-p.Exited()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == p && !d.ending {
		d.failed = true
	}
}

// reserve claims the process for a fault.
func (d *daemon) reserve() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy {
		return false
	}
	d.busy = true
	return true
}

func (d *daemon) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy = false
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process.Signal(s)
}

// end sends a signal that ends the process and waits for its end. It reports whether that came in time.
func (d *daemon) end(s syscall.Signal, timeout time.Duration) bool {
	d.mu.Lock()
	d.ending = true
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
	_ = d.end(syscall.SIGKILL, startTimeout)
	d.peers.Close()
	d.store.Close()
}
