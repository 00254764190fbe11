package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"

	"sequoiasail.example/types"
)

// ClientConfig returns the configuration for one connection to vm. An empty vm stands for any process, which is all
// that a bare address in the settings says.
func (s *Source) ClientConfig(ctx context.Context, vm types.VM) *tls.Config {
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

// ServerConfig returns a configuration that looks at the files on each handshake. With processesOnly, certificates of
// operators are refused.
func (s *Source) ServerConfig(processesOnly bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(s.latest(hello.Context()), processesOnly), nil
		},
	}
}

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
		c.VerifyConnection = func(state tls.ConnectionState) error {
			return m.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth, "", s.options.Now())
		}
	}
	return c
}
