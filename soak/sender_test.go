package soak

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"

	"github.com/cicadadale/cicadadale/api"
)

// Guards against partitions between daemons that affect no connection because the sender of a peer stream is not found.
func TestPeerSenderIsNamedByTheFirstEnvelope(t *testing.T) {
	ours, theirs := net.Pipe()
	conn := drpcconn.New(ours)
	t.Cleanup(func() { _ = theirs.Close(); _ = conn.Close() })
	go func() {
		stream, err := api.NewDRPCPeerClient(conn).Exchange(context.Background())
		if err == nil {
			// The test ends the stream.
			_ = stream.Send(&api.Envelope{FromVm: "edge-0-1", Sequence: 1, Lamport: 7})
		}
	}()
	var sent []byte
	for b := make([]byte, 1); ; {
		_, err := io.ReadFull(theirs, b)
		require.NoError(t, err)
		sent = append(sent, b...)
		if vm, decided := peerSender(sent); decided {
			require.Equal(t, "edge-0-1", vm)
			break
		}
	}
}
