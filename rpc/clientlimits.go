package rpc

import (
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/cicadadale/cicadadale/clientlimit"
)

const (
	// maxHeaderListBytes bounds the metadata of a call.
	maxHeaderListBytes = 64 << 10
	handshakeTimeout   = 10 * time.Second
	// A connection without calls is closed after idleConnectionTime, one that does not answer a ping after pingInterval and pingTimeout.
	idleConnectionTime = 10 * time.Minute
	pingInterval       = time.Minute
	pingTimeout        = 20 * time.Second
	// bufferBytes is the size of the buffers of a connection for reading and for writing.
	bufferBytes = 8 << 10
)

// connectionLimits bounds what a connection may hold before a call begins.
func connectionLimits() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: idleConnectionTime, Time: pingInterval, Timeout: pingTimeout,
		}),
	}
}

// limitedCredentials bounds the calls on each connection. The bytes of a connection are readable only after its handshake.
type limitedCredentials struct {
	credentials.TransportCredentials
	clients *clientlimit.Process
}

// limitCalls returns credentials whose connections are bounded by the limits of the process. creds may be nil.
func limitCalls(creds credentials.TransportCredentials, clients *clientlimit.Process) credentials.TransportCredentials {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return limitedCredentials{creds, clients}
}

// ServerHandshake implements credentials.TransportCredentials.
func (l limitedCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := l.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	limited, err := l.clients.LimitCalls(raw, conn)
	if err != nil {
		return nil, nil, err
	}
	return limited, limitedAuth{info, limited}, nil
}

// limitedAuth carries the connection of a call to its handler.
type limitedAuth struct {
	credentials.AuthInfo
	conn *clientlimit.CallConn
}

// Clone implements credentials.TransportCredentials.
func (l limitedCredentials) Clone() credentials.TransportCredentials {
	return limitedCredentials{l.TransportCredentials.Clone(), l.clients}
}
