package sailctl

import (
	"strconv"

	"sequoiasail.example/settings"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

// Settings is the content of the settings file of sailctl.
type Settings struct {
	// Store is the IP number and port of the platform's store.
	Store settings.Address `json:"store"`
	// StoreTimeoutMs bounds one call to the store, in milliseconds. Default 2000.
	StoreTimeoutMs settings.Millis `json:"storeTimeoutMs"`
	// StatusTimeoutMs bounds one status query to one process, in milliseconds. Default 1000.
	StatusTimeoutMs settings.Millis `json:"statusTimeoutMs"`
	// Operator is the name that the history shows. Default: the name of the user who runs sailctl.
	Operator string `json:"operator"`
	// SnapshotFile stores the last status seen. The command status shows it for a store or process that does not answer.
	// Default: none.
	SnapshotFile string `json:"snapshotFile"`
	// Processes lists the gateway and dispatcher processes.
	Processes []ProcessSettings `json:"processes"`
	// TLS holds the certificate files for status queries. Default: none, and the queries use plain HTTP.
	TLS *identity.Settings `json:"tls"`
}

// ProcessSettings describes one process.
type ProcessSettings struct {
	VM types.VM `json:"vm"`
	// Role is gateway or dispatcher.
	Role string `json:"role"`
	// Ops is the IP number and port of the process's operators' pages.
	Ops settings.Address `json:"ops"`
}

// Defaults and bounds in milliseconds.
const (
	defaultStoreTimeoutMs  = 2000
	defaultStatusTimeoutMs = 1000
	maxTimeoutMs           = 60000
)

// SetDefaults sets the constant defaults before decoding.
func (s *Settings) SetDefaults() {
	s.StoreTimeoutMs = defaultStoreTimeoutMs
	s.StatusTimeoutMs = defaultStatusTimeoutMs
}

// Validate returns all invalid values as settings.Problems.
func (s *Settings) Validate() error {
	c := settings.NewChecks()
	c.Address("store", s.Store)
	c.Between("storeTimeoutMs", int64(s.StoreTimeoutMs), 1, maxTimeoutMs, "ms")
	c.Between("statusTimeoutMs", int64(s.StatusTimeoutMs), 1, maxTimeoutMs, "ms")
	seen := map[string]int{}
	for i, p := range s.Processes {
		path := settings.Index("processes", i)
		c.Require(path+".vm", string(p.VM))
		if p.Role != "gateway" && p.Role != "dispatcher" {
			c.Fail(path+".role", "must be gateway or dispatcher, not %s", strconv.Quote(p.Role))
		}
		c.Address(path+".ops", p.Ops)
		name := string(p.VM) + "/" + p.Role
		if other, duplicate := seen[name]; duplicate {
			c.Fail(path, "%s is already given at %s", name, settings.Index("processes", other))
			continue
		}
		seen[name] = i
	}
	s.TLS.Check(c, "")
	return c.Err()
}

// identity returns the certificate source, or nil without TLS. Certificates are checked against the system clock, not
// against Environment.Now.
func (s *Settings) identity() *identity.Source {
	if s.TLS == nil {
		return nil
	}
	return identity.New(identity.Options{Settings: *s.TLS})
}

// processes returns the processes in the order of the settings.
func (s *Settings) processes() []operator.Process {
	out := make([]operator.Process, 0, len(s.Processes))
	for _, p := range s.Processes {
		out = append(out, operator.Process{VM: p.VM, Role: p.Role, Address: string(p.Ops)})
	}
	return out
}
