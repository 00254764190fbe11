package keyspace

import (
	"iter"

	"sequoiasail.example/types"
)

// markReleased finds the releasing ranges whose former owner no longer holds them.
func (c *Core) markReleased(now types.Instant) {
	for i := range c.states {
		s := &c.states[i]
		if s.phase != phaseReleasing {
			continue
		}
		if c.hasEnded(c.table.Ranges[i].Owner) || (!s.callInFlight && !now.Before(s.heldUntil())) {
			s.phase = phaseReleased
		}
	}
}

// hasEnded reports whether o is no owner at all or is known to have ended, so that it holds no keys. A later
// incarnation of the same target does not prove that: a grant may have reached it before it was known.
func (c *Core) hasEnded(o Owner) bool { return o == (Owner{}) || c.ended[o] }

// commitOwners commits the new owners or fencing tokens of all ranges that are ready, one commit at a time.
func (c *Core) commitOwners(now types.Instant) {
	if c.pendingCommit != nil || now.Before(c.nextCommitAt) {
		return
	}
	if c.era.rewrite {
		c.rewriteTable(now)
		return
	}
	var t Table
	for i := range c.states {
		s := &c.states[i]
		if s.phase != phaseReleased && s.phase != phaseRefencing {
			continue
		}
		if t.Ranges == nil {
			t = c.table.Clone()
		}
		s.phase = phaseCommitting
		r := &t.Ranges[i]
		r.Owner = s.nextOwner
		r.Fence = t.NextFence
		t.NextFence++
	}
	if t.Ranges != nil {
		c.nextCommitAt = now.Add(commitInterval)
		c.submitTable(now, t)
	}
}

// finishCommit adopts the committed table, or has the table read again when the result is unknown. A result of another commit
// than the one in flight is dropped: that commit counts as unanswered already.
func (c *Core) finishCommit(now types.Instant, m Committed) {
	c.beginEra(now, m.Revision.Era())
	if c.pendingCommit == nil || m.Command != c.commitCommand {
		c.actions = append(c.actions, ResultDropped{Command: m.Command, Result: "commit"})
		return
	}
	if m.Err != nil {
		c.finishFailedCommit(now, types.CodeOf(m.Err))
		return
	}
	t := *c.pendingCommit
	c.pendingCommit, c.revision = nil, m.Revision
	c.era.retained, c.era.newest = false, Table{}
	c.unanswered.observe(t)
	if len(c.states) == 0 {
		c.table = t
		c.actions = append(c.actions, RangesAssigned{Base: 0, Next: t.NextFence, Ranges: nil})
		c.states = make([]rangeState, len(t.Ranges))
		for i := range c.states {
			c.states[i] = rangeState{
				fenceCommitted: true, renewAt: now, firstGrantBefore: now.Add(firstGrantWindow), exclusive: c.exclusiveCommit,
			}
		}
		return
	}
	baseFence := c.table.NextFence
	sameTarget := make(map[int]bool)
	for i := range c.states {
		sameTarget[i] = c.states[i].phase == phaseCommitting && c.table.Ranges[i].Owner.Target == t.Ranges[i].Owner.Target
	}
	c.table = t
	var assigned []Range
	for i := range c.states {
		if c.states[i].phase == phaseCommitting {
			assigned = append(assigned, t.Ranges[i])
			c.states[i] = c.states[i].afterCommit(now, sameTarget[i], c.exclusiveCommit)
		}
	}
	c.actions = append(c.actions, RangesAssigned{Base: baseFence, Next: t.NextFence, Ranges: assigned})
}

// finishFailedCommit has the table read again after a commit that failed or whose result is unknown.
func (c *Core) finishFailedCommit(now types.Instant, code types.Code) {
	c.tableUncertain = true
	if code != types.CodeStoreUnavailable && code != types.CodeConflict {
		c.abandonCommit()
		return
	}
	c.pendingCommit = nil
	if code == types.CodeStoreUnavailable {
		c.cancelMoves(now)
	}
}

// cancelMoves leaves the ranges that move for balance with their present owners, because otherwise their keys would
// have no owner until the store is available again. Moves away from unusable owners stay pending. Nothing moves until
// the store can be read. Ranges to which an unanswered commit gives another owner stay without a grant: it may still be carried
// out.
func (c *Core) cancelMoves(now types.Instant) {
	var a CommitRefused
	for i := range c.states {
		s := &c.states[i]
		sameTarget := s.nextOwner.Target == c.table.Ranges[i].Owner.Target
		switch {
		case s.phase == phaseHeld:
		case sameTarget:
			s.phase = phaseRefencing
		case !s.forced && s.granted && c.mayKeep(i):
			// The owner may have released the range already.
			s.phase, s.granted, s.renewAt = phaseHeld, false, now
			a.Cancelled = append(a.Cancelled, c.table.Ranges[i])
		case s.phase == phaseCommitting:
			s.phase = phaseReleased
			a.Waiting = append(a.Waiting, c.table.Ranges[i])
		}
	}
	if len(a.Cancelled)+len(a.Waiting) > 0 {
		c.actions = append(c.actions, a)
	}
}

