// Package testcert creates certificates for tests.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const validity = 24 * time.Hour

// Files names the files of a certificate, its key and the authority that signed it.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// Authority is a certificate authority.
type Authority struct {
	path string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority and writes its certificate to dir.
func NewAuthority(t testing.TB, dir, name string) *Authority {
	t.Helper()
	a := &Authority{path: filepath.Join(dir, name+".pem"), key: newKey(t), cert: template(t, name)}
	a.cert.IsCA, a.cert.BasicConstraintsValid, a.cert.KeyUsage = true, true, x509.KeyUsageCertSign
	writePEM(t, a.path, "CERTIFICATE", sign(t, a.cert, a.cert, a.key, a.key))
	return a
}

// Issue writes a certificate for 127.0.0.1, ::1 and the given addresses, for use by servers and clients.
func (a *Authority) Issue(t testing.TB, dir, name string, addresses ...net.IP) Files {
	t.Helper()
	f := Files{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: a.path}
	key, c := newKey(t), template(t, name)
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	c.IPAddresses = append([]net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}, addresses...)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	check(t, err)
	writePEM(t, f.Key, "PRIVATE KEY", der)
	writePEM(t, f.Certificate, "CERTIFICATE", sign(t, c, a.cert, key, a.key))
	return f
}

func template(t testing.TB, name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	check(t, err)
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(validity),
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func sign(t testing.TB, c, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	check(t, err)
	return der
}

func writePEM(t testing.TB, path, kind string, der []byte) {
	check(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
