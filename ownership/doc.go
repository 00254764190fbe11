// Package ownership decides which dispatcher and which target may serve each key. It keeps a copy of the ownership
// table, holds target leases under a renewal permit, answers confirmation requests as a member of quorum groups and,
// while the process holds the planner lease, changes the table.
//
// Core is a deterministic function of (state, message, time). It performs no I/O and reads no clock. Each of its roles
// is a type of its own: Table (the copy of the documents), Permit (the right to renew grants), Holder (the leases of
// this dispatcher), QuorumMember (answers to other dispatchers), Assigner (lease and slot changes of the planner),
// Group (changes of the member lists of quorum groups) and Writer (writes to the store). Other modules use only Core
// and the types of its messages, actions and documents.
//
// States of a target lease: vacant, active, revoked. States of a slot: free, owned, releasing.
// docs/decisions/ownership.md states the rules and what happens when a part fails; model/ holds the checked
// specification.
package ownership