// sendCalls sends the releases and grants that are due. Each incarnation of a target gets its own batch, because
// incarnations may have different addresses, and at most one batch of grants is in flight for each. A range whose first
// grant is late gets a new fencing token first.
func (c *Core) sendCalls(now types.Instant) {
	c.sendReleases(now)
	batches := make(map[Owner][]int)
	var owners []Owner
	for _, i := range c.grantsByUrgency() {
		owner := c.table.Ranges[i].Owner
		if !c.callDue(now, i) || c.batchesInFlight[owner] > 0 || c.isSuspect(owner) || len(batches[owner]) >= maxBatchCalls {
			continue
		}
		if s := &c.states[i]; c.firstGrantLate(now, s) {
			s.phase, s.nextOwner = phaseRefencing, owner
			continue
		}
		if len(batches[owner]) == 0 {
			owners = append(owners, owner)
		}
		batches[owner] = append(batches[owner], i)
	}
	for _, o := range owners {
		c.sendGrants(now, o, batches[o])
	}
}

// sendReleases sends the releases that are due, as many as may be in flight.
func (c *Core) sendReleases(now types.Instant) {
	total := 0
	for _, n := range c.releasesInFlight {
		total += n
	}
	for i := range c.states {
		owner := c.table.Ranges[i].Owner
		if c.states[i].phase != phaseReleasing || !c.callDue(now, i) || c.releasesInFlight[owner] >= maxOwnerReleases {
			continue
		}
		if total >= maxReleases {
			return
		}
		total++
		c.releasesInFlight[owner]++
		c.actions = append(c.actions, CallBatch{Owner: owner, Calls: []Call{c.releaseCall(i)}})
	}
}

// grantsByUrgency returns the indexes of the ranges that are not being released, with first grants before renewals: while
// those wait, no target may serve the keys.
func (c *Core) grantsByUrgency() []int {
	var urgent, others []int
	for i := range c.states {
		switch {
		case c.states[i].phase == phaseReleasing:
		case !c.states[i].granted:
			urgent = append(urgent, i)
		default:
			others = append(others, i)
		}
	}
	return append(urgent, others...)
}

// callDue reports whether a call to the owner of the range at index i is due.
func (c *Core) callDue(now types.Instant, i int) bool {
	s, r := &c.states[i], &c.table.Ranges[i]
	if s.callInFlight || r.Owner == (Owner{}) || now.Before(s.renewAt) || c.hasEnded(r.Owner) {
		return false
	}
	_, known := c.members[r.Owner.Target]
	return s.phase == phaseReleasing || (s.phase == phaseHeld && s.fenceCommitted && known)
}

// sendGrants sends the grants of the ranges at indexes to their owner.
func (c *Core) sendGrants(now types.Instant, o Owner, indexes []int) {
	b := CallBatch{Owner: o}
	for _, i := range indexes {
		b.Calls = append(b.Calls, c.grantCall(now, i))
	}
	c.batchesInFlight[o]++
	c.actions = append(c.actions, b)
}

// releaseCall returns the release of a range and marks it as having a call in flight. Each range is released by itself, because
// a target answers with the handover for just the keys of the call: without it, the next owner serves them slowly at first.
func (c *Core) releaseCall(i int) Call {
	c.states[i].callInFlight = true
	r := &c.table.Ranges[i]
	return Call{Kind: CallRelease, Owner: r.Owner, From: r.From, To: r.To, Fence: r.Fence}
}

// grantCall returns the grant or renewal of a range and marks it as having a call in flight.
func (c *Core) grantCall(now types.Instant, i int) Call {
	s, r, ttl := &c.states[i], &c.table.Ranges[i], c.grantTTL(now)
	call := Call{
		Kind: CallGrant, Owner: r.Owner, From: r.From, To: r.To, Fence: r.Fence, TTL: ttl, Renewal: s.sent, Connection: s.connection,
	}
	if !s.sent {
		call.SendBefore = c.firstGrantLimit(s)
	}
	if !s.granted {
		call.Handover = r.Handover
	}
	s.inFlightUntil = c.batchesSentBefore(now).Add(c.settings.maxHoldAfterSending(ttl))
	s.sent, s.callInFlight = true, true
	return call
}

// BatchDone tells the core that all calls of a batch have completed, of which last is the last one.
func (c *Core) BatchDone(now types.Instant, last Call) []Action {
	c.actions = nil
	inFlight := c.batchesInFlight
	if last.Kind == CallRelease {
		inFlight = c.releasesInFlight
	}
	inFlight[last.Owner]--
	if inFlight[last.Owner] <= 0 {
		delete(inFlight, last.Owner)
	}
	return c.advance(now)
}

