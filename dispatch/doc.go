// Package dispatch decides when a request is sent to a target, and what its caller is told.
//
// One Core per dispatcher process owns all requests to the targets whose lease the dispatcher holds: queues, limits,
// cold-start ramps, the deduplication table and the quarantine. It performs no I/O and reads no clock. The process
// keeps bodies and connections and carries out the actions.
//
// A request passes through these states: copying (a second dispatcher stores its identifier; non-idempotent requests
// only), queued, in flight, waiting for a retry, finished. Each request gets exactly one ActionReply.
//
// Failures are reported by the codes of package types. Times are instants of the boot-time clock, except for fields
// named WallMs or MintedMs, which are Unix milliseconds.
package dispatch
