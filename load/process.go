package load

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadadale/cicadadale/internal/child"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/zone"
)

const (
	// Ports of entry daemons lie below the range from which the kernel takes the ports of outgoing connections, so that
	// a daemon that is started again finds its ports free.
	firstPort, lastPort = 20000, 32000
	portAttempts        = 200
	listenTimeout       = 10 * time.Second
	// fencedMessage is a part of the error with which a daemon ends that the others count as gone.
	fencedMessage = "count this process as gone"
)

// EntryProcess is an entry VM whose daemon runs as a child process. mu guards the process and the flags; the other
// fields do not change.
type EntryProcess struct {
	ID       string
	Domain   zone.DomainID
	Callers  string
	Peers    string
	Admin    string
	settings string
	log      string
	view     *View
	// ended is told of a daemon that ended without being told to.
	ended func(p *EntryProcess, err error)

	mu        sync.Mutex
	process   *child.Process
	expected  bool
	busy      bool
	retired   bool
	disturbed bool
}

// EntrySetup is what an entry daemon's settings are made from.
type EntrySetup struct {
	ID     string
	Domain zone.DomainID
	Dir    string
	Schema string
	Log    string
	Slots  int
	View   *View
	// Addresses gives out those that the daemon listens on.
	Addresses *Addresses
	LogLevel  string
	Ended     func(p *EntryProcess, err error)
}

// NewEntryProcess writes the settings of a daemon.
func NewEntryProcess(s EntrySetup) (*EntryProcess, error) {
	p := &EntryProcess{
		ID: s.ID, Domain: s.Domain, settings: filepath.Join(s.Dir, s.ID+".toml"), log: filepath.Join(s.Dir, s.ID+".log"),
		view: s.View, ended: s.Ended,
	}
	for _, address := range []*string{&p.Callers, &p.Peers, &p.Admin} {
		a, err := s.Addresses.Free()
		if err != nil {
			return nil, err
		}
		*address = a
	}
	text := fmt.Sprintf("[vm]\nid = %q\nfailure_domain = %d\nregion = \"pwani\"\n[listen]\ncallers = %q\npeers = %q\n"+
		"admin = %q\n[platform]\nlog = %q\nlist = %q\n[schema]\nfiles = [%q]\n[workers]\nconnections_per_worker = %d\n"+
		"[log]\nlevel = %q\n", s.ID, s.Domain, p.Callers, p.Peers, p.Admin, "http://"+s.Log, "http://"+s.View.Address(),
		s.Schema, s.Slots, s.LogLevel)
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// Addresses gives out loopback addresses. mu guards the map.
type Addresses struct {
	ip string

	mu    sync.Mutex
	given map[string]bool
}

// NewAddresses returns addresses of one IP number.
func NewAddresses(ip string) *Addresses { return &Addresses{ip: ip, given: make(map[string]bool)} }

// Free draws an address that nothing listens on and that was not given out before, below the ports of outgoing connections.
// It is no part of the seeded choices of a run.
func (a *Addresses) Free() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last error
	for range portAttempts {
		address := fmt.Sprintf("%s:%d", a.ip, firstPort+rand.IntN(lastPort-firstPort))
		if a.given[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		a.given[address] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port: %w", last)
}

// VM returns the entry of the platform's list.
func (p *EntryProcess) VM() platform.VM {
	return platform.VM{
		ID: p.ID, Kind: platform.KindEntry, Domain: p.Domain, PeerAddress: p.Peers, CallerAddress: p.Callers,
	}
}

// Start runs the daemon and waits until it listens for callers.
func (p *EntryProcess) Start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	process, err := child.Start(p.log, self, "entry", "--settings", p.settings)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.process, p.disturbed, p.expected = process, false, false
	p.mu.Unlock()
	go func() {
		<-process.Exited()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		if !expected && p.ended != nil {
			p.ended(p, process.Err())
		}
	}()
	return p.waitListening(process.Exited())
}

func (p *EntryProcess) waitListening(exited <-chan struct{}) error {
	deadline := time.Now().Add(listenTimeout)
	for time.Now().Before(deadline) {
		conn, err := net.DialTimeout("tcp", p.Callers, time.Second)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-exited:
			return fmt.Errorf("entry daemon %s ended at start, see %s", p.ID, p.log)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("entry daemon %s does not listen", p.ID)
}

// Signal sends a signal to the daemon.
func (p *EntryProcess) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.process.Signal(s)
}

// Expect says that the daemon is about to be ended on purpose.
func (p *EntryProcess) Expect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

// Fenced reports whether the daemon's last words are that the other entry VMs count it as gone.
func (p *EntryProcess) Fenced() bool {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Contains(lines[len(lines)-1], fencedMessage)
}

// Wait returns when the daemon has ended, with its error, or false after the timeout.
func (p *EntryProcess) Wait(timeout time.Duration) (error, bool) { //nolint:revive // The error is a result, not a failure.
	p.mu.Lock()
	process := p.process
	p.mu.Unlock()
	return process.Wait(timeout)
}

// Kill ends the daemon at once.
func (p *EntryProcess) Kill() {
	p.Expect()
	p.Signal(syscall.SIGKILL)
	_, _ = p.Wait(listenTimeout)
}

// Reserve claims the process for a fault that stops or ends it.
func (p *EntryProcess) Reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || p.retired {
		return false
	}
	p.busy = true
	return true
}

// Release ends a reservation.
func (p *EntryProcess) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// Retire says that the daemon will not run again.
func (p *EntryProcess) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.view.Close()
}

// Serving reports whether callers may expect the daemon to run.
func (p *EntryProcess) Serving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.retired
}

// Disturb notes that a fault has touched the VM's links since its daemon was started.
func (p *EntryProcess) Disturb() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed = true
}

// Disturbed reports whether a fault has touched the VM's links since its daemon was started.
func (p *EntryProcess) Disturbed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbed
}
