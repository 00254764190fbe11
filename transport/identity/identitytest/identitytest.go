// Package identitytest creates certificate authorities and certificates for tests.
package identitytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sequoiasail.example/transport/identity"
)

// Extended key usages of the certificates of processes and operators.
var (
	ProcessUsages  = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	OperatorUsages = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
)

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the PEM-encoded certificate of the authority.
	PEM []byte
}

// NewAuthority returns an authority whose certificate is valid from a day ago until a day from now.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{key: newKey(t)}
	template := newTemplate("ca", time.Now().Add(24*time.Hour))
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	a.PEM = a.sign(t, template, template, a.key)
	block, _ := pem.Decode(a.PEM)
	var err error
	if a.certificate, err = x509.ParseCertificate(block.Bytes); err != nil {
		t.Fatal(err)
	}
	return a
}

// Issue issues a certificate for name that is valid until notAfter and writes the three files to dir.
func (a *Authority) Issue(t testing.TB, dir, name string, usage []x509.ExtKeyUsage, notAfter time.Time) identity.Settings {
	t.Helper()
	key := newKey(t)
	template := newTemplate(name, notAfter)
	template.ExtKeyUsage, template.DNSNames = usage, []string{name}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return identity.Settings{
		CertFile: WriteFile(t, dir, "cert.pem", a.sign(t, template, a.certificate, key)),
		KeyFile:  WriteFile(t, dir, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})),
		CAFile:   WriteFile(t, dir, "ca.pem", a.PEM),
	}
}

// WriteFile writes a file to dir and returns its path.
func WriteFile(t testing.TB, dir, name string, data []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (a *Authority) sign(t testing.TB, template, parent *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(name string, notAfter time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62)) // never fails since Go 1.24
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-24 * time.Hour),
		NotAfter:     notAfter,
	}
}
