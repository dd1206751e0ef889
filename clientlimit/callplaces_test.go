package clientlimit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that keeps its place without a call or with calls that never end, and against one that is evicted while a
// call of it is served.
func TestConnectionsAreEvictedUnlessACallIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name    string
			frames  func(c *limitedConn)
			evicted bool
		}{
			{"no call", func(*limitedConn) {}, true},
			{"an open call", func(c *limitedConn) { require.NoError(t, c.receive(callHead(1, 0))) }, true},
			{"a call that is served", func(c *limitedConn) { require.NoError(t, c.receive(callHead(1, flagEndStream))) }, false},
			{"one of two calls is served", func(c *limitedConn) {
				require.NoError(t, c.receive(callHead(1, flagEndStream), callHead(3, flagEndStream)))
				c.send(t, callHead(1, flagEndStream))
			}, false},
			{"an answered call", func(c *limitedConn) {
				require.NoError(t, c.receive(callHead(1, flagEndStream)))
				c.send(t, callHead(1, flagEndStream))
			}, true},
			{"an answer that is not read", func(c *limitedConn) {
				require.NoError(t, c.receive(callHead(1, flagEndStream)))
				c.send(t, callHead(1, 0))
			}, true},
		} {
			conn := newLimitedConn(t, NewCallRoom(VM{}))
			require.NoError(t, conn.receive(http2Preface))
			c.frames(conn)
			_, evicted := conn.accepted.table.Admit(ignoreClose, time.Now().Add(minIdleTime), minIdleTime)
			require.Equal(t, c.evicted, evicted == conn.accepted.member, c.name)
		}
	})
}
