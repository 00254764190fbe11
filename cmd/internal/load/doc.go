// Package load is a load generator. It sends requests at a fixed rate, whether or not earlier ones have been answered,
// and measures latencies.
//
// A scheduler puts calls into a ring when they are due, workers make them, and a collector owns the statistics. Workers
// and collector are duties. Latency counts from the time at which a call was due, so that a stall of the system or of
// the generator shows in the calls that it delayed. Call time counts from the time at which the call was sent.
package load
