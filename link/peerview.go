package link

import "time"

// PeerView is the state of a link as shown to operators.
type PeerView struct {
	VM      string
	Address string
	Open    bool
	Queued  int
	Unacked uint64
	// Silent is the time since the oldest unacknowledged envelope was sent.
	Silent time.Duration
}

// View returns the link's state.
func (p *Peer) View(now time.Time) PeerView {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := PeerView{VM: p.vm, Address: p.address, Open: p.open, Queued: len(p.outbox), Unacked: uint64(len(p.unacked))}
	if len(p.unacked) > 0 {
		v.Silent = now.Sub(p.unacked[0].sent)
	}
	return v
}
