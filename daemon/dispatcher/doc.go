// Package dispatcher runs the target-facing process of a VM.
//
// Duties and what each owns:
//
//   - peer-server: the net/rpc listener. Request goroutines of net/rpc put one message into a ring and wait on their
//     own reply slot.
//   - dispatch: the dispatch core (queues, limits, deduplication table) and the bodies of requests in progress.
//   - sender-<target>-<n>: one HTTP connection to a target.
//   - ownership: the ownership core (tables, permit, leases held, votes, moves).
//   - lease-<target>: grant, renew and release calls to a target, one at a time.
//   - store-writer: compare-and-swap calls to the store.
//   - planner: the placement core; it acts only while this dispatcher holds the planner lease.
//   - links, store-watch, member-registration, http-ops, log-writer: see package process.
//
// Failover: when this process is lost, the planner revokes its target leases, waits until its permit must have
// expired, and names another dispatcher under a higher lease epoch. When it is paused, it finds on its boot-time clock
// that its permit has expired, and sends nothing more under it.
package dispatcher
