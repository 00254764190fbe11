package dispatch

import "sequoiasail.example/types"

// result applies the result of one attempt. A result of another attempt or connection is dropped.
func (c *Core) result(h Handle, res *Result) {
	i, found := c.byHandle[h]
	if !found || !c.requests.at(i).matches(res) {
		c.emit(Action{Kind: ActionDecision, Handle: h, Attempt: res.Attempt, Reason: ReasonLateResult})
		return
	}
	t := c.targets[c.requests.at(i).target]
	c.completeAttempt(t, i, res)
	c.observe(t, i, res)
	c.finishOrRetry(t, i, res)
	c.sendQueued(t)
	if !t.serving {
		c.closeIdle(t, c.now)
	}
	if c.isDrained(t) {
		c.setCondition(t, ConditionDrained)
	}
}

func (r *request) matches(res *Result) bool {
	return r.state == stateInFlight && r.attempt == res.Attempt && int(r.connection) == res.Connection
}

// completeAttempt ends the attempt of request i and frees its connection.
func (c *Core) completeAttempt(t *target, i int32, res *Result) {
	r := c.requests.at(i)
	conn := &t.connections[r.connection]
	if conn.silent {
		t.silent--
	}
	conn.request = none
	conn.silent = false
	conn.open = res.Kind == ResultAnswered || res.Kind == ResultRefused
	t.inFlight--
	if t.probe == int(r.connection) {
		t.probe = noProbe
	}
	r.state = stateWaiting
	r.stateUntil = 0
	if res.Kind != ResultNotWritten && res.Kind != ResultNotStarted {
		r.attemptsWritten++
	}
	c.checkSlotIdle(t, r)
}

// observe updates the target's backoff, ramp, latency and incarnation by the result.
func (c *Core) observe(t *target, i int32, res *Result) {
	r := c.requests.at(i)
	firstUse := t.connections[r.connection].firstUse
	switch res.Kind {
	case ResultAnswered:
		c.recordAnswer(t, r, res)
	case ResultRefused:
		t.recordResponse(c.now)
		t.ramp.halve(c.now, t.slots)
		c.updateIncarnation(t, res.Incarnation)
	case ResultNotWritten:
		// A healthy target may close an idle connection. A new connection that fails is a sign of a failing target.
		if firstUse {
			c.connectFailed(t)
		}
	case ResultBroken:
		c.recordBroken(t, r)
		t.backoff.fail(c.now, c.random)
	case ResultCutBody:
		t.backoff.fail(c.now, c.random)
	case ResultTimedOut:
		c.countIfUnresponsive(t, r)
		// The answer would have taken longer still. Without this, the averages of a frozen target would stay low.
		if res.Latency > t.byClass[r.Class].mean() {
			t.observe(r.Class, res.Latency)
		}
	}
}

// recordAnswer evaluates a complete answer: latency, load report and incarnation.
func (c *Core) recordAnswer(t *target, r *request, res *Result) {
	if t.connections[r.connection].firstUse {
		c.closeSilent(t, t.connections[r.connection].openedAt)
	}
	t.recordResponse(c.now)
	c.updateIncarnation(t, res.Incarnation)
	t.alive = true
	t.clearBroken(r.sentAt)
	c.suspects.remove(t.service.index, r.Fingerprint)
	t.observe(r.Class, res.Latency)
	byClass := &t.byClass[r.Class]
	jumped := byClass.jumped()
	if jumped {
		byClass.rebase()
	}
	if t.loadFell(c.now, res.Load) || jumped {
		c.startRamp(t)
	}
	c.updateStraggler(t)
}

// updateStraggler recomputes the service's median at intervals, and then the target's condition.
func (c *Core) updateStraggler(t *target) {
	s := t.service
	s.answerCount++
	if s.answerCount%medianInterval == 0 {
		s.updateMedian(c.targets)
	}
	if !c.isDrained(t) { // result reports ConditionDrained after the last reply
		c.setCondition(t, c.currentCondition(t))
	}
}

// currentCondition derives the target's condition from its present state.
func (c *Core) currentCondition(t *target) Condition {
	switch {
	case c.isDrained(t):
		return ConditionDrained
	case t.ramp.active:
		return ConditionCold
	case t.service.isStraggler(t, t.condition == ConditionStraggler):
		return ConditionStraggler
	}
	return ConditionHealthy
}

// isDrained reports whether the target receives no new work and has no request in flight.
func (c *Core) isDrained(t *target) bool {
	return t.inFlight == 0 && (t.draining || t.removed || c.draining)
}

// setCondition sets the target's condition and emits ActionReportTarget when it changed.
func (c *Core) setCondition(t *target, next Condition) {
	if t.condition == next {
		return
	}
	t.condition = next
	c.emit(Action{
		Kind: ActionReportTarget, Target: t.id, Condition: next, Latency: t.latency.mean(),
		Depth: t.queued + t.inFlight, Epoch: t.lease.Epoch,
	})
}

func (c *Core) startRamp(t *target) {
	t.ramp.restart(c.now)
	c.setCondition(t, c.currentCondition(t))
}

// updateIncarnation counts a death and starts a ramp when the target's incarnation has risen. A lower incarnation
// belongs to a late answer and is ignored.
func (c *Core) updateIncarnation(t *target, seen types.Incarnation) {
	if seen <= t.incarnation {
		return
	}
	known := t.incarnation != 0
	t.incarnation = seen
	if known {
		c.countTargetDeath(t)
		c.startRamp(t)
	}
}

// connectFailed counts a failure to connect.
func (c *Core) connectFailed(t *target) {
	t.backoff.fail(c.now, c.random)
	c.countTargetDeath(t)
	c.setCondition(t, ConditionSuspectedDead)
}

// finishOrRetry finishes the request or schedules its next attempt, by the result.
func (c *Core) finishOrRetry(t *target, i int32, res *Result) {
	r := c.requests.at(i)
	switch res.Kind {
	case ResultAnswered:
		c.finish(i, types.OutcomeDone, failure{reason: ReasonAnswered})
	case ResultRefused:
		c.retryOrFail(t, i, failure{types.CodeTargetRefused, ReasonRefusedByTarget})
	case ResultNotWritten:
		c.requeueUnwritten(t, i)
	case ResultNotStarted:
		c.retryNotStarted(t, i)
	case ResultTimedOut:
		r.mayHaveRun = true
		f := failure{types.CodeDeadlineExceeded, ReasonDeadline}
		if c.now < r.runUntil { // cancelled by the core, for example on a silent connection
			f = failure{types.CodeTargetFailed, ReasonTargetFailed}
		}
		c.retryOrFail(t, i, f)
	case ResultCutBody:
		r.mayHaveRun = true
		c.retryOrFail(t, i, failure{types.CodeTruncatedBody, ReasonTargetFailed})
	default:
		r.mayHaveRun = true
		c.retryOrFail(t, i, failure{types.CodeTargetFailed, ReasonTargetFailed})
	}
}
