// Package peer carries messages between the system's own processes over net/rpc.
//
// A Server exposes services to peers. A Link is the client side: one duty that owns one connection to one peer.
// The package encodes and moves messages; it decides nothing but when a connection is replaced.
//
// Failures inside a service travel as typed fields of the answer, because net/rpc turns errors into strings. A
// call that fails on the way gets a fault whose outcome is not-run when no byte of it was written, and unknown
// otherwise.
package peer
