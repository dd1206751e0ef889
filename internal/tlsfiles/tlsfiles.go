// Package tlsfiles builds TLS configurations from files and follows changes of the files without a restart.
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

// checkInterval bounds how often the files are looked at; handshakes in between use what was read.
const checkInterval = time.Second

// Files name the parts of one side's identity. CA verifies the other side; it may be empty for a server that accepts
// clients without a certificate and for a client that trusts the system's authorities.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// Identity is a certificate with its key and the authorities that it trusts, as read from files. Its mutex guards
// all fields but files, now and logger.
type Identity struct {
	files  Files
	now    func() time.Time
	logger *slog.Logger

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current material
}

// stamp tells versions of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

// material is what the files hold. It is never changed once it is in use.
type material struct {
	certificates []tls.Certificate
	authorities  *x509.CertPool
}

// Load reads the files. Later changes of the files are picked up by the next handshake; a version that cannot be read
// is logged and the one before stays in use.
func Load(f Files, now func() time.Time, logger *slog.Logger) (*Identity, error) {
	i := &Identity{files: f, now: now, logger: logger}
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	i.current, i.stamps, i.checked = m, f.stamps(), now()
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
		return m, fmt.Errorf("%s holds no certificate", f.CA)
	}
	return m, nil
}

func (f Files) stamps() [3]stamp {
	var out [3]stamp
	for i, name := range []string{f.Certificate, f.Key, f.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = stamp{changed: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

// material returns the latest readable version.
func (i *Identity) material() material {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if now.Sub(i.checked) < checkInterval {
		return i.current
	}
	i.checked = now
	stamps := i.files.stamps()
	if stamps == i.stamps {
		return i.current
	}
	m, err := i.files.read()
	if err != nil {
		// Certificate and key are replaced one after the other; the next check sees both.
		i.logger.Warn("changed TLS files cannot be read; the previous ones stay in use", "error", err)
		return i.current
	}
	i.current, i.stamps = m, stamps
	i.logger.Info("TLS files reloaded", "certificate", i.files.Certificate)
	return m
}

// Server returns the configuration of a listening side. With a CA, clients must show a certificate that it signed.
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

// Listen puts TLS on a listener.
func (i *Identity) Listen(l net.Listener) net.Listener { return tls.NewListener(l, i.Server()) }

// Client returns the configuration of one connection to a server. An empty name stands for the host dialled.
func (i *Identity) Client(serverName string) *tls.Config {
	m := i.material()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, ServerName: serverName, Certificates: m.certificates, RootCAs: m.authorities,
	}
}

// Dial opens a TLS connection with the files of this moment.
func (i *Identity) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{Config: i.Client("")}
	return d.DialContext(ctx, "tcp", address)
}
