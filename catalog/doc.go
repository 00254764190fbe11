// Package catalog describes what operators and targets declare: routes, services, limits, evacuated data centres and
// the registrations of targets. It selects the route of a request.
//
// It owns no state and performs no I/O. Values are immutable once published.
package catalog
