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
)

// pipeListener connects in memory, so that links work under testing/synctest.
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

// muteConn passes nothing on once it is muted, and blocks both sides until it is closed.
type muteConn struct {
	net.Conn
	muted, closed chan struct{}
	once          sync.Once
}

func (c *muteConn) blocked() bool {
	select {
	case <-c.muted:
		<-c.closed
		return true
	default:
		return false
	}
}

func (c *muteConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blocked() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *muteConn) Write(b []byte) (int, error) {
	if c.blocked() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c *muteConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a link that stays on a connection which went silent for good, with its sender blocked: heartbeats must
// get through again within 1.5 s.
func TestSilentPeerLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		heard := make(chan time.Time, 100)
		server, err := link.ServePeers(l, func(*api.Envelope) link.Reception {
			heard <- time.Now()
			return link.Accepted
		}, nil)
		require.NoError(t, err)
		muted := make(chan struct{})
		dials := 0
		peer := link.NewPeer("b", "", link.PeerOptions{
			Self: link.Identity{VM: machine.EntryVM{ID: "a", Incarnation: 1}, Domain: 1},
			Dial: func(context.Context, string) (net.Conn, error) {
				here, there := net.Pipe()
				c := &muteConn{Conn: here, muted: make(chan struct{}), closed: make(chan struct{})}
				if dials == 0 {
					c.muted = muted
				}
				dials++
				l.conns <- there
				return c, nil
			},
			Lamport: func() uint64 { return 1 }, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
			Metrics: metrics.NewRegistry(),
		})
		beat := func() { peer.Send(&api.PeerMessage{Body: &api.PeerMessage_Heartbeat{Heartbeat: &api.Heartbeat{}}}) }
		for range 4 {
			beat()
			time.Sleep(500 * time.Millisecond)
		}
		require.Len(t, heard, 4)
		close(muted)
		silent := time.Now()
		for range 4 {
			beat()
			time.Sleep(500 * time.Millisecond)
		}
		require.Greater(t, len(heard), 4, "no heartbeat over another connection")
		for range 4 {
			<-heard
		}
		require.LessOrEqual(t, (<-heard).Sub(silent), 1500*time.Millisecond)
		peer.Close()
		server.Close()
	})
}
