// Package load sends requests at a fixed rate, whether or not earlier ones have been answered, and measures latencies.
//
// A pacer puts calls into a ring when they are due, workers make them, and a collector owns the figures. Workers and
// collector are duties. Latency counts from the time at which a call was due, so that a stall of the system or of the
// generator shows in the calls that it held up; call time counts from the sending.
package load
