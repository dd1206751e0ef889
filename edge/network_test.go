package edge

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

var errUnreachable = errors.New("machine is unreachable")

// network connects the machines of a test. Machines on two sides of a cut receive nothing from each other.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	cut       func(a, b string) bool
	// delayed selects the links whose data is delayed until they are released.
	delayed func(from, to string) bool
	release chan struct{}
	// latency is the time that data takes on a link, as in a queue of constant length; nil for none.
	latency func(from, to string) time.Duration
	conns   []*memConn
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*memListener), cut: func(string, string) bool { return false },
		delayed: func(string, string) bool { return false }, release: make(chan struct{}),
	}
}

// setDelayed selects the links whose data is delayed; nil releases all of them.
func (n *network) setDelayed(delayed func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if delayed == nil {
		delayed = func(string, string) bool { return false }
	}
	n.delayed = delayed
	close(n.release)
	n.release = make(chan struct{})
}

// setLatency sets the time that data takes on a link.
func (n *network) setLatency(latency func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// awaitArrival returns when data arrives that was written to a link at a time.
func (n *network) awaitArrival(from, to string, written time.Time) {
	n.mu.Lock()
	latency := n.latency
	n.mu.Unlock()
	if latency != nil {
		time.Sleep(time.Until(written.Add(latency(from, to))))
	}
}

// closeConns closes the connection ends of a machine, as the end of its process does; without a name those of all
// machines.
func (n *network) closeConns(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.from == vm || vm == "" {
			_ = c.Close()
		}
		if vm == "" {
			// Nothing reads the data sent to a machine that has ended.
			_ = c.Conn.Close()
		}
	}
}

// awaitRelease returns once a link is not delayed.
func (n *network) awaitRelease(from, to string) {
	for {
		n.mu.Lock()
		delayed, release := n.delayed(from, to), n.release
		n.mu.Unlock()
		if !delayed {
			return
		}
		<-release
	}
}

func (n *network) setCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(a, b)
}

func (n *network) listen(vm string) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{vm: vm, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[vm] = l
	return l
}

func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, errUnreachable
	}
	if n.isCut(from, to) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	a, b := net.Pipe()
	accepted := newMemConn(b, n, to, from)
	select {
	case l.conns <- accepted:
		return newMemConn(a, n, from, to), nil
	case <-l.closed:
	case <-ctx.Done():
	}
	// Nobody else closes an end that was not accepted: the test may have closed all connections already.
	_ = accepted.Close()
	return nil, errUnreachable
}

type memListener struct {
	vm     string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.vm) }

type memAddr string

func (a memAddr) Network() string { return "mem" }
func (a memAddr) String() string  { return string(a) }

// memConn is one end of a connection. Written data is delivered by a goroutine, also after the end has been closed, as
// the buffers of a network do. It is lost while the machines are cut off from each other.
type memConn struct {
	net.Conn
	network  *network
	from, to string
	lost     bool
	once     sync.Once
	closed   chan struct{}
	chunks   chan memChunk
}

// memChunk is data that was written at a time.
type memChunk struct {
	data    []byte
	written time.Time
}

// memBuffer is the number of writes that an end of a connection buffers.
const memBuffer = 4096

func newMemConn(c net.Conn, n *network, from, to string) *memConn {
	m := &memConn{
		Conn: c, network: n, from: from, to: to, closed: make(chan struct{}), chunks: make(chan memChunk, memBuffer),
	}
	n.mu.Lock()
	n.conns = append(n.conns, m)
	n.mu.Unlock()
	go m.deliver()
	return m
}

func (c *memConn) Write(b []byte) (int, error) {
	// Once bytes have been lost, nothing later arrives on the connection.
	if c.lost = c.lost || c.network.isCut(c.from, c.to); c.lost {
		return len(b), nil
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.chunks <- memChunk{bytes.Clone(b), time.Now()}:
		return len(b), nil
	}
}

func (c *memConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	// A reader of this end is released at once; written data is still delivered.
	return c.SetReadDeadline(time.Now())
}

func (c *memConn) deliver() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case chunk := <-c.chunks:
			c.network.awaitArrival(c.from, c.to, chunk.written)
			c.network.awaitRelease(c.from, c.to)
			if _, err := c.Conn.Write(chunk.data); err != nil {
				return
			}
		case <-c.closed:
			if len(c.chunks) == 0 {
				return
			}
		}
	}
}
