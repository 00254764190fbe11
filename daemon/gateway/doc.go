// Package gateway runs the caller-facing process of a VM.
//
// Duties and what each owns:
//
//   - http-callers: the callers' listener. The request goroutines of net/http decode the request, put one message into
//     the router's ring, wait on their own reply channel and encode the answer.
//   - router: the routing core and all requests in progress.
//   - links: the set of net/rpc links to dispatchers, one duty each.
//   - store-watch, member-registration, http-ops, log-writer: see package process.
//
// The gateway keeps no persistent state. After a restart it serves as soon as it has read the store.
package gateway
