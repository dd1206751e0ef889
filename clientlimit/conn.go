package clientlimit

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// writeTimeout bounds the time for which a client does not read its answer.
	writeTimeout = 15 * time.Second
	// A refused client is sent the response within refusalTimeout. After it, up to lingerBytes are read and dropped for lingerTime:
	// closing a connection with unread bytes would reset it before the client has read the response.
	refusalTimeout = 100 * time.Millisecond
	lingerTime     = 200 * time.Millisecond
	lingerBytes    = 128 << 10
	// maxLineEnd is the length of the longer line end, CR LF.
	maxLineEnd = 2
)

var interimResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// errNoRawConn is the error of a connection without a descriptor.
var errNoRawConn = errors.New("the connection has no descriptor")

// Conn is a client's connection of which the server reads whole requests only. The server reads it from one goroutine at a time and
// writes from the same one; mu guards the deadlines, which any goroutine may set.
type Conn struct {
	net.Conn
	listener *Listener
	member   *Member
	closing  sync.Once
	closeErr error

	request Assembler
	// unread holds bytes that have arrived and are not part of a request yet, ready those of a request that the server has not read yet.
	unread, ready []byte
	// serving is set from the moment when the server has read a request to that when it answers it.
	serving bool
	refused bool
	// lineEnd is the number of bytes of a line end that may still follow the last request.
	lineEnd int

	mu sync.Mutex
	// server is the deadline that the server has set, own that of the request being read; zero means none. aborted is set while the
	// server wants a pending read to return at once.
	server, own time.Time
	aborted     bool
}

// newConn returns a connection whose member is not set yet.
func newConn(conn net.Conn, l *Listener) *Conn {
	// The connection is closed below the server, which closes it then.
	evict := func() {
		l.note(Evicted)
		_ = conn.Close()
	}
	return &Conn{Conn: conn, listener: l, request: Assembler{reserved: l.o.Requests.newReservation(evict)}}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoRawConn
}

// Read returns bytes of a request once all of it has arrived. While the server handles a request, a read waits for the client to leave;
// if bytes arrive instead, they are kept for the next request and the read fails as if its deadline had passed.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.ready) == 0 {
		if c.refused {
			return 0, io.EOF
		}
		if c.serving && len(c.unread) > 0 {
			return 0, os.ErrDeadlineExceeded
		}
		b, err := c.receive(p)
		switch {
		case err != nil:
			return 0, err
		case c.serving:
			c.unread = bytes.Clone(b)
		default:
			c.accept(b, len(c.unread) == 0)
		}
	}
	n := copy(p, c.ready)
	if c.ready = c.ready[n:]; len(c.ready) == 0 {
		c.ready, c.serving, c.lineEnd = nil, true, maxLineEnd
		c.listener.table.Serving(c.member)
	}
	return n, nil
}

// receive returns bytes that were kept, or reads some into p.
func (c *Conn) receive(p []byte) ([]byte, error) {
	if len(c.unread) > 0 {
		return c.unread, nil
	}
	reading := !c.request.Empty()
	if reading {
		c.setOwnDeadline(c.request.Deadline())
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return p[:n], nil
	}
	if reading && errors.Is(err, os.ErrDeadlineExceeded) && !c.isAborted() {
		c.refuse(TooSlow)
		return nil, io.EOF
	}
	return nil, err
}

// accept adds received bytes to the request being read. borrowed means that b is the server's buffer, which it will overwrite, and not
// c.unread.
func (c *Conn) accept(b []byte, borrowed bool) {
	b = c.skipLineEnd(b)
	if len(b) == 0 {
		c.unread = nil
		return
	}
	var used int
	if c.request.Empty() {
		limits := c.listener.o.Limits()
		if used = Whole(b, limits); used > 0 {
			c.ready = b[:used]
			c.keep(b[used:], borrowed)
			return
		}
		c.request.Begin(limits, time.Now())
	}
	used, refused := c.request.Add(b, time.Now())
	if refused != Accepted {
		c.unread = nil
		c.refuse(refused)
		return
	}
	c.keep(b[used:], borrowed)
	switch {
	case c.request.Complete():
		c.setOwnDeadline(time.Time{})
		c.ready = c.request.Take()
	case c.request.AwaitsContinue():
		c.writeInterim()
	}
}

// skipLineEnd drops an empty line behind a request, which some clients send after a body.
func (c *Conn) skipLineEnd(b []byte) []byte {
	for c.lineEnd > 0 && len(b) > 0 && (b[0] == '\r' || b[0] == '\n') {
		b = b[1:]
		c.lineEnd--
	}
	if len(b) > 0 {
		c.lineEnd = 0
	}
	return b
}

// keep keeps the bytes behind a request.
func (c *Conn) keep(rest []byte, borrowed bool) {
	switch {
	case len(rest) == 0:
		c.unread = nil
	case borrowed:
		c.unread = bytes.Clone(rest)
	default:
		c.unread = rest
	}
}

// writeInterim asks the client for its body. A failure shows in the next read.
func (c *Conn) writeInterim() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(interimResponse)
}

// Write writes a part of an answer.
func (c *Conn) Write(b []byte) (int, error) {
	if c.serving && bytes.Equal(b, interimResponse) {
		// The server asks for a body that it has already been handed.
		return len(b), nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if c.serving {
		c.serving = false
		c.request.Release()
		c.listener.table.Answered(c.member, time.Now())
	}
	return n, err
}

// refuse answers a client whose request is refused and ends the connection for the server.
func (c *Conn) refuse(r Refusal) {
	c.refused = true
	c.request.Release()
	c.listener.note(r)
	_ = c.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, responses[r]); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}

// Close closes the connection and removes it from the table.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		c.closeErr = c.Conn.Close()
		c.listener.table.Remove(c.member)
		c.request.Release()
	})
	return c.closeErr
}

// SetReadDeadline sets the server's deadline. One that has passed ends a pending read; others do not apply to a request being read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server, c.aborted = t, !t.IsZero() && !t.After(time.Now())
	return c.applyDeadline()
}

func (c *Conn) setOwnDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own.Equal(t) {
		return
	}
	c.own = t
	// The connection is closed if this fails; the next read shows it.
	_ = c.applyDeadline()
}

// applyDeadline sets the deadline that applies. c.mu is held.
func (c *Conn) applyDeadline() error {
	if c.own.IsZero() || c.aborted {
		return c.Conn.SetReadDeadline(c.server)
	}
	return c.Conn.SetReadDeadline(c.own)
}

func (c *Conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}
