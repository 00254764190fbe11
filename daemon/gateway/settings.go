package gateway

import (
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/settings"
)

// Settings is the settings file of sail-gateway.
type Settings struct {
	process.Settings
	// CallerAddress is where callers connect. Required.
	CallerAddress settings.Address `json:"callerAddress"`
}

// Validate reports all faults.
func (s *Settings) Validate() error {
	c := settings.NewChecks()
	s.Check(c)
	c.Address("callerAddress", s.CallerAddress)
	return c.Err()
}
