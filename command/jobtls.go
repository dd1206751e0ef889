package command

import (
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/grpc/credentials"

	"github.com/cicadadale/cicadadale/internal/tlsfiles"
)

// callerCredentials returns the credentials that the TLS flags select, or nil for plain TCP.
func callerCredentials(c *cli.Command) (credentials.TransportCredentials, error) {
	f := tlsfiles.Files{
		Certificate: c.String("tls-certificate"), Key: c.String("tls-key"), CA: c.String("tls-ca"),
	}
	if f == (tlsfiles.Files{}) {
		return nil, nil
	}
	id, err := tlsfiles.Load(f, time.Now, newLogger("warn"))
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(id.Client(c.String("tls-server-name"))), nil
}
