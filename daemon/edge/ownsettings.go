package edge

import "sequoiasail.example/settings"

// OwnSettings are the settings of the daemon that the platform doesn't set. The zero value is the default.
type OwnSettings struct {
	SecondSends   SecondSends   `json:"secondSends"`
	SilentTargets SilentTargets `json:"silentTargets"`
}

// SecondSends are the settings of requests that are sent a second time while their first attempt is in flight.
type SecondSends struct {
	// Limit is the share of the requests of a service that may be sent a second time; 0 for none.
	Limit float64 `json:"limit"`
}

// SilentTargets are the settings of requests that get no sign of life of their target.
type SilentTargets struct {
	// GiveUp is true if such requests are given up and retried at another target.
	GiveUp bool `json:"giveUp"`
}

// maxSecondSendLimit bounds SecondSends.Limit: the retry budget of the platform is a fifth of the requests.
const maxSecondSendLimit = 0.2

// Validate returns the faults of the settings as settings.Problems.
func (o OwnSettings) Validate() error {
	checks := settings.NewChecks()
	// The comparison is also false for NaN.
	if l := o.SecondSends.Limit; !(l >= 0 && l <= maxSecondSendLimit) {
		checks.Fail("secondSends.limit", "must be from 0 to %g, not %g", maxSecondSendLimit, l)
	}
	return checks.Err()
}
