package routing

import "sequoiasail.example/types"

// finish answers the caller, cancels attempts in progress and removes the request.
func (c *Core) finish(now types.Instant, id int32, r Reply, out []Action) []Action {
	req := &c.requests.slab[id]
	for i := range req.attempts {
		if req.attempts[i].active {
			out = c.cancelAttempt(now, req, &req.attempts[i], out)
		}
	}
	c.stopWaiting(id)
	c.timers.clear(id)
	r.Handle = req.request.Handle
	c.requests.close(id)
	return append(out, Action{Kind: ActionReply, Reply: r})
}

// finishUnanswered ends a request with the Core's own answer. The outcome is not-run only if no attempt is in progress
// and none has ended with an unknown outcome.
func (c *Core) finishUnanswered(now types.Instant, id int32, code types.Code, reason Reason, out []Action) []Action {
	req := &c.requests.slab[id]
	d := c.decision(id, req.lastRoute(), req.attemptCount, reason)
	d.Code = code
	d.Outcome = req.failureOutcome()
	out = appendDecision(out, d)
	return c.finish(now, id, Reply{Outcome: d.Outcome, Code: code}, out)
}

// cancelAttempt cancels an attempt. Its duration so far counts as its target's latency if it exceeds the estimate:
// otherwise a slow target whose attempts are all cancelled after a hedge would keep a low estimate.
func (c *Core) cancelAttempt(now types.Instant, req *pendingRequest, a *attempt, out []Action) []Action {
	a.active = false
	t := &req.service.targets[a.route.target]
	t.outstanding--
	if l := now.Sub(a.sentAt); float64(l) > t.latency.estimate(now) {
		t.latency.observe(now, l)
	}
	return append(out, Action{Kind: ActionCancel, Cancel: Cancel{
		Handle: req.request.Handle, Attempt: a.number, VM: c.cluster.dispatchers[a.route.vm].name,
	}})
}

// decision fills a Decision for the request and route.
func (c *Core) decision(id int32, r route, number uint8, reason Reason) Decision {
	req := &c.requests.slab[id]
	d := Decision{Handle: req.request.Handle, Key: req.request.Key, Attempt: number, Reason: reason}
	d.Target.Service = req.service.name
	if r.target >= 0 {
		d.Target.Target = req.service.targets[r.target].name
	}
	if r.vm >= 0 {
		d.VM = c.cluster.dispatchers[r.vm].name
	}
	d.SlotEpoch = r.slotEpoch
	d.LeaseEpoch = r.leaseEpoch
	return d
}

// refuse answers a request that was not admitted.
func refuse(out []Action, r *Request, code types.Code, reason Reason) []Action {
	out = appendDecision(out, Decision{
		Handle: r.Handle, Key: r.Key, Target: types.TargetID{Service: r.Service}, Reason: reason,
		Outcome: types.OutcomeNotRun, Code: code,
	})
	return append(out, Action{Kind: ActionReply, Reply: Reply{
		Handle: r.Handle, Outcome: types.OutcomeNotRun, Code: code,
	}})
}

func appendDecision(out []Action, d Decision) []Action {
	return append(out, Action{Kind: ActionDecision, Decision: d})
}
