// Package telemetry holds what operators read: the decision log, metrics, health pages, and the clock.
//
// It owns the log ring and the metrics set. Logging never blocks a request: when the ring is full the line is
// dropped and counted, and the count is reported in the log itself.
package telemetry
