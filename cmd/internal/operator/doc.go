// Package operator implements the operators' actions: put a configuration in force, take data centres, VMs and targets
// out of service and return them, query the status of the processes, and watch for changes.
//
// Every write is a compare-and-swap (CAS) with the store revision that the operator last read. If the store's answer is
// lost, the package looks for the write identifier, first in the key itself and then in the history, where it is found
// when another write followed. Two operators who write at the same time therefore both learn the result of their own
// write.
//
// The package implements the steps of each action. Output, flags and files are left to package sailctl.
package operator
