package load

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const relayBuffer = 32 << 10

// Relay forwards TCP connections to a target and injects network faults. mu guards the fields below it.
type Relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	// cuts and replyDrops count the calls of Cut and LoseReplies that have not been reverted.
	cuts       int
	replyDrops int
	// delay is added to everything that is forwarded, in either direction.
	delay  time.Duration
	conns  map[*relayConn]bool
	closed bool
}

// relayConn is one connection through a relay.
type relayConn struct {
	client, server net.Conn
	dropAll        atomic.Bool
	// dropRequests discards what the client sends; replies are forwarded.
	dropRequests atomic.Bool
	dropReply    atomic.Bool
}

// NewRelay starts a relay on a loopback address.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: make(map[*relayConn]bool)}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.closeAll()
}

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// Cut closes all connections and refuses new ones until Restore is called. Cuts nest.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cuts++
	r.mu.Unlock()
	r.closeAll()
}

// Restore reverts one call of Cut.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts--
}

// Silence permanently discards what is sent on the open connections, in both directions; they stay open. New
// connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.dropAll.Store(true)
	}
}

// SilenceRequests permanently discards what clients send on the open connections; what the target sends is forwarded.
func (r *Relay) SilenceRequests() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.dropRequests.Store(true)
	}
}

// SetDelay delays everything that is forwarded from now on; zero removes the delay.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// LoseReplies discards the next reply on each connection that is open, or opened before StopLosingReplies, and then
// closes the connection.
func (r *Relay) LoseReplies() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replyDrops++
	for c := range r.conns {
		c.dropReply.Store(true)
	}
}

// StopLosingReplies reverts one call of LoseReplies.
func (r *Relay) StopLosingReplies() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replyDrops--
	if r.replyDrops > 0 {
		return
	}
	for c := range r.conns {
		c.dropReply.Store(false)
	}
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	conns := make([]*relayConn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
	}
	r.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

func (c *relayConn) close() {
	// The peer may have closed the connection already.
	_ = c.client.Close()
	_ = c.server.Close()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.open(client)
	}
}

func (r *Relay) open(client net.Conn) {
	r.mu.Lock()
	target, refuse := r.target, r.cuts > 0 || r.closed
	r.mu.Unlock()
	if refuse {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayConn{client: client, server: server}
	r.mu.Lock()
	refuse = r.cuts > 0 || r.closed
	c.dropReply.Store(r.replyDrops > 0)
	r.conns[c] = true
	r.mu.Unlock()
	if refuse {
		c.close()
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.pass(c, client, server, false) })
	wg.Go(func() { r.pass(c, server, client, true) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pass copies one direction until either end closes the connection.
func (r *Relay) pass(c *relayConn, from, to net.Conn, reply bool) {
	defer c.close()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if reply && c.dropReply.Load() {
			return
		}
		if c.dropAll.Load() || (c.dropRequests.Load() && !reply) {
			continue
		}
		if d := r.currentDelay(); d > 0 {
			time.Sleep(d)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
