package routing

import (
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Waits between attempts.
const (
	// staleWait is how long a request refused as stale waits for newer rows before it is retried over the same route:
	// the dispatcher's rows may be older than the gateway's. It doubles with each such wait.
	staleWait = 100 * time.Millisecond
	// backoffBase is the longest wait before the first retry. It doubles with each attempt.
	backoffBase = 20 * time.Millisecond
	// backoffDoublings bounds the doubling.
	backoffDoublings = 4
)

// result ends one attempt. Results of unknown requests and attempts arrived too late and are ignored.
func (c *Core) result(now types.Instant, r *Result, out []Action) []Action {
	id, ok := c.requests.find(r.Handle)
	if !ok {
		return out
	}
	req := &c.requests.slab[id]
	a := req.findAttempt(r.Attempt)
	if a == nil {
		return out
	}
	a.active = false
	out = c.recordResult(now, req, a, r, out)
	if r.Outcome == types.OutcomeDone {
		return c.finish(now, id, Reply{Attempt: r.Attempt, Outcome: r.Outcome}, out)
	}
	if r.Outcome == types.OutcomeUnknown {
		req.mayHaveRun = true
	}
	if req.inProgress() {
		return out
	}
	req.state = stateRouting
	c.timers.clear(id)
	return c.handleFailure(now, id, a.route, r, out)
}

// recordResult updates the state of the attempt's target and ejects it if it keeps failing.
func (c *Core) recordResult(now types.Instant, req *pendingRequest, a *attempt, r *Result, out []Action) []Action {
	s := req.service
	s.targets[a.route.target].outstanding--
	if r.Outcome == types.OutcomeNotRun && r.Code != types.CodePeerUnavailable {
		return out
	}
	o := r.Outcome
	if r.Code == types.CodePeerUnavailable {
		o = types.OutcomeUnknown
	}
	if !s.observe(now, a.route.target, now.Sub(a.sentAt), o) || !s.eject(now, a.route.target) {
		return out
	}
	return appendDecision(out, Decision{
		Target: types.TargetID{Service: s.name, Target: s.targets[a.route.target].name}, Reason: ReasonEjected, Code: r.Code,
	})
}

// handleFailure retries the request or answers the caller after the last attempt in progress has failed.
func (c *Core) handleFailure(now types.Instant, id int32, over route, r *Result, out []Action) []Action {
	req := &c.requests.slab[id]
	retryable := r.RetryAllowed && (req.request.Idempotent || r.Outcome == types.OutcomeNotRun)
	switch {
	case !retryable:
		return c.replyWithFailure(now, id, over, r, ReasonAnswered, out)
	case req.attemptCount >= MaxAttempts:
		return c.replyWithFailure(now, id, over, r, ReasonAttempts, out)
	case isStale(r):
		req.refused = over
		return c.route(now, id, out)
	case !req.service.budgets.retry():
		return c.replyWithFailure(now, id, over, r, ReasonRetryBudget, out)
	}
	return c.backoff(now, id, over, r, out)
}

// isStale reports whether a refusal means that the route is outdated: the gateway and the dispatcher know different
// rows, or the dispatcher was not reached.
func isStale(r *Result) bool {
	switch r.Code {
	case types.CodeStaleEpoch, types.CodeNotLeaseHolder:
		return true
	case types.CodePeerUnavailable:
		return r.Outcome == types.OutcomeNotRun
	}
	return false
}

// replyWithFailure answers the caller with the failure of the request's last attempt.
func (c *Core) replyWithFailure(now types.Instant, id int32, over route, r *Result, reason Reason, out []Action) []Action {
	req := &c.requests.slab[id]
	d := c.decision(id, over, r.Attempt, reason)
	d.Code = r.Code
	d.Outcome = req.failureOutcome()
	out = appendDecision(out, d)
	return c.finish(now, id, Reply{Attempt: r.Attempt, Outcome: d.Outcome, Code: r.Code}, out)
}

// backoff holds the request for a random time before its retry.
func (c *Core) backoff(now types.Instant, id int32, over route, r *Result, out []Action) []Action {
	req := &c.requests.slab[id]
	limit := backoffBase << min(req.attemptCount-1, backoffDoublings)
	wait := limit/2 + time.Duration(c.options.Random.Uint64()%uint64(limit/2))
	if now.Add(wait+responseMargin) >= req.request.Deadline {
		return c.replyWithFailure(now, id, over, r, ReasonDeadline, out)
	}
	req.state = stateBackoff
	c.timers.set(id, now.Add(wait))
	d := c.decision(id, over, r.Attempt, ReasonBackoff)
	d.Code = r.Code
	d.Outcome = r.Outcome
	return appendDecision(out, d)
}

// holdForNewerRow holds the request until its route differs from the one that was refused. Another attempt over the
// same route would be refused again.
func (c *Core) holdForNewerRow(now types.Instant, id int32, p resolution, out []Action) []Action {
	req := &c.requests.slab[id]
	if req.state == stateWaiting {
		return out
	}
	if !req.service.waitList.add(&c.requests, id) {
		return c.finishUnanswered(now, id, types.CodeOverloaded, ReasonOverloaded, out)
	}
	req.state = stateWaiting
	req.retryUnchanged = true
	req.waitCode = types.CodeNoRoute
	req.waitUntil = min(now.Add(TakeoverWait), req.request.Deadline.Add(-responseMargin))
	c.timers.set(id, min(now.Add(staleWait<<req.newerRowWaits), req.waitUntil))
	req.newerRowWaits++
	return appendDecision(out, c.decision(id, p.route, req.attemptCount, ReasonWaitNewerRow))
}

// retryUnchanged sends the request over the unchanged route after staleWait. It takes one retry from the budget.
func (c *Core) retryUnchanged(now types.Instant, id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	if !req.service.budgets.retry() {
		return c.finishUnanswered(now, id, req.waitCode, ReasonRetryBudget, out)
	}
	c.stopWaiting(id)
	req.retryUnchanged = false
	req.refused = noRoute
	return c.route(now, id, out)
}

// hedge starts a second attempt at another target because the first is slow, if the hedge budget allows it.
func (c *Core) hedge(now types.Instant, id int32, out []Action) []Action {
	req := &c.requests.slab[id]
	_, wanted := req.hedgeDelay()
	req.hedged = true
	c.timers.set(id, req.request.Deadline)
	if !wanted || req.attemptCount >= MaxAttempts || now.Add(responseMargin) >= req.request.Deadline {
		return out
	}
	p := c.resolveAny(now, req)
	if p.code != "" || p.route.target == req.lastTried.target || !req.service.budgets.hedge() {
		return out
	}
	p.reason = ReasonHedge
	return c.forward(now, id, p, out)
}

// sortedServices returns the service names in order, so that the same messages always give the same actions.
func (c *Core) sortedServices() []types.Service {
	if len(c.sortedNames) != len(c.services) {
		c.sortedNames = c.sortedNames[:0]
		for name := range c.services {
			c.sortedNames = append(c.sortedNames, name)
		}
		slices.Sort(c.sortedNames)
	}
	return c.sortedNames
}
