package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

// admit accepts, answers or refuses a new request. The deduplication table is checked first: a resend of a request that
// may have run must not be refused as not run, whatever other reason there is to refuse it.
func (c *Core) admit(h Handle, q *Request) {
	if _, used := c.byHandle[h]; used {
		return
	}
	i := c.requests.add(request{
		Request: *q, handle: h, target: none, dedupEntry: none, callerQueue: none, next: none, prev: none,
		runUntil: q.Deadline, state: stateWaiting,
	})
	c.byHandle[h] = i
	r := c.requests.at(i)
	t, known := c.lookup(q.Target)
	if known {
		r.target = t.index
	}
	if !q.Idempotent && c.answerFromDedup(i) {
		return
	}
	covered := q.Idempotent || c.covers(t, r)
	f, refused := c.refusalReason(t, r, covered)
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

// refusalReason returns why the request must not be accepted. It first checks the reasons for which the gateway may
// route the request again, then the coverage of the deduplication table, then the limits.
func (c *Core) refusalReason(t *target, r *request, covered bool) (failure, bool) {
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

// overLimit returns which limit the request exceeds: quarantine, deadline, table size or queue.
func (c *Core) overLimit(t *target, r *request) (failure, bool) {
	switch {
	case c.suspects.quarantined(t.service.index, r.Fingerprint, c.now):
		return failure{types.CodeQuarantined, ReasonQuarantined}, true
	case c.now >= r.Deadline:
		return failure{types.CodeDeadlineExceeded, ReasonDeadline}, true
	case !r.Idempotent && (r.NoMemory || c.dedupTable.full()):
		return failure{types.CodeOverloaded, ReasonTableFull}, true
	case t.inFlight == 0 && t.queued == 0 && t.classes[r.Class].placesTaken == 0:
		return failure{}, false
	case !c.hasPlace(t, r.Class, r.Caller):
		return failure{types.CodeOverloaded, ReasonQueueFull}, true
	case c.now.Add(c.estimateWait(t, r)) > r.Deadline:
		return failure{types.CodeOverloaded, ReasonTooLate}, true
	}
	return failure{}, false
}

// notServed returns why the target must not receive the request now: drain, lease, epoch or home.
func (c *Core) notServed(t *target, r *request) (failure, bool) {
	switch {
	case c.draining || t.draining || t.removed:
		return failure{types.CodeShuttingDown, ReasonDraining}, true
	case !t.serving:
		return failure{types.CodeNotLeaseHolder, ReasonNotHolder}, true
	case r.LeaseEpoch != t.lease.Epoch || !c.ownsSlot(t, r) || !t.isHome(r):
		return failure{types.CodeStaleEpoch, ReasonStaleEpoch}, true
	}
	return failure{}, false
}

// estimateWait estimates the time until the request would be answered.
func (c *Core) estimateWait(t *target, r *request) time.Duration {
	free := t.limit(c.now) - t.inFlight
	queuedAhead := c.queuedAhead(t, r.Class, r.Caller)
	if queuedAhead < free {
		return t.latency.mean()
	}
	return t.estimateTime(c.now, queuedAhead-max(free, 0)+1)
}

// accept sends a request, queues it, or first copies its deduplication entry.
func (c *Core) accept(t *target, i int32) {
	t.budget.earn()
	r := c.requests.at(i)
	if !r.Idempotent {
		c.takePlace(t, i)
		c.startCopy(i)
		return
	}
	if t.queued == 0 && t.canSend(c.now) {
		c.send(t, i)
		return
	}
	c.takePlace(t, i)
	c.enqueue(i, false)
}

// enqueue queues a request that has a place, or finishes it if the target may no longer receive it.
func (c *Core) enqueue(i int32, front bool) {
	r := c.requests.at(i)
	t := c.targets[r.target]
	r.stateUntil = 0
	if f, refused := c.notServed(t, r); refused {
		r.state = stateWaiting
		c.finish(i, r.outcome(), f)
		return
	}
	r.state = stateQueued
	c.push(t, i, front)
	c.schedule(i)
	c.sendQueued(t)
}
