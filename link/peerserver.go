package link

import (
	"context"
	"errors"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cicadadale/cicadadale/api"
)

var errSilent = errors.New("link is silent")

// PeerHandler takes the messages of one envelope, in order. It must not block.
type PeerHandler func(env *api.Envelope)

// PeerServer accepts the links of other entry VMs.
type PeerServer struct {
	handler PeerHandler
	cancel  context.CancelFunc
	done    chan struct{}
}

// ServePeers accepts links on l in the background.
func ServePeers(l net.Listener, handler PeerHandler) (*PeerServer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &PeerServer{handler: handler, cancel: cancel, done: make(chan struct{})}
	mux := drpcmux.New()
	if err := api.DRPCRegisterPeer(mux, s); err != nil {
		cancel()
		return nil, err
	}
	server := drpcserver.New(mux)
	go func() {
		defer close(s.done)
		// The listener's end is reported to those who closed it.
		_ = server.Serve(ctx, l)
	}()
	return s, nil
}

// Exchange implements the generated server interface: it hands envelopes on and acknowledges them.
func (s *PeerServer) Exchange(stream api.DRPCPeer_ExchangeStream) error {
	for {
		env, err := stream.Recv()
		if err != nil {
			return err
		}
		s.handler(env)
		if err := stream.Send(&api.Envelope{Ack: env.GetSequence()}); err != nil {
			return err
		}
	}
}

// Close stops accepting and ends all streams.
func (s *PeerServer) Close() {
	s.cancel()
	<-s.done
}
