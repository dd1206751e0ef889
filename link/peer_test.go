package link_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
	"github.com/cicadadale/cicadadale/metric"
)

// pipeListener accepts in-memory connections, so that links work under testing/synctest.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// blockableConn transfers no data once block is closed; reads and writes then block until the connection is closed.
type blockableConn struct {
	net.Conn
	block, closed chan struct{}
	once          sync.Once
}

func (c *blockableConn) blocked() bool {
	select {
	case <-c.block:
		<-c.closed
		return true
	default:
		return false
	}
}

func (c *blockableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blocked() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blockableConn) Write(b []byte) (int, error) {
	if c.blocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *blockableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a link that never replaces a connection that has become silent and blocks its sender: heartbeats must
// arrive again within 1.5 s.
func TestSilentPeerLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		received := make(chan time.Time, 100)
		server, err := link.ServePeers(l, func(*api.Envelope) link.HandlerResult {
			received <- time.Now()
			return link.Accepted
		}, nil)
		require.NoError(t, err)
		block := make(chan struct{})
		dials := 0
		peer := link.NewPeer("b", "", link.PeerOptions{
			Self: link.Identity{VM: machine.EntryVM{ID: "a", Incarnation: 1}, Domain: 1},
			Dial: func(context.Context, string) (net.Conn, error) {
				here, there := net.Pipe()
				c := &blockableConn{Conn: here, block: make(chan struct{}), closed: make(chan struct{})}
				if dials == 0 {
					c.block = block
				}
				dials++
				l.conns <- there
				return c, nil
			},
			Lamport: func() uint64 { return 1 }, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
			Metrics: metrics.NewRegistry(),
		})
		sendHeartbeat := func() {
			peer.Send(&api.PeerMessage{Body: &api.PeerMessage_Heartbeat{Heartbeat: &api.Heartbeat{}}})
		}
		for range 4 {
			sendHeartbeat()
			time.Sleep(500 * time.Millisecond)
		}
		require.Len(t, received, 4)
		close(block)
		blockedAt := time.Now()
		for range 4 {
			sendHeartbeat()
			time.Sleep(500 * time.Millisecond)
		}
		require.Greater(t, len(received), 4, "no heartbeat arrived over another connection")
		for range 4 {
			<-received
		}
		require.LessOrEqual(t, (<-received).Sub(blockedAt), 1500*time.Millisecond)
		peer.Close()
		server.Close()
	})
}

// Guards against a sender that takes its peer for silent when it has sent two statuses shortly after each other and then none
// for a while, as to the members of other failure domains in a large deployment.
func TestLastStatusOfASeriesIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		server, err := link.ServePeers(l, func(*api.Envelope) link.HandlerResult { return link.Accepted }, nil)
		require.NoError(t, err)
		defer server.Close()
		registry := metrics.NewRegistry()
		acked := make(chan time.Time, 100)
		peer := link.NewPeer("b", "", link.PeerOptions{
			Self: link.Identity{VM: machine.EntryVM{ID: "a", Incarnation: 1}, Domain: 1},
			Dial: func(context.Context, string) (net.Conn, error) {
				here, there := net.Pipe()
				l.conns <- there
				return here, nil
			},
			Lamport: func() uint64 { return 1 }, Now: time.Now, Logger: slog.New(slog.DiscardHandler), Metrics: registry,
			OnAck: func(_ string, sent time.Time) { acked <- sent },
		})
		defer peer.Close()
		sendStatus := func() time.Time {
			peer.Send(&api.PeerMessage{Body: &api.PeerMessage_PoolStatus{PoolStatus: &api.PoolStatus{}}})
			return time.Now()
		}
		first := sendStatus()
		time.Sleep(200 * time.Millisecond)
		last := sendStatus()
		time.Sleep(500 * time.Millisecond)
		require.Zero(t, peer.AckDelay(time.Now()))
		require.Len(t, acked, 2)
		require.Equal(t, first, <-acked)
		require.Equal(t, last, <-acked)
		time.Sleep(time.Second)
		require.Zero(t, metrics.GetOrRegisterCounter(metric.PeerLinksReplaced, registry).Count())

		// Later statuses make the acknowledgement of earlier ones unnecessary: every second one is acknowledged.
		for range 8 {
			sendStatus()
			time.Sleep(200 * time.Millisecond)
		}
		require.Len(t, acked, 4)
	})
}
