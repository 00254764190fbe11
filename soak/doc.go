// Package soak runs the daemons of several VMs as separate processes against the stand-in of the platform, injects faults
// from outside the processes, and checks what callers and targets observe against the system's guarantees.
//
// The faults are generated from a seed (package plan). TCP proxies (package link) sit between callers, VMs, the store and
// the targets; VMs reach each other directly. Processes are paused, killed and stopped by signals, and restarted. The
// store is down or slow, loses answers, compacts its history, or stops answering single VMs or a third of them. Targets
// crash, drain, leave without announcing it, pause and restart, also at an address that another service used before, and
// their clocks run slow. Package check holds the guarantees.
//
// Duties: operator injects the faults and owns the targets; vm-N owns the process of a VM; caller-N sends requests;
// rotation polls the readiness of the VMs; judge owns the checker; the links and the stand-ins have duties of their own.
package soak
