package link

import (
	"errors"
	"net"
)

// isDialError reports whether a connection could not be opened, so that nothing was written to it.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
