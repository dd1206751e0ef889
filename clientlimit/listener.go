package clientlimit

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes is what the system keeps of a client's bytes that the process has not read; it counts as memory of the VM.
	receiveBufferBytes = 16 << 10
	minAcceptPause     = 5 * time.Millisecond
	maxAcceptPause     = time.Second
	// firstRequestTime is the time within which a client begins its first request.
	firstRequestTime = 75 * time.Second
)

// minIdleTime is the time for which a connection is idle before it is closed to make room for another one: a client may be about to send
// the next request.
const minIdleTime = time.Second

// errNotListening is the error of a listener that was not opened.
var errNotListening = errors.New("the listener is not open")

// Options configure a listener.
type Options struct {
	// Connections is the number of connections that clients may have.
	Connections int
	// Requests is the room for the requests of all clients.
	Requests *RequestRoom
	// Limits returns the limits of the next request, with defaults.
	Limits  func() Limits
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Bare connections are bounded in number only: their protocol is not HTTP/1.1, or TLS lies above them.
	Bare bool
}

// Listener accepts the connections of clients within limits. mu guards the fields below it.
type Listener struct {
	address  string
	o        Options
	table    *Table
	counters counters
	log      refusalLog

	mu     sync.Mutex
	inner  net.Listener
	closed bool
}

// NewListener returns a listener for an address that is not open yet.
func NewListener(address string, o Options) *Listener {
	return &Listener{address: address, o: o, table: NewTable(o.Connections), counters: newCounters(o.Metrics),
		log: refusalLog{logger: o.Logger, address: address}}
}

// Listen opens a listener.
func Listen(address string, o Options) (*Listener, error) {
	l := NewListener(address, o)
	return l, l.Open()
}

// Open binds the address.
func (l *Listener) Open() error {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	inner, err := config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.Join(net.ErrClosed, inner.Close())
	}
	l.inner = inner
	return nil
}

// limitReceiveBuffer sets the receive buffer of the connections that a socket will accept.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// The listener works with the default of the system too.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

func (l *Listener) open() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return nil, net.ErrClosed
	case l.inner == nil:
		return nil, errNotListening
	}
	return l.inner, nil
}

// Accept returns the next connection for which there is room. It fails only when the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		inner, err := l.open()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.log.acceptFailed(err)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if c := l.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection as the server sees it, or nil after refusing it.
func (l *Listener) admit(conn net.Conn) net.Conn {
	now := time.Now()
	closeConn := func() { _ = conn.Close() }
	var bare *bareConn
	if l.o.Bare {
		bare = newBareConn(conn, l.table)
		closeConn = bare.abort
	}
	admitted, evicted := l.table.Admit(closeConn, now, minIdleTime)
	if evicted != nil {
		l.note(Evicted)
		evicted.evict()
	}
	if admitted == nil {
		l.note(NoConnection)
		_ = conn.Close()
		return nil
	}
	if bare != nil {
		bare.member = admitted
		return bare
	}
	c := newConn(conn, l)
	c.member = admitted
	if err := c.SetReadDeadline(now.Add(firstRequestTime)); err != nil {
		_ = c.Close()
		return nil
	}
	return c
}

// note counts and logs a refusal.
func (l *Listener) note(r Refusal) {
	l.counters[r].Inc(1)
	l.log.refused(r, l.table)
}

// Close closes the listener; its connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != nil {
		return l.inner.Addr()
	}
	return textAddress(l.address)
}

// textAddress is the address of a listener that is not open.
type textAddress string

// Network implements net.Addr.
func (textAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a textAddress) String() string { return string(a) }
