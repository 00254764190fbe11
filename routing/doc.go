// Package routing decides, in each gateway, which dispatcher and target a request goes to.
//
// A keyed service maps the key hash to a hot-key row or a slot, the row to its owner, and the owner to the dispatcher
// in its lease row. A service without keys takes the better of two random targets. The Core also keeps retry and
// hedge budgets, ejects failing targets of services without keys, and holds requests for a bounded time while a
// takeover is under way.
//
// States of a request: waiting (no usable route yet, or the last route was refused as stale), backoff (a retry is
// due later), sent (one attempt, or two while hedged). Each request gets exactly one Reply.
//
// The Core is deterministic: it performs no I/O, reads no clock, and draws randomness from Options.Random. It is owned
// by one duty and not safe for concurrent use.
package routing
