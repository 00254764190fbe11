// Package types holds the vocabulary that all modules share: identifiers, the boot-time instant, request classes,
// outcomes, fault codes and key hashing.
//
// It owns no state, performs no I/O and reads no clock.
package types
