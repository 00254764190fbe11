package identity

import (
	"time"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// settingsPath is the name of the field for Settings in all settings files.
const settingsPath = "tls"

// Settings names the PEM files of one process or operator. All three are required.
type Settings struct {
	// CertFile holds the certificate, followed by intermediate certificates if there are any.
	CertFile string `json:"certFile"`
	// KeyFile holds the private key of the certificate.
	KeyFile string `json:"keyFile"`
	// CAFile holds the certificates of the trusted CAs, both the old and the new one during a rotation.
	CAFile string `json:"caFile"`
}

// Check reads the files and adds every fault to c. vm is the DNS name that the certificate must have, empty for an
// operator. A nil s is valid and means no TLS.
func (s *Settings) Check(c *settings.Checks, vm types.VM) {
	if s == nil {
		return
	}
	s.readFiles(c).parse(c, vm, time.Now())
}

// fieldPath returns the path of a field of Settings in a settings file.
func fieldPath(field string) string { return settings.Join(settingsPath, field) }
