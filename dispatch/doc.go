// Package dispatch decides when each request is sent to its target, whether it is retried, and how it is answered.
//
// One Core per dispatcher process owns all requests to the targets whose lease the dispatcher holds: queues, limits,
// cold-start ramps, the deduplication table and the quarantine. It performs no I/O and reads no clock. The process
// holds bodies and connections and carries out the actions.
//
// The lease of a target is the exclusive right to send to it. The keys of a keyed service are divided into slots, each
// owned by one target; a hot key has an owner of its own. Leases and slots have epochs, which rise with each change of
// holder or owner.
//
// A request passes through these states: copying (a second dispatcher stores its identifier; non-idempotent requests
// only), queued, in flight, waiting for a retry, finished. A resend may instead be joined to the request in progress.
// Each request gets exactly one ActionReply.
//
// The deduplication table holds the identifiers of non-idempotent requests, so that a resend (another request with the
// same identifier) receives the first answer instead of running again. The table covers an identifier when it holds
// every request with it that may have been sent. A dispatcher that takes a target over without the entries of the
// former dispatcher doesn't cover older identifiers, and answers requests with them as unknown.
//
// Failures are reported by the codes of package types. Times are instants of the boot-time clock, except for fields
// named WallMs or MintedMs, which are Unix milliseconds.
package dispatch
