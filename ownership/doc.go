// Package ownership decides who may serve which keys: it keeps a copy of the ownership table, holds target leases
// under a renewal permit, answers the quorum group's calls and, with the planner lease, changes the table.
//
// Core is a deterministic function of (state, message, time). It performs no I/O and reads no clock. Its roles are
// separate types: Table, Permit, Holder, Voucher, Mover and Group. Only Core and what its messages, actions and
// documents are made of are meant for other modules.
//
// States of a target lease: vacant, active, revoked. States of a slot: free, owned, releasing.
// docs/decisions/ownership.md states the rules and what happens when a part fails; model/ holds the checked
// specification.
package ownership
