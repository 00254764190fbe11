package process

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/types"
)

// defaultStoreTimeoutMs is far above the few milliseconds in which a healthy store answers.
const defaultStoreTimeoutMs = 1000

// Settings holds the settings that gateways and dispatchers have in common.
type Settings struct {
	// VM is the name of this VM. Required.
	VM types.VM `json:"vm"`
	// DataCentre is the data centre of this VM. Required.
	DataCentre types.DataCentre `json:"dataCentre"`
	// OpsAddress is the listen address of the admin interface, which serves metrics, health and status. Required.
	OpsAddress settings.Address `json:"opsAddress"`
	// StoreAddress is the address of the platform's store. Required.
	StoreAddress settings.Address `json:"storeAddress"`
	// StoreTimeoutMs bounds a call to the store, in milliseconds. Default 1000.
	StoreTimeoutMs settings.Millis `json:"storeTimeoutMs"`
	// Peers lists addresses of dispatchers. A process that starts while the store is unavailable fetches the store's
	// entries from them. Default none: the process then waits for the store.
	Peers []settings.Address `json:"peers"`
	// MemoryMB is the memory that the process may use, in MiB. Its budgets and the memory limit of the Go runtime follow it. Default
	// 0: not known, the budgets are those of a process with about 256 MiB.
	MemoryMB int64 `json:"memoryMB"`
	// Descriptors is the number of descriptors that the process may have open. Default 0: the limit of the operating system.
	Descriptors int `json:"descriptors"`
	// TLS secures the connections to and from peers and the admin interface. Default none: they use plain TCP.
	TLS *identity.Settings `json:"tls"`
}

// SetDefaults sets the defaults. It is called before the settings file is read, so that an explicit 0 is checked and not
// replaced by the default.
func (s *Settings) SetDefaults() { s.StoreTimeoutMs = defaultStoreTimeoutMs }

// Check adds the errors of the common settings to c.
func (s *Settings) Check(c *settings.Checks) {
	c.Require("vm", string(s.VM))
	c.Require("dataCentre", string(s.DataCentre))
	c.Address("opsAddress", s.OpsAddress)
	c.Address("storeAddress", s.StoreAddress)
	for i, address := range s.Peers {
		c.Address(settings.Index("peers", i), address)
	}
	if s.MemoryMB != 0 {
		c.Between("memoryMB", s.MemoryMB, minMemoryMB, maxMemoryMB, "MiB")
	}
	if s.Descriptors != 0 {
		c.Between("descriptors", int64(s.Descriptors), minDescriptors, maxDescriptors, "")
	}
	c.Between("storeTimeoutMs", int64(s.StoreTimeoutMs), 10, 60_000, "ms")
	s.TLS.Check(c, s.VM)
}
