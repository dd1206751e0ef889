package load

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const relayBuffer = 32 << 10

// Relay passes TCP connections on to a target and can be told to fail. mu guards the target, the faults and the set of
// connections.
type Relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	cuts   int
	losing int
	// delay is the time by which what passes in either direction is held back.
	delay  time.Duration
	conns  map[*relayConn]bool
	closed bool
}

// relayConn is one connection through a relay.
type relayConn struct {
	near, far net.Conn
	silent    atomic.Bool
	// deaf connections pass replies only.
	deaf      atomic.Bool
	loseReply atomic.Bool
}

// NewRelay listens on loopback.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, conns: make(map[*relayConn]bool)}
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.drop()
}

// SetTarget changes where new connections lead.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

// Cut ends all connections and refuses new ones until Restore. Cuts nest.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cuts++
	r.mu.Unlock()
	r.drop()
}

// Restore takes one cut back.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts--
}

// Silence makes the open connections silent for good: what is sent on them vanishes, and they stay open. New
// connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent.Store(true)
	}
}

// SilenceRequests makes the open connections silent for good towards the target; what the target sends still passes.
func (r *Relay) SilenceRequests() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.deaf.Store(true)
	}
}

// SetDelay holds back what passes from now on. Zero ends it.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) delayed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// LoseReplies drops the next reply on each connection that is open or opened until KeepReplies, and then ends the
// connection.
func (r *Relay) LoseReplies() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losing++
	for c := range r.conns {
		c.loseReply.Store(true)
	}
}

// KeepReplies ends LoseReplies.
func (r *Relay) KeepReplies() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losing--
	if r.losing > 0 {
		return
	}
	for c := range r.conns {
		c.loseReply.Store(false)
	}
}

func (r *Relay) drop() {
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
	// Either end may have closed it already.
	_ = c.near.Close()
	_ = c.far.Close()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.open(near)
	}
}

func (r *Relay) open(near net.Conn) {
	r.mu.Lock()
	target, refuse := r.target, r.cuts > 0 || r.closed
	r.mu.Unlock()
	if refuse {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &relayConn{near: near, far: far}
	r.mu.Lock()
	refuse = r.cuts > 0 || r.closed
	c.loseReply.Store(r.losing > 0)
	r.conns[c] = true
	r.mu.Unlock()
	if refuse {
		c.close()
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.pass(c, near, far, false) })
	wg.Go(func() { r.pass(c, far, near, true) })
	wg.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pass copies one direction until either end closes.
func (r *Relay) pass(c *relayConn, from, to net.Conn, reply bool) {
	defer c.close()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if reply && c.loseReply.Load() {
			return
		}
		if c.silent.Load() || (c.deaf.Load() && !reply) {
			continue
		}
		if d := r.delayed(); d > 0 {
			time.Sleep(d)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
