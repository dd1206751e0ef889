package clientlimit

import (
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/metric"
)

// scriptedListener returns an error, then a connection, in turn.
type scriptedListener struct {
	net.Listener
	err   error
	calls int
	// clients are the other ends of the connections.
	clients []net.Conn
}

// Accept implements net.Listener.
func (l *scriptedListener) Accept() (net.Conn, error) {
	if l.calls++; l.calls%2 == 1 {
		return nil, l.err
	}
	server, client := net.Pipe()
	l.clients = append(l.clients, client)
	return server, nil
}

func newTestListener(inner net.Listener, connections int, r metrics.Registry) *Listener {
	l := NewListener("test", Options{
		Connections: connections, Requests: NewRequestRoom(1 << 20), Limits: func() Limits { return testLimits },
		Logger: slog.New(slog.DiscardHandler), Metrics: r,
	})
	l.inner = inner
	return l
}

// Guards against a server that ends because a connection could not be accepted for want of descriptors.
func TestAcceptGoesOnAfterAnError(t *testing.T) {
	inner := &scriptedListener{err: &net.OpError{Op: "accept", Err: syscall.EMFILE}}
	l := newTestListener(inner, 10, metrics.NewRegistry())
	for n := range 2 {
		c, err := l.Accept()
		require.NoError(t, err)
		require.NotNil(t, c)
		require.Equal(t, n+1, l.table.Open())
	}
	inner.err = net.ErrClosed
	_, err := l.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a connection beyond the limit that is accepted without another one being closed, and against refusals that are
// not counted.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	r := metrics.NewRegistry()
	inner := &scriptedListener{err: syscall.ECONNABORTED}
	l := newTestListener(inner, 1, r)
	first, err := l.Accept()
	require.NoError(t, err)
	second, err := l.Accept()
	require.NoError(t, err)
	_, err = inner.clients[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the first connection is evicted")
	require.NoError(t, first.Close())
	require.Equal(t, 1, l.table.Open())
	l.table.Serving(second.(*Conn).member)
	third, client := net.Pipe()
	require.Nil(t, l.admit(third))
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	for name, want := range map[string]int64{metric.ClientsEvicted: 1, metric.ClientsNoConnection: 1, metric.ClientsNoRoom: 0} {
		require.Equal(t, want, metrics.GetOrRegisterCounter(name, r).Count(), name)
	}
}

// Guards against a log that a crowd of refused clients fills.
func TestRefusalsAreLoggedOnceInAWhile(t *testing.T) {
	l := refusalLog{}
	_, due := l.due(TooSlow, testStart)
	require.True(t, due)
	for range 5 {
		_, due = l.due(TooSlow, testStart.Add(logInterval-1))
		require.False(t, due)
	}
	_, due = l.due(NoRoom, testStart)
	require.True(t, due, "another reason")
	dropped, due := l.due(TooSlow, testStart.Add(logInterval))
	require.True(t, due)
	require.Equal(t, 5, dropped)
}
