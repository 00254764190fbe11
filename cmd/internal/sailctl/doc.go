// Package sailctl implements the operators' command line: the subcommands, their flags, and output as tables or as JSON
// for scripts.
//
// Results are written to standard output, progress and errors to standard error. The actions themselves are implemented
// in package operator.
package sailctl
