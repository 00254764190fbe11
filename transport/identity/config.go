package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"slices"

	"sequoiasail.example/types"
)

// clientConfig returns the configuration for one connection to vm. An empty vm stands for any process, which is all
// that a bare address in the settings says.
func (s *Source) clientConfig(ctx context.Context, vm types.VM) *tls.Config {
	m := s.latest(ctx)
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The certificate is sent even when the server names no authority that fits, so that the server can log what it
		// refused.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &m.certificate, nil
		},
		// The verification of crypto/tls needs a host name. VerifyConnection replaces it and is never left out.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return m.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, vm, s.options.Now())
		},
	}
}

// serverConfig returns the configuration for one handshake. With processesOnly, certificates of operators are refused.
func (s *Source) serverConfig(m *material, processesOnly bool) *tls.Config {
	c := &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.roots,
		SessionTicketsDisabled: true,
		Time:                   s.options.Now,
	}
	if processesOnly {
		c.VerifyConnection = verifyProcess
	}
	return c
}

// verifyProcess checks what crypto/tls leaves out. The chain is verified before it is called.
func verifyProcess(state tls.ConnectionState) error {
	leaf := state.PeerCertificates[0]
	if slices.Contains(leaf.ExtKeyUsage, x509.ExtKeyUsageServerAuth) {
		return nil
	}
	return types.NewFault(types.CodePeerUnavailable, "certificate of %q is not that of a process", leaf.DNSNames)
}
