package entry

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// testNetwork connects entry VMs in memory with a delay, for use in a synctest bubble.
type testNetwork struct {
	mu        sync.Mutex
	listeners map[string]*testListener
	cut       func(from, to string) bool
}

type testListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *testListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *testListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *testListener) Addr() net.Addr { return testAddr(l.address) }

type testAddr string

func (a testAddr) Network() string { return "test" }
func (a testAddr) String() string  { return string(a) }

func (n *testNetwork) listen(address string) *testListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &testListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *testNetwork) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// setCut cuts the connections for which cut returns true; nil restores all.
func (n *testNetwork) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *testNetwork) dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil || n.isCut(from, to) {
		return nil, net.ErrClosed
	}
	cut := func() bool { return n.isCut(from, to) }
	outbound, inbound := newTestPipe(cut), newTestPipe(cut)
	select {
	case l.conns <- &testConn{in: outbound, out: inbound, address: testAddr(from)}:
		return &testConn{in: inbound, out: outbound, address: testAddr(to)}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// testPipe is one direction of a connection.
type testPipe struct {
	mu     sync.Mutex
	wake   chan struct{}
	chunks []testChunk
	closed bool
	cut    func() bool
}

type testChunk struct {
	data []byte
	at   time.Time
}

func newTestPipe(cut func() bool) *testPipe {
	return &testPipe{wake: make(chan struct{}, 1), cut: cut}
}

func (p *testPipe) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *testPipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	if !p.cut() {
		p.chunks = append(p.chunks, testChunk{data: append([]byte(nil), b...), at: time.Now().Add(oneWayDelay)})
		p.signal()
	}
	return len(b), nil
}

func (p *testPipe) read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		if len(p.chunks) > 0 {
			c := &p.chunks[0]
			if delay := time.Until(c.at); delay > 0 {
				p.mu.Unlock()
				time.Sleep(delay)
				continue
			}
			n := copy(b, c.data)
			c.data = c.data[n:]
			if len(c.data) == 0 {
				p.chunks = p.chunks[1:]
			}
			p.mu.Unlock()
			return n, nil
		}
		closed := p.closed
		p.mu.Unlock()
		if closed {
			p.signal()
			return 0, io.EOF
		}
		<-p.wake
	}
}

func (p *testPipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.signal()
}

type testConn struct {
	in, out *testPipe
	address testAddr
}

func (c *testConn) Read(b []byte) (int, error)       { return c.in.read(b) }
func (c *testConn) Write(b []byte) (int, error)      { return c.out.write(b) }
func (c *testConn) Close() error                     { c.in.close(); c.out.close(); return nil }
func (c *testConn) LocalAddr() net.Addr              { return c.address }
func (c *testConn) RemoteAddr() net.Addr             { return c.address }
func (c *testConn) SetDeadline(time.Time) error      { return nil }
func (c *testConn) SetReadDeadline(time.Time) error  { return nil }
func (c *testConn) SetWriteDeadline(time.Time) error { return nil }
