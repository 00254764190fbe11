package identity

import (
	"time"

	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// settingsPath is the name of the field that holds Settings in all settings files.
const settingsPath = "tls"

// Settings names the PEM files of one process or operator. All three are required.
type Settings struct {
	// CertFile holds the certificate, followed by intermediate certificates if there are any.
	CertFile string `json:"certFile"`
	// KeyFile holds the private key of the certificate.
	KeyFile string `json:"keyFile"`
	// CAFile holds the certificates of the authorities that are trusted, the old and the new one during a change.
	CAFile string `json:"caFile"`
}

// Check reads the files and adds every fault to c. vm is the name that the certificate must carry, empty for an
// operator. A nil s is valid: it stands for no TLS.
func (s *Settings) Check(c *settings.Checks, vm types.VM) {
	if s == nil {
		return
	}
	s.read(c).parse(c, vm, time.Now())
}

// at returns the path of a field of Settings.
func at(field string) string { return settings.Join(settingsPath, field) }
