package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/fault"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/platform"
	"github.com/cicadadale/cicadadale/zone"
)

// peers holds the links to other entry VMs and the requests that wait for their replies. mu guards all fields.
type peers struct {
	d *Daemon

	mu      sync.Mutex
	listed  map[string]platform.VM
	links   map[string]*link.Peer
	domains map[string]zone.DomainID
	homes   map[machine.Incarnation]string
	pending map[uint64]chan *api.Response
	nextID  uint64
}

func newPeers(d *Daemon) *peers {
	return &peers{
		d: d, listed: make(map[string]platform.VM), links: make(map[string]*link.Peer),
		domains: make(map[string]zone.DomainID), homes: make(map[machine.Incarnation]string),
		pending: make(map[uint64]chan *api.Response),
	}
}

// applyList opens links to the listed members of the own failure domain and closes those of dropped VMs.
func (p *peers) applyList(vms []platform.VM) {
	p.mu.Lock()
	p.listed = make(map[string]platform.VM)
	var ended []*link.Peer
	for _, v := range vms {
		if v.Kind == platform.KindEntry && v.ID != p.d.o.VM.ID {
			p.listed[v.ID] = v
			p.domains[v.ID] = v.Domain
		}
	}
	for id, l := range p.links {
		if v, ok := p.listed[id]; !ok || v.PeerAddress != l.Address() {
			ended = append(ended, l)
			delete(p.links, id)
		}
	}
	for id, v := range p.listed {
		if v.Domain == p.d.o.Domain {
			p.open(id)
		}
	}
	p.mu.Unlock()
	for _, l := range ended {
		l.Close()
	}
}

// open expects p.mu to be held. It returns nil for a VM that is not listed.
func (p *peers) open(id string) *link.Peer {
	if l, ok := p.links[id]; ok {
		return l
	}
	v, ok := p.listed[id]
	if !ok {
		return nil
	}
	o := p.d.o
	l := link.NewPeer(id, v.PeerAddress, link.PeerOptions{
		Self: link.Identity{VM: o.VM, Domain: uint32(o.Domain)}, Dial: o.DialPeer, Lamport: p.d.clock.Tick, Now: o.Now,
		Logger: o.Logger, Metrics: o.Metrics, Timeline: p.d.timeline,
	})
	p.links[id] = l
	return l
}

// send queues messages for a peer. Messages to a VM that is not listed are dropped.
func (p *peers) send(id string, msgs ...*api.PeerMessage) bool {
	p.mu.Lock()
	l := p.open(id)
	p.mu.Unlock()
	if l == nil {
		return false
	}
	l.Send(msgs...)
	return true
}

// broadcast sends to the members of the own failure domain.
func (p *peers) broadcast(msg *api.PeerMessage) {
	p.mu.Lock()
	var links []*link.Peer
	for id, l := range p.links {
		if p.domains[id] == p.d.o.Domain {
			links = append(links, l)
		}
	}
	p.mu.Unlock()
	for _, l := range links {
		l.Send(msg)
	}
}

// heard records which VM runs an incarnation.
func (p *peers) heard(vm string, inc machine.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.homes[inc] = vm
}

// homeOf returns the VM that was last heard to run an incarnation.
func (p *peers) homeOf(inc machine.Incarnation) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, ok := p.homes[inc]
	return vm, ok
}

// inDomain returns the listed entry VMs of a failure domain.
func (p *peers) inDomain(domain zone.DomainID) []machine.EntryVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var vms []machine.EntryVM
	for id, v := range p.listed {
		if v.Domain == domain && !v.Leaving {
			vms = append(vms, machine.EntryVM{ID: id})
		}
	}
	return vms
}

// request sends a request to a peer and waits for its reply.
func (p *peers) request(ctx context.Context, vm string, r *api.Request, timeout time.Duration) (*api.Response, error) {
	reply := make(chan *api.Response, 1)
	p.mu.Lock()
	p.nextID++
	r.Id = p.nextID
	p.pending[r.Id] = reply
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, r.Id)
		p.mu.Unlock()
	}()
	if !p.send(vm, &api.PeerMessage{Body: &api.PeerMessage_Request{Request: r}}) {
		return nil, fault.Unavailable.New("entry VM %s is not listed", vm)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case resp := <-reply:
		if resp.GetErrorCode() != "" {
			return nil, fault.FromCode(resp.GetErrorCode(), resp.GetErrorText(), resp.GetErrorReason())
		}
		return resp, nil
	case <-timer.C:
		return nil, fault.Unavailable.New("entry VM %s did not reply", vm)
	case <-ctx.Done():
		return nil, fault.Unavailable.Wrap(ctx.Err(), "request to entry VM %s", vm)
	}
}

// reply hands a response to the request that waits for it.
func (p *peers) reply(r *api.Response) {
	p.mu.Lock()
	c := p.pending[r.GetId()]
	delete(p.pending, r.GetId())
	p.mu.Unlock()
	if c != nil {
		c <- r
	}
}

func (p *peers) close() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*link.Peer)
	p.listed = nil
	p.mu.Unlock()
	for _, l := range links {
		l.Close()
	}
}

// all returns the links to all peers.
func (p *peers) all() []*link.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link.Peer, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	return links
}
