package ownership

// result handles the answer of a target to a call.
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
	x.recordAnswer()
	restarted := x.sentGrant && x.incarnation != r.Incarnation
	x.token, x.incarnation = r.Token, r.Incarnation
	x.tokenAfter, x.tokenBefore = call.SentAt, h.now
	x.nextCall = h.now.Add(h.timing.renewEvery)
	switch {
	case r.Status == CallAccepted:
		h.accepted(x, call)
	case restarted, r.Status == CallExpired, r.Status == CallStaleEpoch:
		h.handleLostGrant(x, r.Status)
	case !x.tokenRefused:
		x.nextCall = h.now
	default:
		x.nextCall = h.now.Add(h.timing.retryEvery)
	}
	x.tokenRefused = r.Status == CallStaleToken
}

// accepted handles a call that the target applied.
func (h *Holder) accepted(x *heldLease, call TargetCall) {
	if call.Kind == CallRelease {
		x.grantEnded = true
		return
	}
	if call.Epoch != x.lease.Epoch || x.grantLost {
		return
	}
	x.validUntil = x.ttlStart.Add(h.timing.grant)
	if call.Kind != CallGrant {
		return
	}
	if x.granted == nil {
		h.logDecision(Decision{Reason: ReasonGranted, Service: x.id.Service, Target: x.id.Target, Epoch: call.Epoch})
	}
	x.granted = call.KeySet
	x.unconfirmed = false
}

// handleLostGrant handles a target that no longer has a grant of this epoch.
func (h *Holder) handleLostGrant(x *heldLease, status CallStatus) {
	if x.lease.State != LeaseActive {
		x.grantEnded = status != CallStaleEpoch
		return
	}
	if !x.grantLost {
		h.logDecision(Decision{Reason: ReasonGrantLost, Service: x.id.Service, Target: x.id.Target, Epoch: x.lease.Epoch})
	}
	x.grantLost = true
	h.stop(x)
}

// expireCall counts a call whose deadline has passed as unanswered.
func (h *Holder) expireCall(x *heldLease) {
	if x.call.Number != 0 && h.now >= x.call.Deadline {
		x.call.Number = 0
		x.misses++
		x.nextCall = h.now
	}
}

// maintain grants and renews an active lease.
func (h *Holder) maintain(x *heldLease) {
	if !x.fromStore || h.vacatePending(x) {
		return
	}
	if h.unresponsive(x) && !x.unresponsiveLogged {
		x.unresponsiveLogged = true
		h.logDecision(Decision{Reason: ReasonTargetSilent, Service: x.id.Service, Target: x.id.Target, Epoch: x.lease.Epoch})
	}
	if !x.checksGrants {
		h.maintainUnchecked(x)
		return
	}
	h.serve(x)
	if x.call.Number != 0 || x.grantLost || !h.permit.held(x.group) {
		return
	}
	if h.grantConfirmed(x) || !h.mayGrant(x) {
		if x.granted != nil && h.now >= x.nextCall {
			h.send(x, CallRenew, nil)
		}
		return
	}
	if h.now >= x.nextCall || x.granted != nil && !x.tokenRefused && x.misses == 0 {
		h.send(x, CallGrant, x.keys)
	}
}

// maintainUnchecked serves a target that does not check grants. Its keys are protected only by the permit and by
// waiting until the requests in flight have ended.
func (h *Holder) maintainUnchecked(x *heldLease) {
	x.validUntil = forever
	if h.unresponsive(x) {
		x.validUntil = h.now
	}
	h.serve(x)
	if !x.granted.equal(x.keys) && h.mayGrant(x) {
		x.granted = x.keys
		h.serve(x)
	}
}

// grantConfirmed reports whether the target has exactly the keys that the table assigns to it.
func (h *Holder) grantConfirmed(x *heldLease) bool { return x.granted.equal(x.keys) && !x.unconfirmed }

// mayGrant reports whether a changed grant may be sent. No request outside the keys served may be in flight, so that
// the answer also confirms that the target runs nothing on released slots.
func (h *Holder) mayGrant(x *heldLease) bool { return x.granted == nil || x.drained >= x.served.Number }

// send issues a call to the target of a held lease.
func (h *Holder) send(x *heldLease, kind CallKind, keys *KeySet) {
	h.callNumber++
	x.call = TargetCall{
		Target: x.id, Kind: kind, Number: h.callNumber, Epoch: x.lease.Epoch, Token: x.token, Incarnation: x.incarnation,
		TTLMs: h.timing.grant.Milliseconds(), KeySet: keys, SentAt: h.now, Deadline: h.now.Add(h.timing.callTimeout),
	}
	x.ttlStart = x.tokenAfter
	x.unansweredSince = min(x.unansweredSince, h.now)
	action := Action{Kind: ActRelease, Call: x.call}
	if kind == CallGrant {
		x.unconfirmed = true
	}
	if kind != CallRelease && x.token != 0 {
		x.grantEndsBy = later(x.grantEndsBy, h.timing.grantEnd(x.tokenBefore))
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
