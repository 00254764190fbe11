// Package dispatcher implements the dispatcher, the process of a VM that holds target leases and sends requests to
// targets.
//
// Duties (long-running goroutines) and what each owns:
//
//   - peer-server: the net/rpc listener. The net/rpc goroutine of a call puts one message into a ring and waits on a
//     reply channel of its own.
//   - dispatch: the dispatch core (queues, limits, deduplication table) and the bodies of requests in progress.
//   - sender-<target>-<n>: one HTTP connection to a target.
//   - ownership: the ownership core (tables, permit, leases held, confirmations for the quorum group, moves).
//   - lease-<target>: grant, renew and release calls to a target, one at a time.
//   - store-writer: compare-and-swap and read calls to the store that the ownership core requests.
//   - store-freshness: reads of the store's revision, which can extend the renewal permit.
//   - planner: the placement core; it proposes moves only while this dispatcher holds the planner lease.
//   - planner-lease: the store lease that makes one dispatcher the planner.
//   - links, store-watch, member-registration, http-ops, log-writer: see package process.
//
// Failover: when a dispatcher is lost, the planner revokes its target leases, waits until its renewal permit must have
// expired, and assigns them to another dispatcher under a higher lease epoch. A dispatcher that was paused sees on its
// boot-time clock, which counts suspended time too, that its permit has expired, and sends nothing more under it.
package dispatcher
