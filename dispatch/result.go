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
	c.land(t, i, res)
	c.observe(t, i, res)
	c.conclude(t, i, res)
	c.pump(t)
	if !t.serving {
		c.closeIdle(t, c.now)
	}
	if c.drained(t) {
		c.report(t, ConditionDrained)
	}
}

func (r *request) matches(res *Result) bool {
	return r.state == stateFlying && r.attempt == res.Attempt && int(r.connection) == res.Connection
}

// land frees the connection and the slot of request i.
func (c *Core) land(t *target, i int32, res *Result) {
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
	r.until = 0
	if res.Kind != ResultNotWritten && res.Kind != ResultNotStarted {
		r.written++
	}
	c.slotLanded(t, r)
}

// observe updates what is known about the target's health.
func (c *Core) observe(t *target, i int32, res *Result) {
	r := c.requests.at(i)
	fresh := t.connections[r.connection].fresh
	switch res.Kind {
	case ResultAnswered:
		c.answered(t, r, res)
	case ResultRefused:
		t.responds(c.now)
		t.ramp.halve(c.now, t.slots)
		c.noteIncarnation(t, res.Incarnation)
	case ResultNotWritten:
		// An idle connection that the target closed is no sign of a failing target. A fresh one that fails is.
		if fresh {
			c.connectFailed(t)
		}
	case ResultBroken:
		c.brokeInFlight(t, r)
		t.backoff.fail(c.now, c.random)
	case ResultCutBody:
		t.backoff.fail(c.now, c.random)
	case ResultTimedOut:
		c.checkResponds(t, r)
		// The answer would have taken longer still. Without this, a frozen target would look as fast as before.
		if res.Latency > t.byClass[r.Class].mean() {
			t.observe(r.Class, res.Latency)
		}
	}
}

// answered takes over the signs of a complete answer: latency, load report, incarnation.
func (c *Core) answered(t *target, r *request, res *Result) {
	if t.connections[r.connection].fresh {
		c.closeSilent(t, t.connections[r.connection].openedAt)
	}
	t.responds(c.now)
	c.noteIncarnation(t, res.Incarnation)
	t.alive = true
	t.survived(r.sentAt)
	c.suspects.exonerate(t.service.index, r.Fingerprint)
	t.observe(r.Class, res.Latency)
	byClass := &t.byClass[r.Class]
	jumped := byClass.jumped()
	if jumped {
		byClass.rebase()
	}
	if t.loadFell(c.now, res.Load) || jumped {
		c.turnCold(t)
	}
	c.compare(t)
}

// compare updates the straggler condition.
func (c *Core) compare(t *target) {
	s := t.service
	s.answers++
	if s.answers%medianEvery == 0 {
		s.updateMedian(c.targets)
	}
	if !c.drained(t) { // reported after the last reply
		c.report(t, c.present(t))
	}
}

// present returns the target's condition by what is known now.
func (c *Core) present(t *target) Condition {
	switch {
	case c.drained(t):
		return ConditionDrained
	case t.ramp.active:
		return ConditionCold
	case t.service.straggles(t, t.condition == ConditionStraggler):
		return ConditionStraggler
	}
	return ConditionHealthy
}

// drained reports whether the target gets no new work and has none left.
func (c *Core) drained(t *target) bool {
	return t.inFlight == 0 && (t.draining || t.removed || c.draining)
}

// report tells others about a change of the target's condition.
func (c *Core) report(t *target, now Condition) {
	if t.condition == now {
		return
	}
	t.condition = now
	c.emit(Action{
		Kind: ActionReportTarget, Target: t.id, Condition: now, Latency: t.latency.mean(),
		Depth: t.queued + t.inFlight, Epoch: t.lease.Epoch,
	})
}

func (c *Core) turnCold(t *target) {
	t.ramp.restart(c.now)
	c.report(t, c.present(t))
}

// noteIncarnation compares the target's incarnation with the last one. Lower ones are of a late answer.
func (c *Core) noteIncarnation(t *target, seen types.Incarnation) {
	if seen <= t.incarnation {
		return
	}
	known := t.incarnation != 0
	t.incarnation = seen
	if known {
		c.targetDied(t)
		c.turnCold(t)
	}
}

// connectFailed counts a failure to connect.
func (c *Core) connectFailed(t *target) {
	t.backoff.fail(c.now, c.random)
	c.targetDied(t)
	c.report(t, ConditionSuspectedDead)
}

// conclude decides what becomes of the request.
func (c *Core) conclude(t *target, i int32, res *Result) {
	r := c.requests.at(i)
	switch res.Kind {
	case ResultAnswered:
		c.finish(i, types.OutcomeDone, failure{reason: ReasonAnswered})
	case ResultRefused:
		c.retryOrFail(t, i, failure{types.CodeTargetRefused, ReasonRefusedByTarget})
	case ResultNotWritten:
		c.sendAgain(t, i)
	case ResultNotStarted:
		c.startAgain(t, i)
	case ResultTimedOut:
		r.uncertain = true
		f := failure{types.CodeDeadlineExceeded, ReasonDeadline}
		if c.now < r.runUntil { // cancelled by the core, for example on a silent connection
			f = failure{types.CodeTargetFailed, ReasonTargetFailed}
		}
		c.retryOrFail(t, i, f)
	case ResultCutBody:
		r.uncertain = true
		c.retryOrFail(t, i, failure{types.CodeTruncatedBody, ReasonTargetFailed})
	default:
		r.uncertain = true
		c.retryOrFail(t, i, failure{types.CodeTargetFailed, ReasonTargetFailed})
	}
}
