package link_test

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"context"

	"github.com/rcrowley/go-metrics"

	"github.com/cicadadale/cicadadale/api"
	"github.com/cicadadale/cicadadale/link"
	"github.com/cicadadale/cicadadale/machine"
)

// Messages to a peer are batched in envelopes on one long-lived stream.
func ExamplePeer() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	received := make(chan string)
	server, err := link.ServePeers(l, func(env *api.Envelope) link.HandlerResult {
		received <- fmt.Sprintf("%s sent %d message", env.GetFromVm(), len(env.GetMessages()))
		return link.Accepted
	}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer server.Close()
	var dialer net.Dialer
	peer := link.NewPeer("entry-2", l.Addr().String(), link.PeerOptions{
		Self: link.Identity{VM: machine.EntryVM{ID: "entry-1", Incarnation: 1}, Domain: 1},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		Lamport: func() uint64 { return 1 }, Now: time.Now, Logger: slog.New(slog.DiscardHandler),
		Metrics: metrics.NewRegistry(),
	})
	defer peer.Close()
	peer.Send(&api.PeerMessage{Body: &api.PeerMessage_Heartbeat{Heartbeat: &api.Heartbeat{}}})
	fmt.Println(<-received)
	// Output:
	// entry-1 sent 1 message
}
