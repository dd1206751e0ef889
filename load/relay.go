package load

import (
	"bytes"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relayBuffer = 32 << 10
	// maxFirstBytes is the number of bytes after which the sender of a connection counts as unknown.
	maxFirstBytes = 1 << 20
)

// SenderFunc names the sender of a connection from the first bytes that it has sent. It returns false while more bytes
// are needed, and an empty name if the bytes name no sender.
type SenderFunc func(first []byte) (sender string, decided bool)

// Relay forwards TCP connections to a target and injects network faults. mu guards the fields below it.
type Relay struct {
	address string
	// identify is nil if the senders are told apart by their IP addresses.
	identify SenderFunc

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
	// lastSender is the client that has sent last.
	lastSender string
	conns      map[*relayConn]bool
	// outages are the outages that have not ended; ended wakes up what waits for the end of one.
	outages map[*Outage]bool
	ended   *sync.Cond
	closed  bool
}

// relayConn is one connection through a relay.
type relayConn struct {
	client net.Conn
	// sender is empty until the sender is known (see SenderFunc), and outages is the number of outages that affect the
	// connection. Both are guarded by the mutex of the relay.
	sender  string
	outages int

	dropAll atomic.Bool
	// dropRequests discards what the client sends; replies are forwarded.
	dropRequests atomic.Bool
	dropReply    atomic.Bool

	// mu guards the fields below. server is nil until the target is connected.
	mu     sync.Mutex
	server net.Conn
	closed bool
}

// NewRelay starts a relay on a loopback address. The sender of a connection is named by its IP address.
func NewRelay(target string) (*Relay, error) { return NewSenderRelay(target, nil) }

// NewSenderRelay starts a relay on a loopback address that tells connections apart by their senders. It connects the
// target once the sender is known, so senders have to speak first.
func NewSenderRelay(target string, identify SenderFunc) (*Relay, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		listener: l, address: l.Addr().String(), identify: identify, target: target, conns: make(map[*relayConn]bool),
		outages: make(map[*Outage]bool),
	}
	r.ended = sync.NewCond(&r.mu)
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
	conns := slices.Collect(maps.Keys(r.conns))
	r.ended.Broadcast()
	r.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
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
		if half, ok := c.target().(*net.TCPConn); ok {
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

// repeat sends what the target has sent to the client once more, if that fault is set.
func (r *Relay) repeat(c *relayConn, b []byte) {
	r.mu.Lock()
	after := r.repeatAfter
	r.mu.Unlock()
	if after <= 0 {
		return
	}
	again := bytes.Clone(b)
	// The connection may have been closed by then.
	time.AfterFunc(after, func() {
		if !c.dropAll.Load() {
			_, _ = c.client.Write(again)
		}
	})
}

// SetDelay delays everything that is forwarded from now on; zero removes the delay.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// LastSender returns the sender that the target has last received something from.
func (r *Relay) LastSender() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastSender
}

// recordPassing records that something is forwarded, and returns the delay with which it is.
func (r *Relay) recordPassing(c *relayConn, reply bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !reply {
		r.lastSender = c.sender
	}
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

// open returns the open connections without those in an outage, whose ends learn of no other fault until it is over.
func (r *Relay) open() []*relayConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*relayConn
	for c := range r.conns {
		if c.outages == 0 {
			open = append(open, c)
		}
	}
	return open
}

func (r *Relay) closeAll() {
	for _, c := range r.open() {
		c.close()
	}
}

// reset closes both connections with a reset.
func (c *relayConn) reset() {
	for _, conn := range []net.Conn{c.client, c.target()} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (c *relayConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	// The peer may have closed the connection already.
	_ = c.client.Close()
	if c.server != nil {
		_ = c.server.Close()
	}
}

// attach adds the connection to the target. It reports false, and closes that, if the client's has been closed.
func (c *relayConn) attach(server net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = server.Close()
		return false
	}
	c.server = server
	return true
}

// target returns the connection to the target, nil if there is none yet.
func (c *relayConn) target() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server
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

// forward connects a client to the target until either side closes its connection. The end of one side becomes visible
// at the other when the connection is in no outage.
func (r *Relay) forward(client net.Conn) {
	c := &relayConn{client: client}
	if r.identify == nil {
		c.sender = hostOf(client.RemoteAddr())
	}
	defer r.remove(c)
	defer r.closeAfterOutages(c)
	if !r.add(c) {
		return
	}
	first, err := r.readSender(c)
	if err != nil {
		return
	}
	target, ok := r.admit(c)
	if !ok {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil || !c.attach(server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.pass(c, io.MultiReader(bytes.NewReader(first), client), server, false) })
	wg.Go(func() { r.pass(c, server, client, true) })
	wg.Wait()
}

// hostOf returns the IP address of a TCP address.
func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return host
}

// add registers a new connection. It reports false if the relay refuses connections.
func (r *Relay) add(c *relayConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cuts > 0 || r.closed {
		return false
	}
	c.dropReply.Store(r.replyDrops > 0)
	r.conns[c] = true
	r.joinOutages(c)
	return true
}

func (r *Relay) remove(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// readSender reads from a new connection until its sender is known, and returns what it has read.
func (r *Relay) readSender(c *relayConn) ([]byte, error) {
	if r.identify == nil {
		return nil, nil
	}
	var first []byte
	buf := make([]byte, relayBuffer)
	for len(first) < maxFirstBytes {
		n, err := c.client.Read(buf)
		if err != nil {
			return nil, err
		}
		first = append(first, buf[:n]...)
		if sender, decided := r.identify(first); decided {
			r.mu.Lock()
			defer r.mu.Unlock()
			c.sender = sender
			r.joinOutages(c)
			break
		}
	}
	return first, nil
}

// admit returns the target of a new connection, false if the connection is in an outage.
func (r *Relay) admit(c *relayConn) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target, c.outages == 0
}

// pass copies one direction until either end closes the connection.
func (r *Relay) pass(c *relayConn, from io.Reader, to io.Writer, reply bool) {
	defer r.closeAfterOutages(c)
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
		if d := r.recordPassing(c, reply); d > 0 {
			time.Sleep(d)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
		if reply {
			r.repeat(c, buf[:n])
		}
	}
}