// finishCall applies the result of one call. Since the call was sent, the table may have changed and its range may
// have been split. If the table has been read again without an earlier split, the call says nothing of the range that its keys
// are a part of now.
func (c *Core) finishCall(now types.Instant, m CallCompleted) {
	if m.Call.Kind == CallProbe {
		c.applyProbe(now, m)
		return
	}
	if m.Result == CallWrongTarget {
		c.ended[m.Call.Owner] = true
	}
	if !c.elected {
		return
	}
	for i := c.table.Index(m.Call.From); i >= 0 && i < len(c.states) && c.table.Ranges[i].From <= m.Call.To; i++ {
		r := &c.table.Ranges[i]
		if r.Fence != m.Call.Fence || r.Owner != m.Call.Owner || r.From < m.Call.From || r.To > m.Call.To {
			continue
		}
		c.states[i].callInFlight = false
		if m.Call.Kind == CallGrant {
			c.granted(now, i, m)
		} else {
			c.released(now, i, m)
		}
	}
}

// granted applies the result of a grant.
func (c *Core) granted(now types.Instant, i int, m CallCompleted) {
	s, r := &c.states[i], &c.table.Ranges[i]
	s.inFlightUntil = 0
	switch m.Result {
	case CallDone:
		// The target refuses lower fencing tokens from now on. The call arrived before now, so counting from now is
		// safe. A shorter grant must not shorten an earlier hold.
		s.lowerFenceUntil = 0
		s.granted = true
		s.connection = m.Connection
		s.renewAt = now.Add(c.settings.RenewInterval)
		if s.phase == phaseReleasing {
			// The release has waited for this answer.
			s.renewAt = now
		}
		s.confirmedUntil = max(s.confirmedUntil, now.Add(maxHoldAfterArrival(m.Call.TTL)))
	case CallUnanswered:
		s.connection = 0
		s.unansweredUntil = max(s.unansweredUntil, now.Add(c.settings.maxHoldAfterSending(m.Call.TTL)))
		s.renewAt = now.Add(callRetryDelay)
		c.markSuspect(now, r.Owner)
	case CallNotSent:
		s.sent = s.sent && m.Call.Renewal
		s.renewAt = now.Add(callRetryDelay)
		if c.firstGrantLate(now, s) {
			s.renewAt = now
		}
	case CallConnectionLost:
		c.refenceOwner(r.Owner)
	case CallFenceTooLow:
		// Another coordinator has assigned the keys, so the stored table is newer than this one.
		c.tableUncertain = true
		s.fenceRefused = true
		s.renewAt = now.Add(c.settings.RenewInterval)
	default:
		s.renewAt = now.Add(callRetryDelay)
	}
}

// refenceOwner marks all ranges that an owner holds for the commit of a higher fencing token.
func (c *Core) refenceOwner(o Owner) {
	for s := range c.rangesHeldBy(o) {
		s.phase, s.nextOwner = phaseRefencing, o
	}
}

// rangesHeldBy iterates over the states of the ranges that an owner holds and that are not moving.
func (c *Core) rangesHeldBy(o Owner) iter.Seq[*rangeState] {
	return func(yield func(*rangeState) bool) {
		for i := range c.states {
			if s := &c.states[i]; s.phase == phaseHeld && c.table.Ranges[i].Owner == o && !yield(s) {
				return
			}
		}
	}
}

// refenceInherited marks the ranges from an earlier term for the commit of a new fencing token, because their owners
// may have restarted since their last grant.
func (c *Core) refenceInherited() {
	for i := range c.states {
		s := &c.states[i]
		owner := c.table.Ranges[i].Owner
		if s.phase != phaseHeld || s.fenceCommitted || c.ended[owner] {
			continue
		}
		if _, known := c.members[owner.Target]; known {
			s.phase, s.nextOwner = phaseRefencing, owner
		}
	}
}

// released applies the result of a release. A confirmed one ends the former owner's hold, except for unanswered
// grants that may still be applied.
func (c *Core) released(now types.Instant, i int, m CallCompleted) {
	s := &c.states[i]
	if s.phase == phaseHeld {
		// The move was cancelled while its release was in flight.
		s.renewAt = now
		return
	}
	if m.Result != CallDone {
		s.renewAt = now.Add(callRetryDelay)
		return
	}
	c.table.Ranges[i].Handover = m.Handover
	s.confirmedUntil = 0
	s.renewAt = s.unconfirmedUntil()
}

// afterCommit returns the state of a range after the commit of its next owner. If that is the same target, its
// earlier grants still count, also one whose call is in flight: its result no longer matches the range.
func (s rangeState) afterCommit(now types.Instant, sameTarget, exclusive bool) rangeState {
	n := rangeState{
		fenceCommitted: true, renewAt: now, cooldownUntil: now.Add(moveCooldown), firstGrantBefore: now.Add(firstGrantWindow),
		exclusive: exclusive,
	}
	if sameTarget {
		n.confirmedUntil, n.cooldownUntil = s.confirmedUntil, s.cooldownUntil
		n.lowerFenceUntil = max(s.unconfirmedUntil(), s.inFlightUntil)
	}
	return n
}
