// Package measure runs the dispatch core under seeded open-loop load against simulated targets and compares it with
// baselines under the same load.
//
// Time is simulated, so that a run takes only the time to compute its decisions. One dispatcher at a time is simulated,
// without a network or a cluster. Each function returns typed results, whose String methods give one line per variant.
package measure
