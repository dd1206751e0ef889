package load_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/load"
)

// startTarget starts a server that leaves its connections to the test, and returns its address.
func startTarget(t *testing.T) (string, <-chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}

// connect opens a connection and sends a message on it.
func connect(t *testing.T, r *load.Relay, message string) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	send(t, c, message)
	return c
}

func send(t *testing.T, c net.Conn, message string) {
	_, err := c.Write([]byte(message))
	require.NoError(t, err)
}

func requireReads(t *testing.T, c net.Conn, message string) {
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	got := make([]byte, len(message))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, message, string(got))
}

// requireSilent checks that a connection is open and that nothing arrives on it.
func requireSilent(t *testing.T, c net.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

// requireClosed checks that a connection ends, which is a reset if the relay has not read all that was sent on it.
func requireClosed(t *testing.T, c net.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	_, err := c.Read(make([]byte, 1))
	require.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Guards against a relay that shows the target the end of lost clients before the last of the nested outages ends, or that
// connects new clients meanwhile.
func TestTargetDoesNotSeeThatClientsAreLost(t *testing.T) {
	target, accepted := startTarget(t)
	r, err := load.NewRelay(target)
	require.NoError(t, err)
	defer r.Close()
	client := connect(t, r, "x")
	server := <-accepted
	requireReads(t, server, "x")

	outer := r.LoseClients()
	requireClosed(t, client)
	send(t, server, "answer")
	requireSilent(t, server)
	inner := r.LoseClients()
	later := connect(t, r, "x")
	requireSilent(t, later)
	r.Reset()
	outer.End()
	outer.End()
	requireSilent(t, server)
	requireSilent(t, later)
	require.Empty(t, accepted)
	inner.End()
	requireClosed(t, server)
	requireClosed(t, later)

	connect(t, r, "y")
	requireReads(t, <-accepted, "y")
}

// Guards against a partition that passes anything on, the end of a side included, or that lets new connections through.
func TestPartitionIsSilentUntilItsEnd(t *testing.T) {
	target, accepted := startTarget(t)
	r, err := load.NewRelay(target)
	require.NoError(t, err)
	defer r.Close()
	leaving, staying := connect(t, r, "x"), connect(t, r, "x")
	servers := []net.Conn{<-accepted, <-accepted}
	for _, s := range servers {
		requireReads(t, s, "x")
	}

	outer, inner := r.Partition(), r.Partition()
	require.NoError(t, leaving.Close())
	send(t, staying, "request")
	for _, s := range servers {
		send(t, s, "answer")
	}
	r.Cut()
	r.Restore()
	next := connect(t, r, "x")
	outer.End()
	for _, c := range []net.Conn{staying, next, servers[0], servers[1]} {
		requireSilent(t, c)
	}
	require.Empty(t, accepted)
	inner.End()
	for _, c := range []net.Conn{staying, next, servers[0], servers[1]} {
		requireClosed(t, c)
	}

	connect(t, r, "y")
	requireReads(t, <-accepted, "y")
}

// Guards against a relay that takes a client for the last sender that has only connected, or sent something earlier.
func TestLastSenderIsTheOneThatSentLast(t *testing.T) {
	target, accepted := startTarget(t)
	r, err := load.NewSenderRelay(target, func(first []byte) (string, bool) { return string(first[:len(first)-1]), len(first) > 1 })
	require.NoError(t, err)
	defer r.Close()
	require.Empty(t, r.LastSender())
	a := connect(t, r, "a.")
	atA := <-accepted
	requireReads(t, atA, "a.")
	connect(t, r, "b.")
	atB := <-accepted
	requireReads(t, atB, "b.")
	require.Equal(t, "b", r.LastSender())
	send(t, a, "request")
	requireReads(t, atA, "request")
	send(t, atB, "answer")
	require.Equal(t, "a", r.LastSender())
}

// Guards against a partition between two machines that affects a third one, or that a connection escapes whose sender was
// not known when it began.
func TestPartitionOfOneSender(t *testing.T) {
	target, accepted := startTarget(t)
	r, err := load.NewSenderRelay(target, func(first []byte) (string, bool) { return string(first[:len(first)-1]), len(first) > 1 })
	require.NoError(t, err)
	defer r.Close()
	a := connect(t, r, "a.")
	atA := <-accepted
	requireReads(t, atA, "a.")
	b := connect(t, r, "b.")
	atB := <-accepted
	requireReads(t, atB, "b.")
	unknown := connect(t, r, "a")

	p := r.Partition("a")
	send(t, unknown, ".")
	send(t, a, "request")
	send(t, b, "request")
	requireReads(t, atB, "request")
	for _, c := range []net.Conn{a, atA, unknown, connect(t, r, "a.")} {
		requireSilent(t, c)
	}
	require.Empty(t, accepted)
	connect(t, r, "b.")
	requireReads(t, <-accepted, "b.")
	p.End()
	requireClosed(t, a)
	requireClosed(t, atA)
	requireClosed(t, unknown)
	send(t, b, "more")
	requireReads(t, atB, "more")
}

// Guards against connections that outlive a relay which is closed during an outage.
func TestClosedRelayEndsItsOutages(t *testing.T) {
	target, accepted := startTarget(t)
	r, err := load.NewRelay(target)
	require.NoError(t, err)
	client := connect(t, r, "x")
	server := <-accepted
	requireReads(t, server, "x")
	p := r.Partition()
	held := connect(t, r, "x")
	requireSilent(t, held)
	r.Close()
	for _, c := range []net.Conn{client, server, held} {
		requireClosed(t, c)
	}
	p.End()
}
