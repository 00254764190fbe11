package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// admit decides about a new request. The deduplication table is asked first: a resend of a request that may have run
// must not be refused as not run, whatever else speaks against it.
func (c *Core) admit(h Handle, q *Request) {
	if _, used := c.byHandle[h]; used {
		return
	}
	i := c.requests.add(request{
		Request: *q, handle: h, target: none, entry: none, callerQueue: none, next: none, prev: none,
		runUntil: q.Deadline, state: stateWaiting,
	})
	c.byHandle[h] = i
	r := c.requests.at(i)
	t, known := c.lookup(q.Target)
	if known {
		r.target = t.index
	}
	if !q.Idempotent && c.answerFromMemory(i) {
		return
	}
	covered := q.Idempotent || c.covers(t, r)
	f, refused := c.refusal(t, r, covered)
	switch {
	case refused && covered:
		c.finish(i, types.OutcomeNotRun, f)
	case refused:
		c.finish(i, types.OutcomeUnknown, f)
	default:
		c.accept(t, i)
	}
}

func (c *Core) lookup(id types.TargetID) (*target, bool) {
	i, found := c.targetByID[id]
	if !found {
		return nil, false
	}
	return c.targets[i], true
}

// refusal returns why the request must not be accepted. Reasons for which the gateway may route it again go first,
// then the limits of this dispatcher's memory, then the limits of the target.
func (c *Core) refusal(t *target, r *request, covered bool) (failure, bool) {
	if t == nil {
		return failure{types.CodeUnknownService, ReasonUnknownService}, true
	}
	if f, refused := c.notServed(t, r); refused {
		return f, true
	}
	switch {
	case !r.Idempotent && r.MintedMs > r.WallMs+clockToleranceMs:
		return failure{types.CodeBadDeadline, ReasonClockAhead}, true
	case !covered:
		return failure{types.CodeRequestMemoryLost, ReasonMemoryLost}, true
	}
	return c.overLimit(t, r)
}

// overLimit returns which limit stands against the request.
func (c *Core) overLimit(t *target, r *request) (failure, bool) {
	switch {
	case c.suspects.quarantined(t.service.index, r.Fingerprint, c.now):
		return failure{types.CodeQuarantined, ReasonQuarantined}, true
	case c.now >= r.Deadline:
		return failure{types.CodeDeadlineExceeded, ReasonDeadline}, true
	case !r.Idempotent && c.memory.full():
		return failure{types.CodeOverloaded, ReasonTableFull}, true
	case t.inFlight == 0 && t.queued == 0 && t.classes[r.Class].held == 0:
		return failure{}, false
	case !c.hasPlace(t, r.Class, r.Caller):
		return failure{types.CodeOverloaded, ReasonQueueFull}, true
	case c.now.Add(c.wait(t, r)) > r.Deadline:
		return failure{types.CodeOverloaded, ReasonTooLate}, true
	}
	return failure{}, false
}

// notServed returns why the target must not receive the request now: drain, lease or epoch.
func (c *Core) notServed(t *target, r *request) (failure, bool) {
	switch {
	case c.draining || t.draining || t.removed:
		return failure{types.CodeShuttingDown, ReasonDraining}, true
	case !t.serving:
		return failure{types.CodeNotLeaseHolder, ReasonNotHolder}, true
	case r.LeaseEpoch != t.lease.Epoch || !c.ownsSlot(t, r) || !t.atHome(r):
		return failure{types.CodeStaleEpoch, ReasonStaleEpoch}, true
	}
	return failure{}, false
}

// wait estimates the time until the request would be answered.
func (c *Core) wait(t *target, r *request) time.Duration {
	free := t.limit(c.now) - t.inFlight
	ahead := c.ahead(t, r.Class, r.Caller)
	if ahead < free {
		return t.latency.mean()
	}
	return t.expected(c.now, ahead-max(free, 0)+1)
}

// accept starts the work on a request.
func (c *Core) accept(t *target, i int32) {
	t.budget.earn()
	r := c.requests.at(i)
	if !r.Idempotent {
		c.hold(t, i)
		c.startCopy(i)
		return
	}
	if t.queued == 0 && t.canSend(c.now) {
		c.send(t, i)
		return
	}
	c.hold(t, i)
	c.enqueue(i, false)
}

// enqueue makes a held request ready to be sent.
func (c *Core) enqueue(i int32, front bool) {
	r := c.requests.at(i)
	t := c.targets[r.target]
	r.until = 0
	if f, refused := c.notServed(t, r); refused {
		r.state = stateWaiting
		c.finish(i, r.outcome(), f)
		return
	}
	r.state = stateQueued
	c.push(t, i, front)
	c.schedule(i)
	c.pump(t)
}
