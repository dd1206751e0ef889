// Package tlsfiles builds TLS configurations from files and reloads changed files without a restart.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

// checkInterval bounds how often the files are checked; handshakes in between use the cached content.
const checkInterval = time.Second

// Files names the PEM files of an identity. CA verifies the peer; it may be empty for a server that accepts clients
// without a certificate and for a client that trusts the system's authorities.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// Identity is a certificate with its key and the trusted authorities, loaded from files. mu guards the fields below it.
type Identity struct {
	files  Files
	now    func() time.Time
	logger *slog.Logger

	mu       sync.Mutex
	checked  time.Time
	versions [3]fileVersion
	current  material
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// material is the parsed content of the files. It is immutable.
type material struct {
	certificates []tls.Certificate
	authorities  *x509.CertPool
}

// Load reads the files. A later handshake picks up changes of the files. If the changed files cannot be read, a warning
// is logged and the previous content stays in use.
func Load(f Files, now func() time.Time, logger *slog.Logger) (*Identity, error) {
	i := &Identity{files: f, now: now, logger: logger}
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	i.current, i.versions, i.checked = m, f.versions(), now()
	return i, nil
}

func (f Files) read() (material, error) {
	var m material
	if f.Certificate != "" {
		c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
		if err != nil {
			return m, fmt.Errorf("certificate %s with key %s: %w", f.Certificate, f.Key, err)
		}
		m.certificates = []tls.Certificate{c}
	}
	if f.CA == "" {
		return m, nil
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return m, err
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(text) {
		return m, fmt.Errorf("%s contains no certificate", f.CA)
	}
	return m, nil
}

func (f Files) versions() [3]fileVersion {
	var out [3]fileVersion
	for i, name := range []string{f.Certificate, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

// material returns the latest content that could be read.
func (i *Identity) material() material {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if now.Sub(i.checked) < checkInterval {
		return i.current
	}
	i.checked = now
	versions := i.files.versions()
	if versions == i.versions {
		return i.current
	}
	m, err := i.files.read()
	if err != nil {
		// Certificate and key may be replaced one after the other; a later check then reads both.
		i.logger.Warn("changed TLS files cannot be read; the previous ones stay in use", "error", err)
		return i.current
	}
	i.current, i.versions = m, versions
	i.logger.Info("TLS files reloaded", "certificate", i.files.Certificate)
	return m
}

// Server returns the configuration of a server. With a CA, clients must present a certificate that it has signed.
func (i *Identity) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := i.material()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: m.certificates}
			if m.authorities != nil {
				c.ClientCAs, c.ClientAuth = m.authorities, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Listen wraps a listener with TLS.
func (i *Identity) Listen(l net.Listener) net.Listener { return tls.NewListener(l, i.Server()) }

// Client returns the configuration of one connection to a server. An empty name selects the host dialled.
func (i *Identity) Client(serverName string) *tls.Config {
	m := i.material()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, ServerName: serverName, Certificates: m.certificates, RootCAs: m.authorities,
	}
}

// Dial opens a TLS connection with the current content of the files.
func (i *Identity) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{Config: i.Client("")}
	return d.DialContext(ctx, "tcp", address)
}
