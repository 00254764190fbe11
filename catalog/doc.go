// Package catalog holds what operators and targets declare: routes, services, limits, evacuated data centres and the
// registrations of targets. It selects the route of a request.
//
// It performs no I/O and reads no clock. Configuration and RouteTable must not change once they are in use; a
// Registry belongs to one goroutine.
package catalog
