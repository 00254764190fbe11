package settings

import (
	"net/netip"
	"strconv"
	"time"

	"sequoiasail.example/types"
)

// Millis is a time in milliseconds. In JSON it is a whole number; names of fields end in Ms.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Default sets m to d when it is zero.
func (m *Millis) Default(d Millis) {
	if *m == 0 {
		*m = d
	}
}

// Address is the IP number and port of a process or target, for example 127.0.0.1:21000 or [::1]:21000. Processes are
// addressed by IP number, so names are refused.
type Address string

// Check returns a fault message, or "" when a is an IP number with a port other than 0.
func (a Address) Check() string {
	parsed, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return "must be an IP number and port such as 127.0.0.1:21000, not " + quote(string(a))
	}
	if parsed.Port() == 0 {
		return "needs a port other than 0"
	}
	return ""
}

// Checks collects the faults of one struct's Validate.
type Checks struct {
	// Code is given to every fault.
	Code types.Code
	// Problems holds the faults found so far.
	Problems Problems
}

// NewChecks returns an empty collection for settings.
func NewChecks() *Checks { return &Checks{Code: types.CodeBadSettings} }

// Fail adds a fault at path.
func (c *Checks) Fail(path, format string, args ...any) {
	c.Problems.Add(c.Code, path, format, args...)
}

// Require adds a fault when text is empty.
func (c *Checks) Require(path, text string) {
	if text == "" {
		c.Fail(path, "is required")
	}
}

// Address adds a fault when a is no IP number with port.
func (c *Checks) Address(path string, a Address) {
	if why := a.Check(); why != "" {
		c.Fail(path, "%s", why)
	}
}

// Between adds a fault when value is outside low to high. The unit appears in the message and may be empty.
func (c *Checks) Between(path string, value, low, high int64, unit string) {
	if value >= low && value <= high {
		return
	}
	if unit != "" {
		unit = " " + unit
	}
	c.Fail(path, "must be from %d to %d%s, not %d", low, high, unit, value)
}

// Err returns the faults as Problems, or nil.
func (c *Checks) Err() error { return c.Problems.Err() }

// quote shortens s so that one wrong value does not fill the line.
func quote(s string) string {
	const limit = 60
	if len(s) > limit {
		s = s[:limit] + "..."
	}
	return strconv.Quote(s)
}
