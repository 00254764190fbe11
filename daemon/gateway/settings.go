package gateway

import (
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/settings"
)

const defaultDrainNoticeMs = 1000

// Settings is the settings file of sail-gateway.
type Settings struct {
	process.Settings
	// CallerAddress is the address of the callers' listener. Required.
	CallerAddress settings.Address `json:"callerAddress"`
	// DrainNoticeMs is how long a planned stop shows "draining" on the readiness page before the listener closes, in
	// milliseconds. It should exceed the interval of the load balancer's health checks. Default 1000.
	DrainNoticeMs settings.Millis `json:"drainNoticeMs"`
}

// SetDefaults sets the defaults before the file is read, so that an explicit 0 is kept.
func (s *Settings) SetDefaults() {
	s.Settings.SetDefaults()
	s.DrainNoticeMs = defaultDrainNoticeMs
}

// Validate returns an error that lists all invalid settings.
func (s *Settings) Validate() error {
	c := settings.NewChecks()
	s.Check(c)
	c.Address("callerAddress", s.CallerAddress)
	c.Between("drainNoticeMs", int64(s.DrainNoticeMs), 0, 60_000, "ms")
	return c.Err()
}
