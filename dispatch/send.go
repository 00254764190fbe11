package dispatch

import "sequoiasail.example/types"

// sendQueued sends as many queued requests as the target may receive, and sets the timer for when it may receive more.
func (c *Core) sendQueued(t *target) {
	if t.ramp.finish(c.now) {
		c.setCondition(t, c.currentCondition(t))
	}
	for t.queued > 0 && t.canSend(c.now) {
		i := c.pop(t)
		if f, refused := c.unsendable(t, i); refused {
			r := c.requests.at(i)
			r.state = stateWaiting
			c.finish(i, r.outcome(), f)
			continue
		}
		c.freePlace(t, i)
		c.send(t, i)
	}
	t.updateBusy(c.now)
	if at, set := t.nextWake(c.now); set {
		c.targetTimers.set(t.index, at)
	} else {
		c.targetTimers.clear(t.index)
	}
}

// unsendable returns why a queued request must not be sent any more, if conditions changed while it waited.
func (c *Core) unsendable(t *target, i int32) (failure, bool) {
	r := c.requests.at(i)
	if f, refused := c.notServed(t, r); refused {
		return f, true
	}
	if c.suspects.quarantined(t.service.index, r.Fingerprint, c.now) {
		return failure{types.CodeQuarantined, ReasonQuarantined}, true
	}
	if c.now >= r.runUntil {
		return failure{types.CodeDeadlineExceeded, ReasonDeadline}, true
	}
	// With nothing in flight the request is sent all the same: otherwise a slow average could never be corrected.
	if t.inFlight > 0 && c.now.Add(t.latency.mean()) > r.runUntil {
		return failure{types.CodeOverloaded, ReasonTooLate}, true
	}
	return failure{}, false
}

// send starts the next attempt. The caller must have checked canSend at the same instant.
func (c *Core) send(t *target, i int32) {
	n := t.freeConnection()
	conn := &t.connections[n]
	r := c.requests.at(i)
	r.state = stateInFlight
	r.attempt++
	r.connection = int32(n)
	r.sentAt = c.now
	r.stateUntil = c.now.Add(t.progressDeadline(r))
	conn.request = i
	conn.silent, conn.closing = false, false
	conn.firstUse = !conn.open || t.mayBeBroken(conn)
	if conn.firstUse {
		conn.openedAt = c.now
	}
	t.inFlight++
	if t.backoff.failing() {
		t.probe = n
	}
	c.emit(Action{
		Kind: ActionSend, Handle: r.handle, Attempt: r.attempt, Target: t.id, Connection: n, NewConnection: conn.firstUse,
		Deadline: r.runUntil, Epoch: t.lease.Epoch, ValidUntil: t.lease.ValidUntil,
	})
	t.updateBusy(c.now)
	c.schedule(i)
}

func (c *Core) cancelSend(r *request) {
	c.emit(Action{
		Kind: ActionCancelSend, Handle: r.handle, Attempt: r.attempt, Target: r.Target, Connection: int(r.connection),
	})
}
