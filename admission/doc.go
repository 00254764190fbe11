// Package admission decides, on each VM, which target gets a request and when, whether the request is retried, and when
// it is refused.
//
// A Core is driven by Step and Tick and returns Actions. It performs no I/O and reads no clock; the random source is
// passed in. A request that no target has run is refused as not run. A request that may have run is never refused as
// not run and, unless it is idempotent, is never sent again.
//
// The VMs of a data centre exchange how many requests each has in flight at a target and how fast the targets answered,
// so that each VM chooses targets by the load of all of them.
package admission
