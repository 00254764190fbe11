// Package peer carries messages between the system's own processes over net/rpc.
//
// A Server exposes services to peers. A Link is the client side: one duty that owns one connection to one peer.
// The package encodes and transports messages; its only decision is when to replace a connection.
//
// Failures inside a service are typed fields of the reply, because net/rpc turns errors into strings. A call that
// fails in transport gets a fault whose outcome is not-run when no byte of it was written, and unknown otherwise.
package peer
