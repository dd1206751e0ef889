package load

import (
	"sync"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/platform"
)

// platformName is the destination name of the links to the platform's log.
const platformName = "platform"

type route struct{ from, to string }

// Network holds a relay for each pair of an entry VM and a destination that it connects to. mu guards the maps.
type Network struct {
	mu     sync.Mutex
	relays map[route]*Relay
	// down counts the calls of Down that are in effect for each destination, so that relays opened meanwhile are cut as
	// well.
	down map[string]int
}

// NewNetwork returns a network without links.
func NewNetwork() *Network {
	return &Network{relays: make(map[route]*Relay), down: make(map[string]int)}
}

// Link returns the relay from an entry VM to a destination, opening it if needed, and sets its target address.
func (n *Network) Link(from, to, target string) (*Relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.relays[route{from, to}]; ok {
		r.SetTarget(target)
		return r, nil
	}
	r, err := NewRelay(target)
	if err != nil {
		return nil, err
	}
	for range n.down[to] {
		r.Cut()
	}
	n.relays[route{from, to}] = r
	return r, nil
}

// Select returns the relays of the matching routes.
func (n *Network) Select(match func(from, to string) bool) []*Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*Relay
	for k, r := range n.relays {
		if match(k.from, k.to) {
			out = append(out, r)
		}
	}
	return out
}

// Down cuts all links to a destination until Up is called.
func (n *Network) Down(to string) {
	n.mu.Lock()
	n.down[to]++
	n.mu.Unlock()
	for _, r := range n.Select(func(_, t string) bool { return t == to }) {
		r.Cut()
	}
}

// Up reverts one call of Down.
func (n *Network) Up(to string) {
	n.mu.Lock()
	n.down[to]--
	n.mu.Unlock()
	for _, r := range n.Select(func(_, t string) bool { return t == to }) {
		r.Restore()
	}
}

// Close closes all links.
func (n *Network) Close() {
	for _, r := range n.Select(func(_, _ string) bool { return true }) {
		r.Close()
	}
}

// VMList is the platform's list of VMs. mu guards the VMs and the fault.
type VMList struct {
	mu   sync.Mutex
	vms  map[string]platform.VM
	down bool
}

// NewVMList returns an empty list.
func NewVMList() *VMList { return &VMList{vms: make(map[string]platform.VM)} }

// Set adds or updates a VM.
func (l *VMList) Set(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[vm.ID] = vm
}

// Leave marks a VM as leaving.
func (l *VMList) Leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if vm, ok := l.vms[id]; ok {
		vm.Leaving = true
		l.vms[id] = vm
	}
}

// Remove removes a VM from the list.
func (l *VMList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.vms, id)
}

// SetDown makes the list unavailable or available again.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// VMs returns the list, and false while it is unavailable.
func (l *VMList) VMs() ([]platform.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]platform.VM, 0, len(l.vms))
	for _, vm := range l.vms {
		out = append(out, vm)
	}
	return out, !l.down
}

// VMListServer serves the list to one entry VM, with the addresses of the relays from this VM.
type VMListServer struct {
	vm              string
	vmList          *VMList
	network         *Network
	onLeavingListed func(vm, leaving string)
	server          *httpserve.Server
}
