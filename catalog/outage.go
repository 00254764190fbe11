package catalog

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// lapseTime is how long the store must have answered no VM for registrations to have expired meanwhile: three heartbeats of a
	// target, 2.6 s, less one heartbeat.
	lapseTime = 1800 * time.Millisecond
	// recoveryGrace is how long after the recovery of the store a registration that has gone missing is kept, so that its
	// target can register again.
	recoveryGrace = 2200 * time.Millisecond
)

// storeContact tells removed registrations from those that have expired in an outage of the store. An outage is a time without an
// answer of the store to any VM that this one hears of: a VM that the store turns away alone learns of removals from its
// neighbours, and keeps no target that has left.
type storeContact struct {
	// answeredAt is the latest time at which the store is known to have answered a VM, 0 before the first.
	answeredAt types.Instant
	// recoveredAt is when the store first answered after the latest outage, 0 if there was none.
	recoveredAt types.Instant
}

// answered records an answer to a VM at the given time, after which a grace period began at recoveredAt if the answer ends an
// outage. It returns the length of that outage, 0 if there was none.
func (c *storeContact) answered(at, recoveredAt types.Instant) time.Duration {
	if !c.answeredAt.Before(at) {
		return 0
	}
	silence := at.Sub(c.answeredAt)
	known := c.answeredAt != 0
	c.answeredAt = at
	if !known || silence < lapseTime {
		return 0
	}
	c.recoveredAt = recoveredAt
	return silence
}

// graceLeft returns how much of the grace period after the latest outage is left.
func (c *storeContact) graceLeft(now types.Instant) time.Duration {
	if c.recoveredAt == 0 {
		return 0
	}
	return max(0, c.recoveredAt.Add(recoveryGrace).Sub(now))
}

// graceEnded reports whether the store has answered after the end of the grace period. In a further outage, targets had no time to
// register again.
func (c *storeContact) graceEnded() bool {
	return !c.answeredAt.Before(c.recoveredAt.Add(recoveryGrace))
}

// StoreAnswered records that the store answered this VM at the given time. It returns the length of the outage that has ended with
// it, 0 if there was none: registrations that are missing then are kept for a grace period.
func (r *Registry) StoreAnswered(at types.Instant) time.Duration { return r.contact.answered(at, at) }

// StoreAnsweredOther is StoreAnswered for an answer, the given time ago, to another VM that keeps missing registrations for graceLeft
// from now on, 0 if that is not known. The grace period after an outage that ends with it is that of the other VM.
func (r *Registry) StoreAnsweredOther(now types.Instant, age, graceLeft time.Duration) time.Duration {
	at := now.Add(-max(0, age))
	recoveredAt := at
	if graceLeft > 0 {
		recoveredAt = min(at, now.Add(graceLeft-recoveryGrace))
	}
	return r.contact.answered(at, recoveredAt)
}

// GraceLeft returns how much longer removed registrations are kept.
func (r *Registry) GraceLeft(now types.Instant) time.Duration { return r.contact.graceLeft(now) }
