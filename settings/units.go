package settings

import (
	"net/netip"
	"strconv"
	"time"

	"sequoiasail.example/types"
)

// Millis is a duration in milliseconds. In JSON it is a whole number, in a field whose name ends in Ms.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Default sets m to d when it is zero.
func (m *Millis) Default(d Millis) {
	if *m == 0 {
		*m = d
	}
}

// Address is the IP address and port of a process or target, for example 127.0.0.1:21000 or [::1]:21000. Host names are
// rejected.
type Address string

// Check returns a fault message, or "" when a is an IP address with a port other than 0.
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

// Checks collects the faults that the Validate method of one struct finds.
type Checks struct {
	// Code is given to every fault.
	Code types.Code
	// Problems holds the faults found so far.
	Problems Problems
}

// NewChecks returns an empty collection with code bad-settings.
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

// Address adds a fault when a is not an IP address with a port.
func (c *Checks) Address(path string, a Address) {
	if message := a.Check(); message != "" {
		c.Fail(path, "%s", message)
	}
}

// Between adds a fault when value is less than low or greater than high. The unit appears in the message and may be empty.
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

// quote returns s as a quoted string, shortened so that one wrong value does not fill the line.
func quote(s string) string {
	const limit = 60
	if len(s) > limit {
		s = s[:limit] + "..."
	}
	return strconv.Quote(s)
}
