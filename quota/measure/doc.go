// Package measure simulates the quotas of customers in a fleet of VMs, without processes or a network, and compares the core of
// package quota with two other designs: equal shares with borrowing, and a coordinator that assigns shares.
//
// Time is simulated. Messages between VMs take a fixed time, may be lost, and don't pass between sides of a partition.
package measure
