package dispatch

import "sequoiasail.example/types"

// maxAttempts bounds the sends of one request that may have reached its target.
const maxAttempts = 4

// retryOrFail sends a request again if that is safe, in time and within the budget. Otherwise the request ends with f.
func (c *Core) retryOrFail(t *target, i int32, f failure) {
	r := c.requests.at(i)
	if !c.mayRetry(t, r) {
		c.finish(i, r.outcome(), f)
		return
	}
	delay := r.delay(c.random)
	if c.now.Add(delay+t.latency.mean()) >= r.runUntil {
		c.finish(i, r.outcome(), f)
		return
	}
	if !t.budget.spend() {
		c.finish(i, r.outcome(), failure{f.code, ReasonRetryBudget})
		return
	}
	c.hold(t, i)
	r.until = c.now.Add(delay)
	c.decide(r, failure{f.code, ReasonRetry}, types.OutcomeUnknown)
	c.schedule(i)
}

// mayRetry reports whether another attempt is allowed at all: only when no attempt may have run or the request is
// idempotent, and while the target may still receive it.
func (c *Core) mayRetry(t *target, r *request) bool {
	if r.uncertain && !r.Idempotent || r.Idempotent && r.replied || r.written >= maxAttempts {
		return false
	}
	if _, refused := c.notServed(t, r); refused {
		return false
	}
	return !c.suspects.quarantined(t.service.index, r.Fingerprint, c.now)
}

// startAgain sends a request again after a short delay. The delay keeps a process that cannot start any attempt from
// trying in a loop.
func (c *Core) startAgain(t *target, i int32) {
	r := c.requests.at(i)
	if r.Idempotent && r.replied {
		c.finish(i, r.outcome(), failure{types.CodeCancelled, ReasonCancelled})
		return
	}
	c.hold(t, i)
	r.until = c.now.Add(r.delay(c.random))
	c.schedule(i)
}

// sendAgain queues a request of which no byte was written. It costs no retry budget: the target saw nothing of it, and
// the reconnect backoff allows one connection attempt at a time.
func (c *Core) sendAgain(t *target, i int32) {
	r := c.requests.at(i)
	if r.Idempotent && r.replied {
		c.finish(i, r.outcome(), failure{types.CodeCancelled, ReasonCancelled})
		return
	}
	c.hold(t, i)
	c.enqueue(i, true)
}
