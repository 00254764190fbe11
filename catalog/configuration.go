package catalog

import (
	"time"

	"sequoiasail.example/types"
)

// WeightedService is a service to which a route sends a share of its requests.
type WeightedService struct {
	Service types.Service
	// Weight is relative to the sum of the weights of all backends of the route.
	Weight int
}

// Route maps the requests of one host and path prefix to services and sets their limits.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent is true when a request may run more than once; all other requests run at most once.
	Idempotent bool
	// UnknownKind is the kind that the operators have set, if it is none of the known ones. Such requests run at most once.
	UnknownKind string
	// Timeout is the longest time that a request may wait for its response.
	Timeout time.Duration
	// LatencyObjective is the response time within which an answer has its full value to the caller.
	LatencyObjective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of targets that a request is sent to.
	MaxAttempts int
	// Public is true when requests need no API key.
	Public bool
	// Backends holds at least one service.
	Backends []WeightedService
}

// Service is the configuration of one service and its targets.
type Service struct {
	Name types.Service
	// HealthPath is the path of the page on which a target reports its load.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all VMs together.
	MaxConnections int
	// ColdDuration is how long a target is cold after its start.
	ColdDuration time.Duration
	// MaxColdRate is the number of requests a second that a cold target tolerates.
	MaxColdRate float64
	// Keyed is true when each key is owned by a single target.
	Keyed bool
}

// Limits holds the limits on requests from callers: the sizes of the header and the body, the time to read the header,
// and the time that a connection may be idle between requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  types.Version
	Routes   []Route
	Services map[types.Service]Service
	Limits   Limits
	// Customers is empty if requests need no API keys.
	Customers []Customer
}
