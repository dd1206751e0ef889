package link

import (
	"errors"
	"net"
)

// isDialError reports whether opening the connection failed, so that no request byte was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
