package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// ramp is the concurrency limit of a cold target. It rises in equal steps from one to the target's slots.
type ramp struct {
	active   bool
	start    types.Instant // when the limit was one
	duration time.Duration // from a limit of one to all slots, 0 for no ramp
}

// restart sets the limit to one at instant now.
func (r *ramp) restart(now types.Instant) {
	r.start = now
	r.active = r.duration > 0
}

// halve sets the limit to half its present value, at least one, and lets it rise from there.
func (r *ramp) halve(now types.Instant, slots int) {
	steps := max(r.limit(now, slots)/2, 1) - 1
	r.restart(now)
	if slots > 1 {
		r.start = now.Add(-r.duration * time.Duration(steps) / time.Duration(slots-1))
	}
}

// limit returns the number of requests that the target may have in flight at instant now.
func (r *ramp) limit(now types.Instant, slots int) int {
	if !r.active {
		return slots
	}
	elapsed := now.Sub(r.start)
	if elapsed >= r.duration {
		return slots
	}
	if elapsed <= 0 {
		return 1
	}
	return 1 + int(time.Duration(slots-1)*elapsed/r.duration)
}

// nextStep returns when the limit rises next. It returns false when it does not rise any more.
func (r *ramp) nextStep(now types.Instant, slots int) (types.Instant, bool) {
	if !r.active {
		return 0, false
	}
	limit := r.limit(now, slots)
	if limit >= slots {
		return r.start.Add(r.duration), now.Before(r.start.Add(r.duration))
	}
	steps := time.Duration(slots - 1)
	return r.start.Add((r.duration*time.Duration(limit) + steps - 1) / steps), true
}

// finish deactivates a ramp whose duration is over, and reports whether it did.
func (r *ramp) finish(now types.Instant) bool {
	if !r.active || now.Sub(r.start) < r.duration {
		return false
	}
	r.active = false
	return true
}
