package clientlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// freeCallBytes of messages are part of their connection's share of the memory, so that small calls are served also when the
	// room for messages is used up.
	freeCallBytes = 16 << 10
	// freeAnswerBytes of an answer are part of the share of its call.
	freeAnswerBytes = 8 << 10
	// messageCopies is the number of times that the bytes of a message are held while it is decoded or encoded.
	messageCopies = 2
	// callIdleTime is the longest time without progress while a connection holds more than its share of unfinished requests.
	callIdleTime = 15 * time.Second
	// chargeBytes is the step in which a connection takes room for its messages, so that small changes do not need the lock of the room.
	chargeBytes = 4 << 10
	// refusalPause is the time for which a connection is not read after a call of it found no room, so that refusing calls does not take
	// the processor from other callers.
	refusalPause = 100 * time.Millisecond
	// refusedCalls is the number of calls beyond the limit of a connection that may be open because their refusals are not sent yet.
	refusedCalls = 100
)

// CallConn is a connection for calls over HTTP/2. It counts what its calls hold against the room of the process. mu guards the fields
// below it; it is locked before those of the room and of the table.
type CallConn struct {
	net.Conn
	share *CallShare
	// accepted is the connection below TLS as the listener counts it.
	accepted *bareConn
	// maxOpen is the number of calls that may be open.
	maxOpen int
	note    func(Refusal)
	// timed is set while the reader of the connection has set a deadline. unread holds bytes that have arrived and are not scanned yet. Both
	// belong to the reader.
	timed  bool
	unread []byte
	// refused is set when a call has been refused since the last read.
	refused atomic.Bool

	mu      sync.Mutex
	scanner *FrameScanner
	// answers are the bytes that answers hold which are not sent to their end.
	answers int64
	// charged are the bytes for which the connection has room, stalledSince what the room has been told.
	charged      int64
	stalledSince time.Time
	serving      bool
	// fewer is closed when no more than maxOpen calls are open; it is nil while nothing waits for that.
	fewer chan struct{}
}

// newCallConn returns a connection whose calls are counted against a room. accepted is the connection below TLS, which is closed to make
// room: closing one with TLS waits for the client.
func newCallConn(accepted *bareConn, conn net.Conn, r *CallRoom, maxOpen int, note func(Refusal)) *CallConn {
	c := &CallConn{Conn: conn, accepted: accepted, maxOpen: maxOpen + refusedCalls, note: note}
	c.scanner = NewFrameScanner(func(answer int) { c.answers -= answerBytes(answer) })
	c.share = r.Join(func() {
		note(Evicted)
		accepted.abort()
	})
	return c
}

// answerBytes returns what an answer of a length holds until it is sent.
func answerBytes(length int) int64 {
	if length <= freeAnswerBytes {
		return 0
	}
	return messageCopies * int64(length)
}

// Read implements net.Conn. It waits while there is no room for what was received, and ends the connection after some time.
func (c *CallConn) Read(p []byte) (int, error) {
	if c.refused.Swap(false) {
		c.pause(refusalPause)
	}
	if err := c.limitReadTime(); err != nil {
		return 0, err
	}
	n, err := c.receive(p)
	if n == 0 {
		return n, err
	}
	if !c.awaitRoom(c.accepted.ctx, 0) || !c.awaitFewerCalls() {
		c.note(NoRoom)
		return 0, io.EOF
	}
	return n, err
}

// pause waits for a time unless the connection ends.
func (c *CallConn) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.accepted.ctx.Done():
	}
}

// receive returns bytes that were kept, or reads some. It keeps those which the server may not read yet.
func (c *CallConn) receive(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := c.scan(c.unread[:min(len(p), len(c.unread))])
		copy(p, c.unread[:n])
		if c.unread = c.unread[n:]; len(c.unread) == 0 {
			c.unread = nil
		}
		return n, nil
	}
	n, err := c.Conn.Read(p)
	used := c.scan(p[:n])
	if used < n {
		c.unread = bytes.Clone(p[used:n])
	}
	return used, err
}

// scan notes received bytes and returns how many of them the server may read now.
func (c *CallConn) scan(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Received(b, time.Now())
}

// limitReadTime sets a deadline while the connection holds more than its share of unfinished requests. Otherwise that of the server applies.
func (c *CallConn) limitReadTime() error {
	if c.holdsUnfinished() {
		c.timed = true
		return c.SetReadDeadline(time.Now().Add(callIdleTime))
	}
	if !c.timed {
		return nil
	}
	c.timed = false
	return c.SetReadDeadline(time.Time{})
}

