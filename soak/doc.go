// Package soak runs the daemons of several VMs as separate processes against the stand-in of the platform, injects faults
// from outside them, and judges what callers and targets see.
//
// The faults come from a seed (package plan). Links (package link) lie between callers, VMs, the store and the targets;
// VMs reach each other directly. Processes are paused, killed, stopped and started anew by signals. The store is down or
// slow, loses answers, forgets its history, or turns single VMs away. Targets crash, leave, pause and come back, also
// at an address that another service had, and their clocks run slow. Package check holds the promises.
//
// Duties: operator performs the faults and owns the targets; vm-N owns the process of a VM; caller-N sends requests;
// rotation asks which VMs are ready; judge owns the checker; the links and the stand-ins have their own.
package soak
