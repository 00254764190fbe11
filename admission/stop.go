package admission

import (
	"time"

	"sequoiasail.example/types"
)

// Stopping announces a planned stop of the process. A request that may outlive End is not sent to a target any more, except
// until AcceptUntil: most requests end long before their deadline, and callers learn of the stop only after a while.
type Stopping struct {
	// AcceptUntil is when requests that may outlive End are refused.
	AcceptUntil types.Instant
	// End is when every request must have its answer.
	End types.Instant
}

func (Stopping) message() {}

// stopRetryAfter tells callers of a stopping VM to try again at once: the other VMs have room.
const stopRetryAfter = 0 * time.Second

// setStopping applies a planned stop to the requests that are known.
func (c *Core) setStopping(m Stopping) {
	c.stopping = &m
	for _, req := range c.requests {
		c.limitToStop(req)
	}
}

// limitToStop ends a request at the end of a planned stop, if it would last longer.
func (c *Core) limitToStop(req *request) {
	if c.stopping != nil && c.stopping.End.Before(req.deadline) {
		req.deadline, req.outlivesStop = c.stopping.End, true
	}
}

// mayStart reports whether a request may be sent to a target in view of a planned stop.
func (c *Core) mayStart(now types.Instant, req *request) bool {
	return !req.outlivesStop || now.Before(c.stopping.AcceptUntil)
}
