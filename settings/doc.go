// Package settings decodes JSON strictly and checks the result.
//
// Unknown and duplicate fields, null, values of a wrong type and trailing data are rejected. All faults of a document
// are collected in one Problems value, each with the path of the faulty value. Settings structs set constant
// defaults in SetDefaults before decoding, derive other defaults in Provision and report faults in Validate; Load calls
// all three.
//
// The package works on bytes in memory and performs no I/O. Package settings/startup reads files and parses command lines.
package settings
