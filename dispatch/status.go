package dispatch

import "sequoiasail.example/types"

// TargetStatus is the load and health of one target whose lease this dispatcher holds.
type TargetStatus struct {
	ID types.TargetID
	// Waiting is the number of queued requests, InFlight the number of sends without a result.
	Waiting  int
	InFlight int
	// Limit is the number of requests that may be in flight now.
	Limit     int
	Condition Condition
}

// Targets appends the status of each target that is served, or that still has requests, to out.
func (c *Core) Targets(now types.Instant, out []TargetStatus) []TargetStatus {
	for _, t := range c.targets {
		if t.removed || !t.serving && t.inFlight == 0 && t.queued == 0 {
			continue
		}
		out = append(out, TargetStatus{
			ID:        t.id,
			Waiting:   t.queued,
			InFlight:  t.inFlight,
			Limit:     t.limit(now),
			Condition: t.condition,
		})
	}
	return out
}
