package catalog

import (
	"time"

	"sequoiasail.example/types"
)

// Part is one service of a route with its share of the route's requests.
type Part struct {
	Service types.Service
	// Weight is relative to the sum of all parts' weights.
	Weight int
}

// Route says where requests of one host and path prefix go and what may be done with them.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once; all others run at most once for each request.
	Idempotent bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value to the caller.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of targets that one request may be sent to.
	MaxAttempts int
	// Parts holds at least one service.
	Parts []Part
}

// Service is what the configuration says of the targets of one service.
type Service struct {
	Name       types.Service
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all VMs together.
	MaxConnections int
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold target tolerates.
	ColdRate float64
	// Keyed is true when each key is owned by a single target.
	Keyed bool
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of the operators' configuration.
type Configuration struct {
	Version  types.Version
	Routes   []Route
	Services map[types.Service]Service
	Limits   Limits
}
