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

const (
	// maxRequests bounds the requests to other entry VMs that wait for a reply, and maxServed the requests of others
	// that are served concurrently.
	maxRequests = 16384
	maxServed   = 16384
)

// peers holds the links to other entry VMs and the requests that wait for replies. mu guards all fields.
type peers struct {
	d *Daemon

	mu      sync.Mutex
	listed  map[string]platform.VM
	links   map[string]*link.Peer
	domains map[string]zone.DomainID
	pending map[uint64]pendingRequest
	nextID  uint64
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	vm    string
	reply chan *api.Response
}

func newPeers(d *Daemon) *peers {
	return &peers{
		d: d, listed: make(map[string]platform.VM), links: make(map[string]*link.Peer),
		domains: make(map[string]zone.DomainID), pending: make(map[uint64]pendingRequest),
	}
}

// applyList opens links to the listed members of this failure domain and closes those to VMs that were removed from the
// list or whose address has changed.
func (p *peers) applyList(vms []platform.VM) {
	p.mu.Lock()
	p.listed = make(map[string]platform.VM)
	var closing []*link.Peer
	for _, v := range vms {
		if v.Kind == platform.KindEntry && v.ID != p.d.o.VM.ID {
			p.listed[v.ID] = v
			p.domains[v.ID] = v.Domain
		}
	}
	for id := range p.domains {
		if _, ok := p.listed[id]; !ok {
			delete(p.domains, id)
		}
	}
	for id, l := range p.links {
		if v, ok := p.listed[id]; !ok || v.PeerAddress != l.Address() {
			closing = append(closing, l)
			delete(p.links, id)
		}
	}
	for id, v := range p.listed {
		if v.Domain == p.d.o.Domain {
			p.open(id)
		}
	}
	p.mu.Unlock()
	for _, l := range closing {
		l.Close()
	}
}

// open returns the link to a VM and opens it if necessary. It returns nil for a VM that is not listed. p.mu must be
// held.
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
		OnSent: p.d.lease.Sent, OnAck: p.d.lease.Acknowledged, OnDisconnect: p.disconnected,
		OnRefused: p.d.refusedBy,
	})
	p.links[id] = l
	return l
}

// send queues messages for a peer. It drops them and returns false if the VM is not listed.
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

// failing reports whether the link to a VM is down and the last attempt to reconnect has failed.
func (p *peers) failing(id string) bool {
	p.mu.Lock()
	l, ok := p.links[id]
	p.mu.Unlock()
	return ok && l.Failing()
}

// flushed reports whether all links that are up have sent all messages and received their acknowledgements.
func (p *peers) flushed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if !l.Failing() && !l.Flushed() {
			return false
		}
	}
	return true
}

// disconnected fails the requests sent over a lost connection, because their replies may be lost as well.
func (p *peers) disconnected(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.pending {
		if c.vm == vm {
			close(c.reply)
			delete(p.pending, id)
		}
	}
}

// broadcast sends a message to the members of this failure domain.
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

// heartbeat sends to all VMs with an open link. This keeps the links to other failure domains from becoming idle.
func (p *peers) heartbeat(sameDomain, otherDomain *api.PeerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.links {
		if p.domains[id] == p.d.o.Domain {
			l.Send(sameDomain)
		} else {
			l.Send(otherDomain)
		}
	}
}

// inDomain returns the listed entry VMs of a failure domain, without those that are leaving.
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
	if p.failing(vm) {
		return nil, fault.Unavailable.New("entry VM %s cannot be reached", vm)
	}
	reply := make(chan *api.Response, 1)
	p.mu.Lock()
	if len(p.pending) >= maxRequests {
		p.mu.Unlock()
		return nil, fault.Unavailable.New("too many requests to other entry VMs are waiting")
	}
	p.nextID++
	r.Id = p.nextID
	p.pending[r.Id] = pendingRequest{vm: vm, reply: reply}
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
	case resp, ok := <-reply:
		if !ok {
			return nil, fault.Unavailable.New("the link to entry VM %s was lost", vm)
		}
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

// reply delivers a response to its pending request. Late and repeated responses, and responses from a VM other than the
// one the request was sent to, are ignored.
func (p *peers) reply(vm string, r *api.Response) {
	p.mu.Lock()
	c, ok := p.pending[r.GetId()]
	if !ok || c.vm != vm {
		p.mu.Unlock()
		return
	}
	delete(p.pending, r.GetId())
	p.mu.Unlock()
	c.reply <- r
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
