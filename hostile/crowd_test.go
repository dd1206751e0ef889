package hostile

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeTimeout ends the attack of a client whose bytes are not read any more.
const writeTimeout = time.Second

// repeatedChecks are made while a crowd comes back again and again.
const repeatedChecks = 5

// crowd is a number of clients with a connection each, which stay open until the test ends.
type crowd struct {
	t  *testing.T
	mu sync.Mutex
	// conns are the open connections; mu guards them.
	conns []net.Conn
}

func newCrowd(t *testing.T) *crowd {
	c := &crowd{t: t}
	t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, conn := range c.conns {
			_ = conn.Close()
		}
	})
	return c
}

// attack opens a connection for each client and lets all of them send at the same time. It returns when all have sent what they
// want to send or have been cut off; none of that is a fault.
func (c *crowd) attack(address string, clients int, send func(w io.Writer) error) {
	c.t.Helper()
	var attackers sync.WaitGroup
	for range clients {
		attackers.Go(func() {
			conn, err := net.DialTimeout("tcp", address, writeTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = send(timedWriter{conn})
		})
	}
	attackers.Wait()
}

// attackReading is like attack, but the clients read and drop what they are sent until the test ends.
func (c *crowd) attackReading(address string, clients int, send func(w io.Writer) error) {
	c.t.Helper()
	c.attack(address, clients, func(w io.Writer) error {
		go func() { _, _ = io.Copy(io.Discard, w.(timedWriter).Conn) }()
		return send(w)
	})
}

// attackAgain lets each client of a crowd send over one connection after another until the test ends.
func (c *crowd) attackAgain(address string, clients int, send func(w io.Writer) error) {
	c.t.Helper()
	var attackers sync.WaitGroup
	for range clients {
		attackers.Go(func() {
			for c.t.Context().Err() == nil {
				conn, err := net.DialTimeout("tcp", address, writeTimeout)
				if err != nil {
					continue
				}
				_ = send(timedWriter{conn})
				_ = conn.Close()
			}
		})
	}
	c.t.Cleanup(attackers.Wait)
}

// timedWriter gives up a write that the other side does not read.
type timedWriter struct{ net.Conn }

// Write implements io.Writer.
func (w timedWriter) Write(b []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(b)
}

// writeAll writes texts one after another.
func writeAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// repeat writes a text until the given number of bytes is reached.
func repeat(w io.Writer, text string, bytes int) error {
	for sent := 0; sent < bytes; sent += len(text) {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a crowd whose connections close before the test ends.
func TestCrowdStaysConnected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := newCrowd(t)
	c.attack(l.Addr().String(), 3, func(w io.Writer) error { return writeAll(w, "x") })
	require.Len(t, c.conns, 3)
}
