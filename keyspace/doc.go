// Package keyspace decides which target owns which keys of a keyed service, and which grants, renewals and releases
// to send to the targets.
//
// A Table is the committed assignment of key ranges to targets. It is stored in the platform's store and changed by
// compare-and-swap. One elected VM, the coordinator, runs a Core for each keyed service. Step and Tick drive a Core
// and return Actions; a Core performs no I/O and reads no clock.
//
// A range moves in the following order, so that no two targets hold a key at once:
//
//  1. The former owner confirms the release, or its process is known to have ended, or its last grant has expired
//     even on the slowest clock.
//  2. The table with the new owner and a higher fencing token is committed to the store.
//  3. The new owner gets its grant.
//
// A commit without an answer may be carried out until a later version of the table was committed or read. Until then, the
// keys that it gives to another owner get no grant: whoever reads the table takes its owner for the only one that may hold them.
//
// A new coordinator renews grants at once, but moves no keys until the longest possible term of its predecessor has
// passed. Outside its own term a Core returns no grants, releases or commits.
package keyspace
