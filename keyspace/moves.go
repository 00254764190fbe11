package keyspace

import (
	"iter"

	"sequoiasail.example/types"
)

// free looks at the leaving ranges whose former owner no longer holds them.
func (c *Core) free(now types.Instant) {
	for i := range c.spans {
		s := &c.spans[i]
		if s.phase != leaving {
			continue
		}
		if c.over(c.table.Ranges[i].Owner) || (!s.busy && !now.Before(s.heldUntil())) {
			s.phase = freed
		}
	}
}

// over reports whether a target has surely ended, so that nothing of it holds keys. A later life of the same target does
// not show that: a grant may have reached it before it was known.
func (c *Core) over(o Owner) bool { return o == (Owner{}) || c.ended[o] }

// commit writes the new owners of all freed ranges, one commit at a time.
func (c *Core) commit(now types.Instant) {
	if c.pending != nil || now.Before(c.commitAt) {
		return
	}
	var t Table
	for i := range c.spans {
		s := &c.spans[i]
		if s.phase != freed && s.phase != refencing {
			continue
		}
		if t.Ranges == nil {
			t = c.table.Clone()
		}
		s.phase = committing
		r := &t.Ranges[i]
		r.Owner = s.next
		r.Fence = t.NextFence
		t.NextFence++
	}
	if t.Ranges != nil {
		c.commitAt = now.Add(commitInterval)
		c.submit(t)
	}
}

// finishCommit takes the committed table over, or reads the table again when the result is not certain.
func (c *Core) finishCommit(now types.Instant, m Committed) {
	if c.pending == nil {
		return
	}
	t := *c.pending
	c.pending = nil
	switch {
	case m.Err == nil:
	case types.CodeOf(m.Err) == types.CodeStoreUnavailable:
		c.giveBack(now)
		c.uncertain = true
		return
	default:
		c.uncertain = true
		return
	}
	if len(c.spans) == 0 {
		c.table = t
		c.actions = append(c.actions, Owned{Base: 0, Next: t.NextFence, Ranges: nil})
		c.spans = make([]span, len(t.Ranges))
		for i := range c.spans {
			c.spans[i].fresh, c.spans[i].renewAt = true, now
		}
		return
	}
	base := c.table.NextFence
	same := make(map[int]bool)
	for i := range c.spans {
		same[i] = c.spans[i].phase == committing && c.table.Ranges[i].Owner.Target == t.Ranges[i].Owner.Target
	}
	c.table = t
	var owned []Range
	for i := range c.spans {
		if c.spans[i].phase == committing {
			owned = append(owned, t.Ranges[i])
			c.spans[i] = c.spans[i].renewed(now, same[i])
		}
	}
	c.actions = append(c.actions, Owned{Base: base, Next: t.NextFence, Ranges: owned})
}

// giveBack returns the ranges that were on the move to their owners, unless those may not keep them. Keys
// without an owner would wait for the store. Nothing moves until the store can be read again.
func (c *Core) giveBack(now types.Instant) {
	for i := range c.spans {
		s := &c.spans[i]
		same := s.next.Target == c.table.Ranges[i].Owner.Target
		switch {
		case s.phase == held:
		case same:
			s.phase = refencing
		case !s.forced && s.granted && c.mayHold(c.table.Ranges[i].Owner):
			// The owner may have released it.
			s.phase, s.granted, s.renewAt = held, false, now
		case s.phase == committing:
			s.phase = freed
		}
	}
}

// order sends the releases and grants that are due, one batch for each life of a target at a time. Lives may have
// different addresses.
func (c *Core) order(now types.Instant) {
	batches := make(map[Owner][]int)
	var owners []Owner
	for _, i := range c.urgentFirst() {
		owner := c.table.Ranges[i].Owner
		if !c.due(now, i) || c.outstanding[owner] > 0 || (c.suspected(owner) && c.spans[i].phase == held) || len(batches[owner]) >= batchCalls {
			continue
		}
		if len(batches[owner]) == 0 {
			owners = append(owners, owner)
		}
		batches[owner] = append(batches[owner], i)
	}
	for _, o := range owners {
		c.send(now, o, batches[o])
	}
}

// urgentFirst returns the indexes of all ranges, those first whose keys nobody may hold: a renewal can wait for them.
func (c *Core) urgentFirst() []int {
	var urgent, others []int
	for i := range c.spans {
		if c.spans[i].phase == leaving || !c.spans[i].granted {
			urgent = append(urgent, i)
		} else {
			others = append(others, i)
		}
	}
	return append(urgent, others...)
}

// due reports whether the range at index i needs a call to its owner.
func (c *Core) due(now types.Instant, i int) bool {
	s, r := &c.spans[i], &c.table.Ranges[i]
	if s.busy || r.Owner == (Owner{}) || now.Before(s.renewAt) || c.over(r.Owner) {
		return false
	}
	_, known := c.members[r.Owner.Target]
	return s.phase == leaving || (s.phase == held && s.fresh && known)
}

