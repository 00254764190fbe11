// Package routing decides, in each gateway, which dispatcher and target a request goes to.
//
// Each target has one dispatcher at a time, named by the target's lease row, and only this dispatcher sends requests
// to it. A keyed service maps the key hash to a hot-key row or a slot, and this row to the target that owns the key.
// A service without keys uses the target that the request is pinned to, the home target of a non-idempotent request's
// identifier, or the better of two random targets. The Core also keeps retry and hedge budgets, ejects failing targets
// of services without keys, and holds requests for a bounded time while another dispatcher takes over a target.
//
// A request is waiting (it has no usable route yet, or its last route was refused as stale), in backoff (a retry is due
// later) or sent (it has one attempt in progress, or two while hedged). Each request gets exactly one Reply.
//
// The Core is deterministic: it performs no I/O, reads no clock, and draws randomness from Options.Random. It is owned
// by one duty and not safe for concurrent use.
package routing
