package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"slices"

	"sequoiasail.example/types"
)

// clientConfig returns the configuration for one connection to vm. An empty vm accepts any process; it is used for
// addresses in the settings, which do not name a VM.
func (s *Source) clientConfig(ctx context.Context, vm types.VM) *tls.Config {
	m := s.newestCredentials(ctx)
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The certificate is sent even when the server lists no matching CA, so that the server can log the certificate
		// that it refused.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &m.certificate, nil
		},
		// The verification of crypto/tls needs a host name. VerifyConnection replaces it and is always set.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return m.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, vm, s.options.Now())
		},
	}
}

// serverConfig returns the configuration for one handshake. With processesOnly, certificates of operators are refused.
func (s *Source) serverConfig(m *credentials, processesOnly bool) *tls.Config {
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

// verifyProcess checks that the client's certificate is that of a process, which crypto/tls does not check. crypto/tls
// verifies the chain before it calls this function.
func verifyProcess(state tls.ConnectionState) error {
	leaf := state.PeerCertificates[0]
	if slices.Contains(leaf.ExtKeyUsage, x509.ExtKeyUsageServerAuth) {
		return nil
	}
	return types.NewFault(types.CodePeerUnavailable, "certificate of %q is not a process certificate", leaf.DNSNames)
}
