package process

import (
	"sequoiasail.example/settings"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/types"
)

// defaultStoreTimeoutMs bounds calls to the store, which answers in milliseconds when it is healthy.
const defaultStoreTimeoutMs = 1000

// Settings is what gateways and dispatchers have in common.
type Settings struct {
	// VM is the name of this VM. Required.
	VM types.VM `json:"vm"`
	// DataCentre is the data centre of this VM. Required.
	DataCentre types.DataCentre `json:"dataCentre"`
	// OpsAddress is where operators reach the process: metrics, health and status. Required.
	OpsAddress settings.Address `json:"opsAddress"`
	// StoreAddress is the address of the platform's store. Required.
	StoreAddress settings.Address `json:"storeAddress"`
	// StoreTimeoutMs bounds a call to the store, in milliseconds. Default 1000.
	StoreTimeoutMs settings.Millis `json:"storeTimeoutMs"`
	// Peers lists addresses of dispatchers, which are asked for the newest state when the process starts while the store
	// is out of reach. Default none: the process then waits for the store.
	Peers []settings.Address `json:"peers"`
	// TLS secures links, questions to peers and the operators' pages. Default none: they are plain.
	TLS *identity.Settings `json:"tls"`
}

// SetDefaults fills in the defaults before the file is read, so that a given 0 is checked and not replaced.
func (s *Settings) SetDefaults() { s.StoreTimeoutMs = defaultStoreTimeoutMs }

// Check adds the faults of the common settings to c.
func (s *Settings) Check(c *settings.Checks) {
	c.Require("vm", string(s.VM))
	c.Require("dataCentre", string(s.DataCentre))
	c.Address("opsAddress", s.OpsAddress)
	c.Address("storeAddress", s.StoreAddress)
	for i, address := range s.Peers {
		c.Address(settings.Index("peers", i), address)
	}
	c.Between("storeTimeoutMs", int64(s.StoreTimeoutMs), 10, 60_000, "ms")
	s.TLS.Check(c, s.VM)
}
