// Package admission decides, on each VM, what happens to a request: to which target it is sent and when, whether it is
// sent again, and when it is refused.
//
// A Core is driven by Step and Tick and returns Actions. It performs no I/O and reads no clock; the random source is
// passed in. Requests of which no target has run anything are refused as not run; a request that may have run is never
// refused as not run and, unless it is idempotent, never sent again.
//
// The VMs tell one another how many requests each has under way at a target and how fast answers came, so that each
// VM chooses by what all VMs know.
package admission
