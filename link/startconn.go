package link

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/client"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

const (
	// maxResultBytes bounds the reply to a start or a fence.
	maxResultBytes = 8 << 20
	// startIdleTimeout is how long an idle connection for starts is kept. It is shorter than the usual idle timeout of
	// servers, since a start on a connection that the worker has just closed is in doubt.
	startIdleTimeout = 10 * time.Second
	// maxIdleStarts bounds the idle connections to a worker. With 8 entry VMs they take 32 of its 64 connections, the
	// starts in its 8 slots take 8, and status polls take 8, which leaves 16 for fencing calls.
	maxIdleStarts = 4
)

var errAbandoned = errors.New("the start was abandoned")

// startConn is a connection for starts. It is its own hertz dialer, so that the connection can be closed while a start
// waits for its reply. mu guards all fields but host.
type startConn struct {
	host *http1.HostClient

	mu        sync.Mutex
	conn      network.Conn
	abandoned bool
}

func newStartConn(address string) *startConn {
	c := &startConn{}
	// Without a retry function the client retries only idempotent methods, and a start is a POST.
	c.host = http1.NewHostClient(&http1.ClientOptions{
		Dialer: c, DialTimeout: workerDialTimeout, MaxConns: 1, MaxIdleConnDuration: startIdleTimeout,
		MaxResponseBodySize: maxResultBytes,
	}).(*http1.HostClient)
	c.host.SetDynamicConfig(&client.DynamicConfig{Addr: address})
	return c
}

// DialConnection implements network.Dialer.
func (c *startConn) DialConnection(n, address string, timeout time.Duration, t *tls.Config) (network.Conn, error) {
	conn, err := standard.NewDialer().DialConnection(n, address, timeout, t)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: n, Err: errAbandoned}
	}
	c.conn = conn
	return conn, nil
}

// DialTimeout implements network.Dialer.
func (c *startConn) DialTimeout(n, address string, timeout time.Duration, _ *tls.Config) (net.Conn, error) {
	return net.DialTimeout(n, address, timeout)
}

// AddTLS implements network.Dialer.
func (c *startConn) AddTLS(conn network.Conn, t *tls.Config) (network.Conn, error) {
	return standard.NewDialer().AddTLS(conn, t)
}

// abandon closes the connection, which fails the request on it.
func (c *startConn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// reuse prepares the connection for another start.
func (c *startConn) reuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = false
}
