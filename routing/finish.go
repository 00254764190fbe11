package routing

import "sequoiasail.example/types"

// finish answers the caller, withdraws attempts in progress and forgets the request.
func (c *Core) finish(now types.Instant, id int32, r Reply, out []Action) []Action {
	f := &c.flights.slab[id]
	for i := range f.attempts {
		if f.attempts[i].live {
			out = c.withdraw(now, f, &f.attempts[i], out)
		}
	}
	c.stopWaiting(id)
	c.timers.clear(id)
	r.Handle = f.request.Handle
	c.flights.close(id)
	return append(out, Action{Kind: ActionReply, Reply: r})
}

// finishUnanswered ends a request for which no answer can be passed on. The outcome is not-run only if no attempt is
// in progress or has ended without a known outcome.
func (c *Core) finishUnanswered(now types.Instant, id int32, code types.Code, reason Reason, out []Action) []Action {
	f := &c.flights.slab[id]
	d := c.decision(id, f.lastRoute(), f.made, reason)
	d.Code = code
	d.Outcome = f.unansweredOutcome()
	out = note(out, d)
	return c.finish(now, id, Reply{Outcome: d.Outcome, Code: code}, out)
}

// withdraw cancels an attempt. The time it has taken so far counts as its target's latency if that is longer than the
// estimate: a straggler that loses to hedges would otherwise never be noticed.
func (c *Core) withdraw(now types.Instant, f *flight, a *attempt, out []Action) []Action {
	a.live = false
	t := &f.service.targets[a.route.target]
	t.outstanding--
	if l := now.Sub(a.sent); float64(l) > t.latency.estimate(now) {
		t.latency.observe(now, l)
	}
	return append(out, Action{Kind: ActionCancel, Cancel: Cancel{
		Handle: f.request.Handle, Attempt: a.number, VM: c.views.vms[a.route.vm].name,
	}})
}

// decision fills a Decision for the request and route.
func (c *Core) decision(id int32, r route, number uint8, reason Reason) Decision {
	f := &c.flights.slab[id]
	d := Decision{Handle: f.request.Handle, Key: f.request.Key, Attempt: number, Reason: reason}
	d.Target.Service = f.service.name
	if r.target >= 0 {
		d.Target.Target = f.service.targets[r.target].name
	}
	if r.vm >= 0 {
		d.VM = c.views.vms[r.vm].name
	}
	d.SlotEpoch = r.slotEpoch
	d.LeaseEpoch = r.leaseEpoch
	return d
}

// refuse answers a request that was not admitted.
func refuse(out []Action, r *Request, code types.Code, reason Reason) []Action {
	out = note(out, Decision{
		Handle: r.Handle, Key: r.Key, Target: types.TargetID{Service: r.Service}, Reason: reason,
		Outcome: types.OutcomeNotRun, Code: code,
	})
	return append(out, Action{Kind: ActionReply, Reply: Reply{
		Handle: r.Handle, Outcome: types.OutcomeNotRun, Code: code,
	}})
}

func note(out []Action, d Decision) []Action {
	return append(out, Action{Kind: ActionDecision, Decision: d})
}
