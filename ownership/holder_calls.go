package ownership

// result takes a target's answer.
func (h *Holder) result(r CallResult) {
	x := h.find(r.Target)
	if x == nil || x.call.Number == 0 || x.call.Number != r.Number {
		return
	}
	call := x.call
	x.call.Number = 0
	if r.Status == CallFailed {
		x.misses++
		x.nextCall = h.now.Add(h.timing.retryEvery)
		return
	}
	x.heard()
	restarted := x.sentGrant && x.incarnation != r.Incarnation
	x.token, x.incarnation = r.Token, r.Incarnation
	x.tokenAfter, x.tokenBefore = call.SentAt, h.now
	x.nextCall = h.now.Add(h.timing.renewEvery)
	switch {
	case r.Status == CallAccepted:
		h.accepted(x, call)
	case restarted, r.Status == CallExpired, r.Status == CallStaleEpoch:
		h.grantLost(x, r.Status)
	case !x.refused:
		x.nextCall = h.now
	default:
		x.nextCall = h.now.Add(h.timing.retryEvery)
	}
	x.refused = r.Status == CallStaleToken
}

func (h *Holder) accepted(x *holding, call TargetCall) {
	if call.Kind == CallRelease {
		x.ended = true
		return
	}
	if call.Epoch != x.lease.Epoch || x.lost {
		return
	}
	x.validUntil = x.callFrom.Add(h.timing.grant)
	if call.Kind != CallGrant {
		return
	}
	if x.granted == nil {
		h.decide(Decision{Reason: ReasonGranted, Service: x.id.Service, Target: x.id.Target, Epoch: call.Epoch})
	}
	x.granted = call.Areas
	x.unconfirmed = false
}

// grantLost handles a target that has no grant of this epoch any more.
func (h *Holder) grantLost(x *holding, status CallStatus) {
	if x.lease.State != LeaseActive {
		x.ended = status != CallStaleEpoch
		return
	}
	if !x.lost {
		h.decide(Decision{Reason: ReasonGrantLost, Service: x.id.Service, Target: x.id.Target, Epoch: x.lease.Epoch})
	}
	x.lost = true
	h.stop(x)
}

func (h *Holder) expireCall(x *holding) {
	if x.call.Number != 0 && h.now >= x.call.Deadline {
		x.call.Number = 0
		x.misses++
		x.nextCall = h.now
	}
}

// keep grants and renews an active lease.
func (h *Holder) keep(x *holding) {
	if !x.fromStore || h.vacating(x) {
		return
	}
	if h.silentNow(x) && !x.reported {
		x.reported = true
		h.decide(Decision{Reason: ReasonTargetSilent, Service: x.id.Service, Target: x.id.Target, Epoch: x.lease.Epoch})
	}
	if !x.checks {
		h.keepUnchecked(x)
		return
	}
	h.serve(x)
	if x.call.Number != 0 || x.lost || !h.permit.held(x.group) {
		return
	}
	if h.confirmed(x) || !h.mayGrant(x) {
		if x.granted != nil && h.now >= x.nextCall {
			h.send(x, CallRenew, nil)
		}
		return
	}
	if h.now >= x.nextCall || x.granted != nil && !x.refused && x.misses == 0 {
		h.send(x, CallGrant, x.areas)
	}
}

// keepUnchecked serves a target that takes no grants. Only the permit and the drain protect its keys.
func (h *Holder) keepUnchecked(x *holding) {
	x.validUntil = forever
	if h.silentNow(x) {
		x.validUntil = h.now
	}
	h.serve(x)
	if !x.granted.equal(x.areas) && h.mayGrant(x) {
		x.granted = x.areas
		h.serve(x)
	}
}

// confirmed reports whether the target has exactly what the table allows.
func (h *Holder) confirmed(x *holding) bool { return x.granted.equal(x.areas) && !x.unconfirmed }

// mayGrant reports whether a changed grant may be sent: nothing may be in flight outside the areas served, so that a
// release confirms that the target runs nothing on the released slots.
func (h *Holder) mayGrant(x *holding) bool { return x.granted == nil || x.drained >= x.served.Number }

func (h *Holder) send(x *holding, kind CallKind, areas *Areas) {
	h.calls++
	x.call = TargetCall{
		Target: x.id, Kind: kind, Number: h.calls, Epoch: x.lease.Epoch, Token: x.token, Incarnation: x.incarnation,
		TTLMs: h.timing.grant.Milliseconds(), Areas: areas, SentAt: h.now, Deadline: h.now.Add(h.timing.callTimeout),
	}
	x.callFrom = x.tokenAfter
	x.silentSince = min(x.silentSince, h.now)
	action := Action{Kind: ActRelease, Call: x.call}
	if kind == CallGrant {
		x.unconfirmed = true
	}
	if kind != CallRelease && x.token != 0 {
		x.endsBy = later(x.endsBy, h.timing.grantEnd(x.tokenBefore))
		x.sentGrant = true
	}
	switch kind {
	case CallGrant:
		action.Kind = ActGrant
	case CallRenew:
		action.Kind = ActRenew
	}
	h.emit(action)
}
