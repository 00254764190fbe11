// Package measure drives the dispatch core with seeded open-loop load against fake targets and compares it with named
// baselines under the same load.
//
// Time is simulated: a run takes the time of its decisions only. One dispatcher at a time is simulated, no network and
// no cluster. Each function returns typed results, which print themselves as one line per variant.
package measure
