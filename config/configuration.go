package config

import "sequoiasail.example/types"

// Configuration holds the data centres, services, targets and limits that every process uses. It is generated from
// Answers and never edited by hand.
type Configuration struct {
	// Version rises by one with every accepted configuration.
	Version types.Version `json:"version"`
	// DataCentres lists all data centres, ordered by name.
	DataCentres []DataCentre `json:"dataCentres"`
	// Services lists all services, ordered by name.
	Services []Service `json:"services"`
	// Ownership holds the timings of leases.
	Ownership Ownership `json:"ownership"`
}

// DataCentre is one failure domain with its own VMs and targets.
type DataCentre struct {
	Name   types.DataCentre `json:"name"`
	Region types.Region     `json:"region"`
	// OneWayMs is the one-way network delay to the other data centres of the region, in milliseconds.
	OneWayMs int64 `json:"oneWayMs"`
}

// GroupScope says which VMs form the quorum group that confirms renewal permits of leases while the store is
// unreachable.
type GroupScope string

const (
	// ScopeDataCentre selects the VMs of the target's data centre: a data centre that is cut off keeps its keys.
	ScopeDataCentre GroupScope = "data-centre"
	// ScopeAll selects VMs of all data centres: the keys of a data centre that is cut off are served elsewhere.
	ScopeAll GroupScope = "all"
)

// Service is a set of targets that answer the same requests.
type Service struct {
	Name types.Service `json:"name"`
	// Keyed is true when each key has a sole owner among the targets.
	Keyed bool `json:"keyed"`
	// Slots is the number of slots into which the keys of a keyed service are divided. Default 1024.
	Slots uint32 `json:"slots,omitempty"`
	// ChecksGrants is true when the targets refuse requests without a valid grant.
	ChecksGrants bool `json:"checksGrants"`
	// Scope selects the members of the quorum group. Default data-centre.
	Scope GroupScope `json:"scope"`
	// Targets lists the back ends, ordered by name.
	Targets []Target `json:"targets"`
	// WriteClass is the class of requests other than GET and HEAD. Empty when the service takes only lookups.
	WriteClass string `json:"writeClass"`
	// Classes holds the limits of each request class, ordered by class.
	Classes []ClassPolicy `json:"classes"`
	// Limits bounds the load that the service puts on its targets.
	Limits Limits `json:"limits"`
}

// Target is one back-end server of a service.
type Target struct {
	Name       types.Target     `json:"name"`
	DataCentre types.DataCentre `json:"dataCentre"`
	// Address is the IP address and port. Host names are refused.
	Address string `json:"address"`
	// Slots is the number of requests the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections the target accepts.
	Connections int `json:"connections"`
	// Weight is the capacity relative to the other targets of the service. Default 1.
	Weight float64 `json:"weight"`
}

// ClassPolicy holds the default timeout, the queue limit and the duplicate detection time of one request class.
type ClassPolicy struct {
	Class string `json:"class"`
	// TimeoutMs is the timeout of requests that carry none, in milliseconds.
	TimeoutMs int64 `json:"timeoutMs"`
	// QueueLimit is the number of requests that may wait for one target.
	QueueLimit int `json:"queueLimit"`
	// RememberMs is how long request identifiers and answers are kept to detect duplicates, in milliseconds. 0 for
	// lookups.
	RememberMs int64 `json:"rememberMs"`
}

// Limits bounds the load on the targets of a service.
type Limits struct {
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// ColdStartMs is the time over which a cold target's limit rises to its slots, in milliseconds.
	ColdStartMs int64 `json:"coldStartMs"`
	// RetryShare is the largest ratio of retries to first attempts, between 0 and 1.
	RetryShare float64 `json:"retryShare"`
	// HedgeShare is the largest ratio of hedged requests to first attempts, between 0 and 1.
	HedgeShare float64 `json:"hedgeShare"`
	// EjectShare is the largest share of targets that may be ejected as outliers at the same time, between 0 and 1.
	EjectShare float64 `json:"ejectShare"`
}

// Ownership holds the timings of leases, all in milliseconds.
type Ownership struct {
	// PermitMs is the lifetime of a renewal permit, counted from the sending of the request that the quorum group
	// confirmed. Default 500.
	PermitMs int64 `json:"permitMs"`
	// GrantMs is the time to live of a grant at a target. Default 700.
	GrantMs int64 `json:"grantMs"`
	// MarginMs allows for clocks that run at different rates. Default 100.
	MarginMs int64 `json:"marginMs"`
	// SuspicionMs is how long a dispatcher or target may be silent before the failure detector suspects it. Default 600.
	SuspicionMs int64 `json:"suspicionMs"`
}
