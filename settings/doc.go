// Package settings decodes JSON strictly and checks the result.
//
// Unknown and duplicate fields, null, values of a wrong type and trailing data are refused. All faults of a document
// are collected in one Problems value, each with the path of the value it concerns. Settings structs set constant
// defaults in SetDefaults, before decoding, fill computed ones in Provision and report faults in Validate; Load calls
// all three.
//
// The package works on bytes in memory: it opens no file and starts nothing. Package settings/startup reads files and
// command lines.
package settings
