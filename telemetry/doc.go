// Package telemetry holds what operators read: the decision log, metrics, health pages, and the clock.
package telemetry
