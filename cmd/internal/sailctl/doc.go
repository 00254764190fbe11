// Package sailctl is the operators' command line: subcommands, their flags, human tables and JSON for scripts.
//
// Results go to standard output, progress and faults to standard error. What the commands do is in package operator.
package sailctl
