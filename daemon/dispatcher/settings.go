package dispatcher

import (
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/settings"
)

// Settings is the settings file of sail-dispatcher.
type Settings struct {
	process.Settings
	// PeerAddress is the address at which gateways and other dispatchers connect. Required.
	PeerAddress settings.Address `json:"peerAddress"`
}

// Validate returns an error that lists all invalid settings.
func (s *Settings) Validate() error {
	c := settings.NewChecks()
	s.Check(c)
	c.Address("peerAddress", s.PeerAddress)
	return c.Err()
}
