package load

import (
	"bytes"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const relayBuffer = 32 << 10

// Relay forwards TCP connections to a target and injects network faults. mu guards the fields below it.
type Relay struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	target   string
	// cuts and replyDrops count the calls of Cut and LoseReplies that have not been reverted.
	cuts       int
	replyDrops int
	// delay is added to everything that is forwarded, in either direction.
	delay time.Duration
	// repeatAfter is the time after which everything that the target sends is sent to the client once more; zero disables
	// this.
	repeatAfter time.Duration
	conns       map[*relayConn]bool
	closed      bool
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
	r := &Relay{listener: l, address: l.Addr().String(), target: target, conns: make(map[*relayConn]bool)}
	go r.accept(l)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.address }

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	_ = r.listener.Close()
	r.mu.Unlock()
	r.closeAll()
}

// StopListening closes all connections and the listener, as the exit of the target would: new connections are refused
// until Listen is called.
func (r *Relay) StopListening() {
	r.mu.Lock()
	_ = r.listener.Close()
	r.mu.Unlock()
	r.closeAll()
}

// Listen reverts StopListening.
func (r *Relay) Listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return net.ErrClosed
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener = l
	go r.accept(l)
	return nil
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

// Reset resets all open connections, in both directions.
func (r *Relay) Reset() {
	for _, c := range r.open() {
		c.reset()
	}
}

// CloseRequests closes the clients' half of the open connections: the target reads the end of what the clients send, and
// what the target sends is still forwarded.
func (r *Relay) CloseRequests() {
	for _, c := range r.open() {
		c.dropRequests.Store(true)
		if half, ok := c.server.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = half.CloseWrite()
		}
	}
}

// SetRepeat makes the relay send everything that the target sends once more, after a delay. Zero ends this fault.
func (r *Relay) SetRepeat(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeatAfter = after
}

// repeat sends what the target has sent once more, if that fault is set.
func (r *Relay) repeat(b []byte, to net.Conn) {
	r.mu.Lock()
	after := r.repeatAfter
	r.mu.Unlock()
	if after <= 0 {
		return
	}
	again := bytes.Clone(b)
	// The connection may have been closed by then.
	time.AfterFunc(after, func() { _, _ = to.Write(again) })
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

// open returns the open connections.
func (r *Relay) open() []*relayConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.conns))
}

func (r *Relay) closeAll() {
	for _, c := range r.open() {
		c.close()
	}
}

// reset closes both connections with a reset.
func (c *relayConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (c *relayConn) close() {
	// The peer may have closed the connection already.
	_ = c.client.Close()
	_ = c.server.Close()
}

func (r *Relay) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// forward connects a client to the target until either side closes its connection.
func (r *Relay) forward(client net.Conn) {
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
		if reply {
			r.repeat(buf[:n], to)
		}
	}
}
