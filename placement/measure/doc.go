// Package measure simulates placement in a fleet and compares it with baselines: static modulo hashing, plain
// consistent hashing, and the planner without hot-key rows.
//
// The fleet applies proposed moves at once and serves sampled requests; there are no processes and no network. The
// package makes no placement decisions and reads no clock: time in the fleet is simulated.
package measure
