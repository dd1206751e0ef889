package clientlimit

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// freeCallBytes of unfinished messages are part of their connection's share of the memory, so that small calls are served also
	// when the budget is used up.
	freeCallBytes = 16 << 10
	// callIdleTime is the longest time without progress while a connection holds more than its share.
	callIdleTime = 15 * time.Second
	// roomTimeout is how long a connection waits for room in the budget.
	roomTimeout = 2 * time.Second
)

// CallConn is a connection for calls over HTTP/2. It counts the messages without an end against the budget. mu guards the fields below it.
type CallConn struct {
	net.Conn
	budget *Budget
	note   func(Refusal)

	mu      sync.Mutex
	scanner *FrameScanner
	charged int64
	closed  bool
}

// Read implements net.Conn. It waits while there is no room for what was received, and ends the connection after some time.
func (c *CallConn) Read(p []byte) (int, error) {
	if c.isCharged() {
		if err := c.SetReadDeadline(time.Now().Add(callIdleTime)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	before := c.isCharged()
	if more := c.received(p[:n]); more > 0 {
		if !c.budget.takeWithin(more, roomTimeout) {
			c.note(NoRoom)
			return 0, io.EOF
		}
		c.add(more)
	}
	if before && !c.isCharged() {
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
	return n, err
}

// received scans bytes and returns what has to be taken from the budget. What the connection has too much is given back.
func (c *CallConn) received(b []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Received(b)
	return c.settle()
}

// settle gives back what the connection has taken too much, and returns what it lacks. c.mu is held.
func (c *CallConn) settle() int64 {
	due := int64(max(c.scanner.Held()-freeCallBytes, 0))
	if due >= c.charged {
		return due - c.charged
	}
	c.budget.giveBack(c.charged - due)
	c.charged = due
	return 0
}

func (c *CallConn) isCharged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged > 0
}

// add notes what was taken from the budget.
func (c *CallConn) add(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.budget.giveBack(bytes)
		return
	}
	c.charged += bytes
	c.settle()
}

// Write implements net.Conn.
func (c *CallConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.scanner.Sent(b)
	c.settle()
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *CallConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.budget.giveBack(c.charged)
	c.charged = 0
	c.mu.Unlock()
	return c.Conn.Close()
}
