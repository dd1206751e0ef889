package tlsfiles

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadadale/cicadadale/internal/testcert"
)

// steppedClock advances by more than the check interval at each call, so that every handshake checks the files.
func steppedClock() func() time.Time {
	now := time.Now()
	return func() time.Time {
		now = now.Add(2 * checkInterval)
		return now
	}
}

func load(t *testing.T, f testcert.Files) *Identity {
	i, err := Load(Files{Certificate: f.Certificate, Key: f.Key, CA: f.CA}, steppedClock(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return i
}

// echo starts a TLS echo server and returns its address.
func echo(t *testing.T, i *Identity) string {
	l, err := tls.Listen("tcp", "127.0.0.1:0", i.Server())
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// exchange sends a byte to an echo server and returns the serial number of the server's certificate.
func exchange(i *Identity, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := i.Dial(ctx, address)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		return "", err
	}
	// With TLS 1.3, a server's rejection of the client's certificate arrives at the first read.
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return "", err
	}
	return c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

// Guards against a changed certificate that needs a restart, and against a partly written one that breaks connections.
func TestReloadWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	ca := testcert.NewAuthority(t, dir, "ca")
	files := ca.Issue(t, dir, "server")
	address := echo(t, load(t, files))
	client := load(t, ca.Issue(t, dir, "client"))
	first, err := exchange(client, address)
	require.NoError(t, err)

	require.NoError(t, os.WriteFile(files.Certificate, []byte("half"), 0o600))
	again, err := exchange(client, address)
	require.NoError(t, err)
	require.Equal(t, first, again)

	ca.Issue(t, dir, "server")
	second, err := exchange(client, address)
	require.NoError(t, err)
	require.NotEqual(t, first, second)
}

// Guards against connections with peers that have no certificate or one of an untrusted authority.
func TestUntrustedAndMissingCertificatesAreRejected(t *testing.T) {
	dir, untrusted := t.TempDir(), t.TempDir()
	ca := testcert.NewAuthority(t, dir, "ca")
	address := echo(t, load(t, ca.Issue(t, dir, "server")))
	other := testcert.NewAuthority(t, untrusted, "ca").Issue(t, untrusted, "client")

	_, err := exchange(load(t, other), address)
	require.Error(t, err, "the client does not trust the server")
	_, err = exchange(load(t, testcert.Files{Certificate: other.Certificate, Key: other.Key, CA: filepath.Join(dir, "ca.pem")}), address)
	require.Error(t, err, "the server does not trust the client")
	_, err = exchange(load(t, testcert.Files{CA: filepath.Join(dir, "ca.pem")}), address)
	require.Error(t, err, "the client presents no certificate")
	plain, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = plain.Close() }()
	_, err = plain.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	reply, _ := io.ReadAll(plain)
	require.NotContains(t, string(reply), "GET")
}
