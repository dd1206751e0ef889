package clientlimit

import (
	"context"
	"net"
	"sync"
)

// bareConn is a connection that is bounded in number only. What is above it tells the table when it is being served.
type bareConn struct {
	net.Conn
	table  *Table
	member *Member
	// ctx ends when the connection is closed or aborted.
	ctx     context.Context
	cancel  context.CancelFunc
	closing sync.Once
}

func newBareConn(conn net.Conn, t *Table) *bareConn {
	c := &bareConn{Conn: conn, table: t}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// abort ends the connection for its client. The server notices that and closes it.
func (c *bareConn) abort() {
	c.cancel()
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *bareConn) Close() error {
	c.closing.Do(func() { c.table.Remove(c.member) })
	c.cancel()
	return c.Conn.Close()
}
