// Package config turns the questionnaire's Answers into the Configuration that every process uses.
//
// Generate is a pure function: the same answers give the same bytes on every machine. Explain names the answer behind
// each generated value, Diff lists the values that a revision changes and counts the slots that it moves, Parse checks
// a stored configuration, and Installed never replaces a configuration by one with a lower version. Operators' rows,
// which take a data centre, VM or target out of service, have versions of their own, see OpsRow.
//
// Faults are returned together as settings.Problems with code bad-configuration.
//
// The package defines the types, the rules and the store keys of answers, configuration and operators' rows. It performs
// no I/O, reads no clock and never communicates with the store.
package config
