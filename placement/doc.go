// Package placement decides which target owns which slots and hot keys.
//
// The Core runs in the planner duty and acts only while that duty holds the planner lease. It compares the load that
// dispatchers report with the weights of the targets, and proposes a bounded number of moves at a time. The ownership
// module carries the moves out; the Core learns of them from the rows that it is given back.
//
// States of a slot or hot-key row: free (no owner), owned, moving (a move was proposed and is not confirmed). A move
// that is not confirmed within MoveTimeout is forgotten and planned anew. Work is planned in this order: owners that
// are lost, owners that leave, free slots, hot-key rows, differences in load.
//
// Sketch finds the hottest keys of a stream in bounded memory. Each dispatcher keeps one per service.
//
// The package performs no I/O, reads no clock and never writes the table itself. The Core is owned by one duty and not
// safe for concurrent use.
package placement
