package load

import "slices"

// Outage is a fault of a relay that shows at neither the clients nor the target until it ends: nothing passes on the
// connections that it affects, and the end of one side is not passed on to the other. New connections are accepted, get
// no answer and do not reach the target. All of them are closed at the end of the last outage that affects them, since
// what was sent on them is lost. Outages nest; Cut refuses new connections during an outage too.
type Outage struct {
	relay *Relay
	// senders limits the outage to the connections of these senders; nil means all connections.
	senders []string
	// conns are the affected connections, guarded by the mutex of the relay.
	conns map[*relayConn]bool
}

// Partition begins an outage between the target and the named senders, or all clients if none is named.
func (r *Relay) Partition(senders ...string) *Outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beginOutage(senders)
}

// LoseClients begins an outage that closes the clients' side of the open connections; the target's side stays open.
func (r *Relay) LoseClients() *Outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.beginOutage(nil)
	for c := range r.conns {
		// An error means that the connection is closed already.
		_ = c.client.Close()
	}
	return o
}

// End ends the outage.
func (o *Outage) End() {
	for _, c := range o.release() {
		c.close()
	}
}

// release removes the outage from its relay and returns the connections that are in no outage any more.
func (o *Outage) release() []*relayConn {
	r := o.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.outages[o] {
		return nil
	}
	delete(r.outages, o)
	var free []*relayConn
	for c := range o.conns {
		c.outages--
		if c.outages == 0 {
			free = append(free, c)
		}
	}
	r.ended.Broadcast()
	return free
}

// beginOutage is called with the mutex held.
func (r *Relay) beginOutage(senders []string) *Outage {
	o := &Outage{relay: r, senders: senders, conns: make(map[*relayConn]bool)}
	r.outages[o] = true
	for c := range r.conns {
		o.join(c)
	}
	return o
}

// joinOutages makes the outages affect a connection that is new or whose sender has become known. It is called with the
// mutex held.
func (r *Relay) joinOutages(c *relayConn) {
	for o := range r.outages {
		o.join(c)
	}
}

func (o *Outage) join(c *relayConn) {
	if o.conns[c] || o.senders != nil && !slices.Contains(o.senders, c.sender) {
		return
	}
	o.conns[c] = true
	c.outages++
	c.dropAll.Store(true)
}

// closeAfterOutages closes a connection when it is in no outage any more.
func (r *Relay) closeAfterOutages(c *relayConn) {
	r.mu.Lock()
	for c.outages > 0 && !r.closed {
		r.ended.Wait()
	}
	r.mu.Unlock()
	c.close()
}
