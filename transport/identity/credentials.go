package identity

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"os"
	"time"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// maxFileBytes bounds the size of each file. A certificate with its chain takes a few kilobytes.
const maxFileBytes = 1 << 20

const certificateBlock = "CERTIFICATE"

// fileContents holds the contents of the three files. A file that could not be read is nil.
type fileContents struct {
	cert, key, ca []byte
}

// credentials holds the parsed certificate, key and trusted CAs. It is immutable after parse.
type credentials struct {
	certificate tls.Certificate
	chain       []*x509.Certificate
	roots       *x509.CertPool
}

func (s *Settings) readFiles(c *settings.Checks) fileContents {
	return fileContents{
		cert: readFile(c, fieldPath("certFile"), s.CertFile),
		key:  readFile(c, fieldPath("keyFile"), s.KeyFile),
		ca:   readFile(c, fieldPath("caFile"), s.CAFile),
	}
}

func readFile(c *settings.Checks, path, name string) []byte {
	if name == "" {
		c.Fail(path, "is required")
		return nil
	}
	f, err := os.Open(name)
	if err != nil {
		c.Fail(path, "cannot read the file: %v", err)
		return nil
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	switch {
	case err != nil:
		c.Fail(path, "cannot read the file: %v", err)
	case len(data) > maxFileBytes:
		c.Fail(path, "the file is larger than %d bytes", maxFileBytes)
	case len(data) == 0:
		c.Fail(path, "the file is empty")
	default:
		return data
	}
	return nil
}

// digest returns the concatenated hashes of the files. Each file is hashed separately, so that bytes that move from one
// file to the next change the digest.
func (f fileContents) digest() [3 * sha256.Size]byte {
	var out [3 * sha256.Size]byte
	for i, data := range [][]byte{f.cert, f.key, f.ca} {
		sum := sha256.Sum256(data)
		copy(out[i*sha256.Size:], sum[:])
	}
	return out
}

// parse returns the credentials. When the files are invalid or inconsistent it returns nil and adds the faults to c.
// The faults of files that could not be read are already in c.
func (f fileContents) parse(c *settings.Checks, vm types.VM, now time.Time) *credentials {
	m := &credentials{
		chain: parseCertificates(c, fieldPath("certFile"), f.cert),
		roots: x509.NewCertPool(),
	}
	authorities := parseCertificates(c, fieldPath("caFile"), f.ca)
	for _, authority := range authorities {
		m.roots.AddCert(authority)
	}
	if len(m.chain) > 0 && f.key != nil {
		m.parseKey(c, f)
	}
	if len(m.chain) > 0 && len(authorities) > 0 {
		m.checkOwn(c, vm, now)
	}
	if len(c.Problems) > 0 {
		return nil
	}
	return m
}

func (m *credentials) parseKey(c *settings.Checks, f fileContents) {
	certificate, err := tls.X509KeyPair(f.cert, f.key)
	if err != nil {
		c.Fail(fieldPath("keyFile"), "is not the key of the certificate: %v", err)
		return
	}
	m.certificate = certificate
}

// checkOwn adds a fault to c when other processes would refuse the certificate.
func (m *credentials) checkOwn(c *settings.Checks, vm types.VM, now time.Time) {
	if err := m.verify(m.chain, x509.ExtKeyUsageClientAuth, vm, now); err != nil {
		c.Fail(fieldPath("certFile"), "would be refused: %v", err)
		return
	}
	if vm == "" {
		return
	}
	if err := m.verify(m.chain, x509.ExtKeyUsageServerAuth, vm, now); err != nil {
		c.Fail(fieldPath("certFile"), "would be refused: %v", err)
	}
}

// parseCertificates refuses a file when any certificate in it cannot be parsed: package pem skips such blocks, so a
// truncated CA file would silently trust fewer CAs.
func parseCertificates(c *settings.Checks, path string, data []byte) []*x509.Certificate {
	if data == nil {
		return nil
	}
	blocks := bytes.Count(data, []byte("-----BEGIN "+certificateBlock+"-----"))
	var out []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			c.Fail(path, "certificate %d cannot be read: %v", len(out)+1, err)
			return nil
		}
		out = append(out, certificate)
	}
	if blocks == 0 || len(out) != blocks {
		c.Fail(path, "%d of %d certificates can be read; at least one is needed, and all must be whole", len(out), blocks)
		return nil
	}
	return out
}

// verify checks a chain, leaf first, against the trusted CAs. An empty vm accepts any name.
func (m *credentials) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, vm types.VM, now time.Time) error {
	if len(chain) == 0 {
		return types.NewFault(types.CodePeerUnavailable, "no certificate given")
	}
	options := x509.VerifyOptions{
		Roots:         m.roots,
		Intermediates: x509.NewCertPool(),
		DNSName:       string(vm),
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	}
	for _, certificate := range chain[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return types.WrapFault(types.CodePeerUnavailable, err, "certificate of %q not accepted", chain[0].DNSNames)
	}
	return nil
}
