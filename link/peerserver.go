package link

import (
	"context"
	"errors"
	"net"
	"time"

	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cicadadale/cicadadale/api"
)

var (
	errSilent    = errors.New("link is silent")
	errRefused   = errors.New("incarnation counts as gone")
	errNotListed = errors.New("incarnation is not accepted now")
)

const (
	// codeRefused is the drpc error code for an incarnation that is refused permanently.
	codeRefused = 1
	// ackSpacing is the shortest time between acknowledgements of statuses, which come every 200 to 300 ms: every second
	// one is acknowledged, before the sender's ackTimeout.
	ackSpacing = 350 * time.Millisecond
	// lastAckDelay is the time after which a status is acknowledged if no later message comes, as when the sender's next one
	// to a member of another failure domain is due seconds later. Senders take a member that acknowledges nothing for 700 ms for
	// silent.
	lastAckDelay = 400 * time.Millisecond
	// peerIdleTimeout closes inbound connections without a message; heartbeats arrive every 500 ms.
	peerIdleTimeout = 5 * time.Second
	// deadlineRenewal is the time for which a deadline of a connection is kept: to move it at each call would cost as
	// much as the rest of a small message.
	deadlineRenewal = time.Second
)

// HandlerResult is the handler's decision on a peer's envelope.
type HandlerResult uint8

// Results. Only an accepted envelope is acknowledged.
const (
	Accepted HandlerResult = iota
	// Ignored envelopes come from a VM that is not on the VM list; it may be listed again.
	Ignored
	// Refused envelopes come from an incarnation that counts as gone.
	Refused
)

// PeerHandler handles the messages of one envelope, in order. It must not block.
type PeerHandler func(env *api.Envelope) HandlerResult

// PeerServer accepts the links of other entry VMs.
type PeerServer struct {
	handler   PeerHandler
	timestamp func() uint64
	cancel    context.CancelFunc
	done      chan struct{}
}

// ServePeers accepts links on l in the background. timestamp returns the time of this process's own clock in
// milliseconds, which each acknowledgement carries; it may be nil.
func ServePeers(l net.Listener, handler PeerHandler, timestamp func() uint64) (*PeerServer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &PeerServer{handler: handler, timestamp: timestamp, cancel: cancel, done: make(chan struct{})}
	mux := drpcmux.New()
	if err := api.DRPCRegisterPeer(mux, s); err != nil {
		cancel()
		return nil, err
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	go func() {
		defer close(s.done)
		// The caller that closed the listener already knows that it is closed.
		_ = server.Serve(ctx, idleListener{l})
	}()
	return s, nil
}

// Exchange implements the generated server interface: it passes envelopes to the handler and acknowledges them.
func (s *PeerServer) Exchange(stream api.DRPCPeer_ExchangeStream) error {
	var sender *api.Envelope
	acks := newAcknowledger(stream, s.timestamp)
	defer acks.stop()
	for {
		env, err := stream.Recv()
		if err != nil {
			return err
		}
		if sender == nil {
			// Only the first envelope of a stream identifies its sender.
			sender = &api.Envelope{
				FromVm: env.GetFromVm(), FromIncarnation: env.GetFromIncarnation(), FromDomain: env.GetFromDomain(),
			}
		}
		env.FromVm, env.FromIncarnation, env.FromDomain = sender.FromVm, sender.FromIncarnation, sender.FromDomain
		switch s.handler(env) {
		case Refused:
			return drpcerr.WithCode(errRefused, codeRefused)
		case Ignored:
			return errNotListed
		}
		if err := acks.accepted(env.GetSequence(), onlyStatus(env)); err != nil {
			return err
		}
	}
}

// onlyStatus reports whether an envelope contains nothing but statuses, of which a later one replaces an earlier one.
func onlyStatus(env *api.Envelope) bool {
	for _, m := range env.GetMessages() {
		if m.GetPoolStatus() == nil {
			return false
		}
	}
	return len(env.GetMessages()) > 0
}

// Close stops accepting links and closes all streams.
func (s *PeerServer) Close() {
	s.cancel()
	<-s.done
}

// idleListener closes inbound connections that are silent for peerIdleTimeout, which otherwise would stay open forever.
type idleListener struct{ net.Listener }

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: c}, nil
}

// idleConn closes a connection on which a read or write takes longer than peerIdleTimeout. drpc reads in one goroutine and
// writes under a lock, so that each renewal has one writer.
type idleConn struct {
	net.Conn
	readRenewed, writeRenewed time.Time
}

// Read implements net.Conn.
func (c *idleConn) Read(b []byte) (int, error) {
	if err := renew(&c.readRenewed, c.SetReadDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *idleConn) Write(b []byte) (int, error) {
	if err := renew(&c.writeRenewed, c.SetWriteDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// renew sets a deadline unless that was done a short time ago.
func renew(renewed *time.Time, set func(time.Time) error) error {
	now := time.Now()
	if now.Sub(*renewed) < deadlineRenewal {
		return nil
	}
	*renewed = now
	return set(now.Add(peerIdleTimeout + deadlineRenewal))
}
