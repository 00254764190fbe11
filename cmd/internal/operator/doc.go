// Package operator holds what operators do: put a configuration in force, take data centres, VMs and targets out of and
// into service, look at the processes, and follow changes.
//
// Every write is a CAS with the revision that the operator saw. If the answer is lost, the fate of the write is
// determined by its write identifier: in the key itself, or in the history when another write followed. Two operators
// who race each other therefore both learn what happened to their own write.
//
// The package owns the order of these steps. It prints nothing and reads no files; package sailctl does.
package operator
