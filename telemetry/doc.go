// Package telemetry provides the log, metrics, health and status pages of a process, and its clock.
//
// Logging never blocks a request: when the ring of the log is full, the line is dropped and counted, and the log
// reports the count.
package telemetry
