package dispatch

import "sequoiasail.example/types"

// maxAttempts bounds the sends of one request that may have reached its target.
const maxAttempts = 4

// retryOrFail schedules a retry if that is safe, in time and within the budget. Otherwise the request ends with f.
func (c *Core) retryOrFail(t *target, i int32, f failure) {
	r := c.requests.at(i)
	if !c.mayRetry(t, r) {
		c.finish(i, r.outcome(), f)
		return
	}
	retryDelay := r.retryDelay(c.random)
	if c.now.Add(retryDelay+t.latency.mean()) >= r.runUntil {
		c.finish(i, r.outcome(), f)
		return
	}
	if !t.budget.spend() {
		c.finish(i, r.outcome(), failure{f.code, ReasonRetryBudget})
		return
	}
	c.takePlace(t, i)
	r.stateUntil = c.now.Add(retryDelay)
	c.logDecision(r, failure{f.code, ReasonRetry}, types.OutcomeUnknown)
	c.schedule(i)
}

// mayRetry reports whether another attempt is allowed: no attempt may have run or the request is idempotent and its
// caller still waits, maxAttempts is not reached, the target may still receive the request, and its fingerprint is not
// quarantined.
func (c *Core) mayRetry(t *target, r *request) bool {
	if r.mayHaveRun && !r.Idempotent || r.Idempotent && r.replied || r.attemptsWritten >= maxAttempts {
		return false
	}
	if _, refused := c.notServed(t, r); refused {
		return false
	}
	return !c.suspects.quarantined(t.service.index, r.Fingerprint, c.now)
}

// retryNotStarted schedules another attempt after one that the process could not start. The delay prevents a busy loop
// while no attempt can be started.
func (c *Core) retryNotStarted(t *target, i int32) {
	r := c.requests.at(i)
	if r.Idempotent && r.replied {
		c.finish(i, r.outcome(), failure{types.CodeCancelled, ReasonCancelled})
		return
	}
	c.takePlace(t, i)
	r.stateUntil = c.now.Add(r.retryDelay(c.random))
	c.schedule(i)
}

// requeueUnwritten queues a request again of which no byte was written. It costs no retry budget: the target received
// nothing of it, and the reconnect backoff allows one connection attempt at a time.
func (c *Core) requeueUnwritten(t *target, i int32) {
	r := c.requests.at(i)
	if r.Idempotent && r.replied {
		c.finish(i, r.outcome(), failure{types.CodeCancelled, ReasonCancelled})
		return
	}
	c.takePlace(t, i)
	c.enqueue(i, true)
}
