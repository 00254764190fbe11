package catalog

import (
	"slices"
	"strings"

	"sequoiasail.example/types"
)

// RouteTable finds the route of a request in one configuration. It is immutable and safe for concurrent use.
type RouteTable struct {
	configuration Configuration
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
	byKey  map[KeyDigest]*Customer
}

// NewRouteTable indexes a configuration, which must not change afterwards.
func NewRouteTable(c Configuration) *RouteTable {
	t := &RouteTable{configuration: c, byHost: make(map[string][]*Route), byKey: indexCustomers(c.Customers)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Version returns the version of the indexed configuration.
func (t *RouteTable) Version() types.Version { return t.configuration.Version }

// Limits returns the limits on requests from callers.
func (t *RouteTable) Limits() Limits { return t.configuration.Limits }

// Services returns the services by name. The map must not be changed.
func (t *RouteTable) Services() map[types.Service]Service { return t.configuration.Services }

// Lookup returns the route of host with the longest matching prefix of path. It ignores a port in host.
func (t *RouteTable) Lookup(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
