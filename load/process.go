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
	// Ports of entry daemons lie below the kernel's range of ephemeral ports, so that no outgoing connection takes the
	// port of a daemon that is being restarted.
	firstPort, lastPort = 20000, 32000
	portAttempts        = 200
	listenTimeout       = 10 * time.Second
	// fencedMessage is part of the error with which a daemon exits when the other entry VMs count it as gone.
	fencedMessage = "count this process as gone"
)

// EntryProcess is an entry VM whose daemon runs as a child process. mu guards the fields below it; the other fields do
// not change.
type EntryProcess struct {
	ID           string
	Domain       zone.DomainID
	Callers      string
	Peers        string
	Admin        string
	settings     string
	log          string
	vmListServer *VMListServer
	// onExit is called when the daemon has exited unexpectedly.
	onExit func(p *EntryProcess, err error)

	mu           sync.Mutex
	process      *child.Process
	exitExpected bool
	reserved     bool // by a fault that stops, pauses or kills the process
	retired      bool // permanently out of service
	wasPaused    bool // since the start of the daemon
}

// EntrySetup holds the parameters of an entry daemon.
type EntrySetup struct {
	ID           string
	Domain       zone.DomainID
	Dir          string
	Schema       string
	Log          string
	Slots        int
	VMListServer *VMListServer
	// Addresses allocates the addresses that the daemon listens on.
	Addresses *Addresses
	LogLevel  string
	OnExit    func(p *EntryProcess, err error)
}

// NewEntryProcess allocates a daemon's addresses and writes its settings file.
func NewEntryProcess(s EntrySetup) (*EntryProcess, error) {
	p := &EntryProcess{
		ID: s.ID, Domain: s.Domain, settings: filepath.Join(s.Dir, s.ID+".toml"), log: filepath.Join(s.Dir, s.ID+".log"),
		vmListServer: s.VMListServer, onExit: s.OnExit,
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
		"[log]\nlevel = %q\n", s.ID, s.Domain, p.Callers, p.Peers, p.Admin, "http://"+s.Log,
		"http://"+s.VMListServer.Address(), s.Schema, s.Slots, s.LogLevel)
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// Addresses allocates loopback addresses. mu guards the map.
type Addresses struct {
	ip string

	mu   sync.Mutex
	used map[string]bool
}

// NewAddresses returns an allocator for addresses of one IP address.
func NewAddresses(ip string) *Addresses { return &Addresses{ip: ip, used: make(map[string]bool)} }

// Free returns a random address that is not in use and was not returned before. Its port lies below the kernel's range
// of ephemeral ports. It does not use the seed of the run.
func (a *Addresses) Free() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last error
	for range portAttempts {
		address := fmt.Sprintf("%s:%d", a.ip, firstPort+rand.IntN(lastPort-firstPort))
		if a.used[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		a.used[address] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port: %w", last)
}

// VM returns the VM's entry in the platform's list.
func (p *EntryProcess) VM() platform.VM {
	return platform.VM{
		ID: p.ID, Kind: platform.KindEntry, Domain: p.Domain, PeerAddress: p.Peers, CallerAddress: p.Callers,
	}
}

// Start starts the daemon and waits until it listens for callers.
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
	p.process, p.wasPaused, p.exitExpected = process, false, false
	p.mu.Unlock()
	go func() {
		<-process.Exited()
		p.mu.Lock()
		exitExpected := p.exitExpected
		p.mu.Unlock()
		if !exitExpected && p.onExit != nil {
			p.onExit(p, process.Err())
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

// ExpectExit marks the next exit of the daemon as intended.
func (p *EntryProcess) ExpectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
}

// Fenced reports whether the daemon's last log line says that the other entry VMs count it as gone.
func (p *EntryProcess) Fenced() bool {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Contains(lines[len(lines)-1], fencedMessage)
}

// Wait waits until the daemon has exited and returns its error, or false after the timeout.
func (p *EntryProcess) Wait(timeout time.Duration) (error, bool) { //nolint:revive // The error is a result, not a failure.
	p.mu.Lock()
	process := p.process
	p.mu.Unlock()
	return process.Wait(timeout)
}

// Kill kills the daemon and waits until it has exited.
func (p *EntryProcess) Kill() {
	p.ExpectExit()
	p.Signal(syscall.SIGKILL)
	_, _ = p.Wait(listenTimeout)
}

// Reserve reserves the process for a fault that stops, pauses or kills it. It reports false if the process is reserved
// or retired.
func (p *EntryProcess) Reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved || p.retired {
		return false
	}
	p.reserved = true
	return true
}

// Release ends a reservation.
func (p *EntryProcess) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = false
}

// Retire marks the VM as permanently out of service and stops serving the list to it.
func (p *EntryProcess) Retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.vmListServer.Close()
}

// Serving reports whether the VM is in service. Its daemon may be down because of a fault.
func (p *EntryProcess) Serving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.retired
}

// MarkPaused records that the daemon has been paused since its start, so that the other entry VMs may count it as
// gone.
func (p *EntryProcess) MarkPaused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wasPaused = true
}

// WasPaused reports whether the daemon has been paused since its start.
func (p *EntryProcess) WasPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wasPaused
}
