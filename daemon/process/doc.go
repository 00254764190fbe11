// Package process holds what gateways and dispatchers share: the common settings, the start and stop of a process, and
// the duties that watch the store, register the process as a member, keep links to peers and serve the admin interface.
package process