func (c *CallConn) holdsUnfinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charged > 0 && c.scanner.Incomplete() > 0
}

// awaitRoom waits until there is room for the messages of the connection and for the bytes of one more answer, or reports that there was
// none within a time.
func (c *CallConn) awaitRoom(ctx context.Context, answer int64) bool {
	due, held := c.settle(answer)
	if held {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	for !held {
		if !c.share.Await(ctx, due) {
			return false
		}
		due, held = c.settle(answer)
	}
	return true
}

// settle takes room for what the calls of the connection hold now and for one more answer, which is negative for one that is not sent.
// Without room the answer is not counted, so that it does not keep the connection from being read.
func (c *CallConn) settle(answer int64) (due int64, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers += answer
	if due, held = c.settleLocked(); !held && answer > 0 {
		c.answers -= answer
	}
	return due, held
}

// settleLocked tells the room and the table what the calls of the connection hold now, and returns whether there is room for it. c.mu is
// held.
func (c *CallConn) settleLocked() (due int64, held bool) {
	if c.scanner.Open() == 0 {
		// A call that is reset before its answer was begun does not tell the length of that.
		c.answers = 0
	}
	c.answers = max(c.answers, 0)
	c.noteServing()
	if c.fewer != nil && c.scanner.Open() <= c.maxOpen {
		close(c.fewer)
		c.fewer = nil
	}
	due = messageCopies*int64(max(c.scanner.Held()-freeCallBytes, 0)) + c.answers
	due = (due + chargeBytes - 1) / chargeBytes * chargeBytes
	stalledSince := c.scanner.StalledSince()
	if due == c.charged && stalledSince.Equal(c.stalledSince) {
		return due, true
	}
	if held = c.share.Hold(due, stalledSince, time.Now()); held {
		c.charged = due
	}
	c.stalledSince = stalledSince
	return due, held
}

// noteServing tells the table whether a call of the connection waits for the server. c.mu is held.
func (c *CallConn) noteServing() {
	serving := c.scanner.Served() > 0
	if serving == c.serving {
		return
	}
	if c.serving = serving; serving {
		c.accepted.table.Serving(c.accepted.member)
		return
	}
	c.accepted.table.Answered(c.accepted.member, time.Now())
}

// awaitFewerCalls waits while the server has not sent the ends of so many calls that their refusals would use up the memory. It reports
// that the client has not read them.
func (c *CallConn) awaitFewerCalls() bool {
	c.mu.Lock()
	if c.scanner.Open() <= c.maxOpen {
		c.mu.Unlock()
		return true
	}
	fewer := make(chan struct{})
	c.fewer = fewer
	c.mu.Unlock()
	timeout := time.NewTimer(writeTimeout)
	defer timeout.Stop()
	select {
	case <-fewer:
		return true
	case <-timeout.C:
		return false
	case <-c.accepted.ctx.Done():
		return false
	}
}

// ReserveAnswer takes room for an answer of a length until it has been sent, or reports that there is none.
func (c *CallConn) ReserveAnswer(ctx context.Context, length int) bool {
	bytes := answerBytes(length)
	return bytes == 0 || c.awaitRoom(ctx, bytes)
}

// ReleaseAnswer gives back the room for an answer that is not sent.
func (c *CallConn) ReleaseAnswer(length int) {
	if bytes := answerBytes(length); bytes > 0 {
		c.settle(-bytes)
	}
}

// BeginCall takes room for a call with its metadata, or reports that there is none. cancel ends the call if it has to give way.
func (c *CallConn) BeginCall(metadataBytes int, cancel func()) (*OpenCall, bool) {
	bytes := int64(callBytes + max(metadataBytes-freeMetadataBytes, 0))
	call, begun := c.share.Begin(c.accepted.ctx, bytes, cancel, time.Now())
	if !begun {
		c.refused.Store(true)
		c.note(NoRoom)
	}
	return call, begun
}

// Write implements net.Conn. A client that does not read loses its connection.
func (c *CallConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.scanner.Sent(b, time.Now())
	c.settleLocked()
	c.mu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *CallConn) Close() error {
	c.share.Leave()
	return c.Conn.Close()
}
