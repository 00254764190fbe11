// Package config turns the questionnaire's Answers into the Configuration that every process follows.
//
// Generate is a pure function: the same answers give the same bytes on every machine. Explain names the answer behind
// each generated value, Diff shows what a revision changes and moves, Parse checks a stored configuration, and Installed
// holds the rule that a process never goes back to a lower version. Operators' rows (a data centre, VM or target out of
// service) have versions of their own, see OpsRow.
//
// Faults are returned together as settings.Problems with code bad-configuration.
//
// The package owns the meaning of answers, configuration and operators' rows. It performs no I/O, reads no clock and
// never communicates with the store.
package config
