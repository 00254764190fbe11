package routing

import (
	"slices"
	"time"

	"sequoiasail.example/types"
)

// Waits between attempts.
const (
	// staleWait is how long a request refused as stale waits for newer rows before it is retried all the same: the
	// dispatcher's rows may be older than the gateway's.
	staleWait = 100 * time.Millisecond
	// backoffBase is the longest wait before the first retry. It doubles with each attempt.
	backoffBase = 20 * time.Millisecond
	// backoffDoublings bounds the doubling.
	backoffDoublings = 4
)

// result ends one attempt. Results of unknown requests and attempts are late or crossed and are ignored.
func (c *Core) result(now types.Instant, r *Result, out []Action) []Action {
	id, ok := c.flights.find(r.Handle)
	if !ok {
		return out
	}
	f := &c.flights.slab[id]
	a := f.findAttempt(r.Attempt)
	if a == nil {
		return out
	}
	a.live = false
	out = c.observed(now, f, a, r, out)
	if r.Outcome == types.OutcomeDone {
		return c.finish(now, id, Reply{Attempt: r.Attempt, Outcome: r.Outcome}, out)
	}
	if r.Outcome == types.OutcomeUnknown {
		f.mayHaveRun = true
	}
	if f.inProgress() {
		return out
	}
	f.state = stateIdle
	c.timers.clear(id)
	return c.failed(now, id, a.route, r, out)
}

// observed updates the view of the attempt's target and ejects it if it keeps failing.
func (c *Core) observed(now types.Instant, f *flight, a *attempt, r *Result, out []Action) []Action {
	s := f.service
	s.targets[a.route.target].outstanding--
	if r.Outcome == types.OutcomeNotRun && r.Code != types.CodePeerUnavailable {
		return out
	}
	o := r.Outcome
	if r.Code == types.CodePeerUnavailable {
		o = types.OutcomeUnknown
	}
	if !s.observe(now, a.route.target, now.Sub(a.sent), o) || !s.eject(now, a.route.target) {
		return out
	}
	return note(out, Decision{
		Target: types.TargetID{Service: s.name, Target: s.targets[a.route.target].name}, Reason: ReasonEjected, Code: r.Code,
	})
}

// failed decides what follows the last attempt in progress.
func (c *Core) failed(now types.Instant, id int32, over route, r *Result, out []Action) []Action {
	f := &c.flights.slab[id]
	retryable := r.RetryAllowed && (f.request.Idempotent || r.Outcome == types.OutcomeNotRun)
	switch {
	case !retryable:
		return c.passOn(now, id, over, r, ReasonAnswered, out)
	case f.made >= MaxAttempts:
		return c.passOn(now, id, over, r, ReasonAttempts, out)
	case stale(r):
		f.refused = over
		return c.route(now, id, out)
	case !f.service.budgets.retry():
		return c.passOn(now, id, over, r, ReasonBudget, out)
	}
	return c.backoff(now, id, over, r, out)
}

// stale reports whether a refusal means that the route is outdated: the gateway and the dispatcher know different
// rows, or the dispatcher was not reached.
func stale(r *Result) bool {
	switch r.Code {
	case types.CodeStaleEpoch, types.CodeNotLeaseHolder:
		return true
	case types.CodePeerUnavailable:
		return r.Outcome == types.OutcomeNotRun
	}
	return false
}

// passOn answers the caller with the failure of its last attempt.
func (c *Core) passOn(now types.Instant, id int32, over route, r *Result, reason Reason, out []Action) []Action {
	f := &c.flights.slab[id]
	d := c.decision(id, over, r.Attempt, reason)
	d.Code = r.Code
	d.Outcome = f.unansweredOutcome()
	out = note(out, d)
	return c.finish(now, id, Reply{Attempt: r.Attempt, Outcome: d.Outcome, Code: r.Code}, out)
}

// backoff holds the request for a random time before its retry.
func (c *Core) backoff(now types.Instant, id int32, over route, r *Result, out []Action) []Action {
	f := &c.flights.slab[id]
	limit := backoffBase << min(f.made-1, backoffDoublings)
	wait := limit/2 + time.Duration(c.options.Random.Uint64()%uint64(limit/2))
	if now.Add(wait+hop) >= f.request.Deadline {
		return c.passOn(now, id, over, r, ReasonDeadline, out)
	}
	f.state = stateBackoff
	c.timers.set(id, now.Add(wait))
	d := c.decision(id, over, r.Attempt, ReasonBackoff)
	d.Code = r.Code
	d.Outcome = r.Outcome
	return note(out, d)
}

// holdStale keeps the request until the route that refused it has changed. Sending it again over the same route would
// only be refused again.
func (c *Core) holdStale(now types.Instant, id int32, p plan, out []Action) []Action {
	f := &c.flights.slab[id]
	if f.state == stateWaiting {
		return out
	}
	if !f.service.waiting.add(&c.flights, id) {
		return c.finishUnanswered(now, id, types.CodeOverloaded, ReasonOverloaded, out)
	}
	f.state = stateWaiting
	f.retryStale = true
	f.waitCode = types.CodeNoRoute
	f.waitUntil = min(now.Add(TakeoverWait), f.request.Deadline.Add(-hop))
	c.timers.set(id, min(now.Add(staleWait<<f.stale), f.waitUntil))
	f.stale++
	return note(out, c.decision(id, p.route, f.made, ReasonWaitNewer))
}

// retryStale sends the request over an unchanged route after staleWait, at the cost of the retry budget.
func (c *Core) retryStale(now types.Instant, id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	if !f.service.budgets.retry() {
		return c.finishUnanswered(now, id, f.waitCode, ReasonBudget, out)
	}
	c.stopWaiting(id)
	f.retryStale = false
	f.refused = noRoute
	return c.route(now, id, out)
}

// hedge starts a second attempt at another target because the first is slow.
func (c *Core) hedge(now types.Instant, id int32, out []Action) []Action {
	f := &c.flights.slab[id]
	_, wanted := f.hedgeDelay()
	f.hedged = true
	c.timers.set(id, f.request.Deadline)
	if !wanted || f.made >= MaxAttempts || now.Add(hop) >= f.request.Deadline {
		return out
	}
	p := c.resolveAny(now, f)
	if p.code != "" || p.route.target == f.last.target || !f.service.budgets.hedge() {
		return out
	}
	p.reason = ReasonHedge
	return c.forward(now, id, p, out)
}

// sortedServices returns the service names in order, so that a session replays the same way.
func (c *Core) sortedServices() []types.Service {
	if len(c.order) != len(c.services) {
		c.order = c.order[:0]
		for name := range c.services {
			c.order = append(c.order, name)
		}
		slices.Sort(c.order)
	}
	return c.order
}
