// Package keyspace decides which target owns which keys of a keyed service and which grants, renewals and releases
// this needs.
//
// A Table is the acknowledged assignment; it lies in the platform's store and changes by compare-and-swap. One VM at a
// time, the keeper, runs a Core for each keyed service. A Core is driven by Step and Tick and returns Actions; it
// performs no I/O and reads no clock.
//
// A range moves in this order, so that no two targets hold a key at once:
//
//  1. The former owner confirms the release, or is known to have ended, or its last grant has surely run out.
//  2. The table with the new owner and a higher fence is committed to the store.
//  3. The new owner gets its grant.
//
// A keeper that takes over renews at once and waits for the longest validity of its predecessor before it moves keys.
// While it is not valid, a Core returns no grant, release or commit.
package keyspace
