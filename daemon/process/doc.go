// Package process holds the duties that gateways and dispatchers share: watching the store, registering the
// process as a member, serving the operators' pages, and the start and stop of the whole process.
package process