func (c *Core) send(now types.Instant, o Owner, indexes []int) {
	b := Batch{Owner: o}
	hold := c.hold(now)
	for _, i := range indexes {
		s, r := &c.spans[i], &c.table.Ranges[i]
		call := Call{Kind: CallGrant, Owner: r.Owner, From: r.From, To: r.To, Fence: r.Fence, Hold: hold}
		if s.phase == leaving {
			call.Kind = CallRelease
		} else {
			// The calls of a batch follow one another, so that the last may leave after all others have timed out.
			sent := now.Add(c.settings.CallTimeout * batchCalls)
			s.underWayUntil = sent.Add(c.settings.holdBound(hold))
			call.Renewal, call.Connection = s.sent, s.connection
			s.sent = true
			if !s.granted {
				call.Handover = r.Handover
			}
		}
		s.busy = true
		b.Calls = append(b.Calls, call)
	}
	c.outstanding[o]++
	c.actions = append(c.actions, b)
}

// BatchDone tells the core that all calls of a batch have been answered.
func (c *Core) BatchDone(now types.Instant, o Owner) []Action {
	c.actions = nil
	c.outstanding[o]--
	if c.outstanding[o] <= 0 {
		delete(c.outstanding, o)
	}
	return c.advance(now)
}

// finishCall applies the result of one call. The table may have changed since the call was sent.
func (c *Core) finishCall(now types.Instant, m Called) {
	if m.Call.Kind == CallProbe {
		c.probed(now, m)
		return
	}
	if m.Result == CallOther {
		c.ended[m.Call.Owner] = true
	}
	if !c.elected {
		return
	}
	for i := c.table.Index(m.Call.From); i >= 0 && i < len(c.spans) && c.table.Ranges[i].From <= m.Call.To; i++ {
		r := &c.table.Ranges[i]
		if r.Fence != m.Call.Fence || r.Owner != m.Call.Owner {
			continue
		}
		c.spans[i].busy = false
		if m.Call.Kind == CallGrant {
			c.granted(now, i, m)
		} else {
			c.released(now, i, m)
		}
	}
}

func (c *Core) granted(now types.Instant, i int, m Called) {
	s, r := &c.spans[i], &c.table.Ranges[i]
	s.underWayUntil = 0
	switch m.Result {
	case CallDone:
		// The target refuses grants with lower fences from now on. The call arrived before now. It may not shorten a hold.
		s.formerUntil = 0
		s.granted = true
		s.connection = m.Connection
		s.renewAt = now.Add(c.settings.RenewEvery)
		s.confirmedUntil = max(s.confirmedUntil, now.Add(lasts(m.Call.Hold)))
	case CallUnanswered:
		s.connection = 0
		s.unansweredUntil = max(s.unansweredUntil, now.Add(c.settings.holdBound(m.Call.Hold)))
		s.renewAt = now.Add(retryCall)
		c.suspect(now, r.Owner)
	case CallReconnect:
		c.refence(r.Owner)
	case CallFenced:
		// Another keeper has given the keys away: the table in the store is newer than this one.
		c.uncertain = true
		s.fenced = true
		s.renewAt = now.Add(c.settings.RenewEvery)
	default:
		s.renewAt = now.Add(retryCall)
	}
}

// refence gives all ranges of an owner to it anew, with higher fences.
func (c *Core) refence(o Owner) {
	for s := range c.heldBy(o) {
		s.phase, s.next = refencing, o
	}
}

// heldBy returns the states of the ranges that stay with an owner.
func (c *Core) heldBy(o Owner) iter.Seq[*span] {
	return func(yield func(*span) bool) {
		for i := range c.spans {
			if s := &c.spans[i]; s.phase == held && c.table.Ranges[i].Owner == o && !yield(s) {
				return
			}
		}
	}
}

// refenceInherited gives the ranges of an earlier term new fences, because nothing is known of the lives of their owners
// since their last grant.
func (c *Core) refenceInherited() {
	for i := range c.spans {
		s := &c.spans[i]
		owner := c.table.Ranges[i].Owner
		if s.phase != held || s.fresh || c.ended[owner] {
			continue
		}
		if _, known := c.members[owner.Target]; known {
			s.phase, s.next = refencing, owner
		}
	}
}

// released ends the former owner's hold, except for grants without an answer that may still be applied.
func (c *Core) released(now types.Instant, i int, m Called) {
	s := &c.spans[i]
	if s.phase == held {
		// The range has been given back while its release was under way.
		s.renewAt = now
		return
	}
	if m.Result != CallDone {
		s.renewAt = now.Add(retryCall)
		return
	}
	c.table.Ranges[i].Handover = m.Handover
	s.confirmedUntil = 0
	s.renewAt = s.doubtUntil()
}

// renewed is the state of a range after the commit of its next owner. If that is the same target, its former grants still
// count.
func (s span) renewed(now types.Instant, same bool) span {
	n := span{fresh: true, renewAt: now, restUntil: now.Add(moveRest)}
	if same {
		n.confirmedUntil, n.formerUntil, n.restUntil = s.confirmedUntil, s.doubtUntil(), s.restUntil
	}
	return n
}
