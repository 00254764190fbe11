// Package placement decides which target owns which slots and hot keys.
//
// The Core runs in the planner duty of a dispatcher, a thread of its own (see package duty), and plans only while the
// dispatcher holds the planner lease. It compares the load that dispatchers report with the weights of the targets, and
// proposes a bounded number of moves at a time. The ownership
// module executes the moves. A move is confirmed when a slot table or a hot-key row with the new owner is installed.
//
// States of a slot or hot-key row: free (no owner), owned, moving (a move was proposed and is not confirmed). A move
// that is not confirmed within MoveTimeout is discarded and planned again. Work is planned in this order: hot-key rows
// whose owner is lost, draining or missing, slots of lost owners, free slots, slots of draining owners, creation and
// removal of hot-key rows, load balancing.
//
// Sketch finds the hottest keys of a stream in bounded memory. Each dispatcher keeps one per service.
//
// The package performs no I/O, reads no clock and never writes the table itself. The Core is owned by one duty and not
// safe for concurrent use.
package placement
