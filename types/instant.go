package types

import "time"

// Instant is a reading of the boot-time clock in nanoseconds. The clock also runs while the VM is suspended, so a
// process can measure a suspension. Instants of different VMs are not comparable.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }
