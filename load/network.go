package load

import (
	"sync"

	"github.com/cicadadale/cicadadale/internal/httpserve"
	"github.com/cicadadale/cicadadale/platform"
)

// platformName is the destination of the links to the platform's log.
const platformName = "platform"

type route struct{ from, to string }

// Network holds a relay for each ordered pair of an entry VM and what it connects to. mu guards the map.
type Network struct {
	mu     sync.Mutex
	relays map[route]*Relay
	// down counts the crashes in progress of a destination, so that a relay opened meanwhile is cut too.
	down map[string]int
}

// NewNetwork returns a network without links.
func NewNetwork() *Network {
	return &Network{relays: make(map[route]*Relay), down: make(map[string]int)}
}

// Link returns the relay between two machines, opening it if needed.
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

// Select returns the relays of the routes that match.
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

// Down cuts all links to a machine until Up.
func (n *Network) Down(to string) {
	n.mu.Lock()
	n.down[to]++
	n.mu.Unlock()
	for _, r := range n.Select(func(_, t string) bool { return t == to }) {
		r.Cut()
	}
}

// Up takes one Down back.
func (n *Network) Up(to string) {
	n.mu.Lock()
	n.down[to]--
	n.mu.Unlock()
	for _, r := range n.Select(func(_, t string) bool { return t == to }) {
		r.Restore()
	}
}

// Close ends all links.
func (n *Network) Close() {
	for _, r := range n.Select(func(_, _ string) bool { return true }) {
		r.Close()
	}
}

// Roster is the platform's list. mu guards the VMs and the fault.
type Roster struct {
	mu   sync.Mutex
	vms  map[string]platform.VM
	down bool
}

// NewRoster returns an empty list.
func NewRoster() *Roster { return &Roster{vms: make(map[string]platform.VM)} }

// Set adds or updates a VM.
func (r *Roster) Set(vm platform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms[vm.ID] = vm
}

// Leave marks a VM as leaving.
func (r *Roster) Leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if vm, ok := r.vms[id]; ok {
		vm.Leaving = true
		r.vms[id] = vm
	}
}

// Remove drops a VM.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.vms, id)
}

// SetDown makes the list fail.
func (r *Roster) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// VMs returns the list, or false while it fails.
func (r *Roster) VMs() ([]platform.VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]platform.VM, 0, len(r.vms))
	for _, vm := range r.vms {
		out = append(out, vm)
	}
	return out, !r.down
}

// View serves the list to one entry VM, with the addresses of the relays that lead from this VM.
type View struct {
	vm      string
	roster  *Roster
	network *Network
	shown   func(vm, leaving string)
	server  *httpserve.Server
}
