// Package types defines the types that all modules share: identifiers, the boot-time instant, request classes,
// outcomes, fault codes and key hashing.
//
// It holds no state, performs no I/O and reads no clock.
package types
