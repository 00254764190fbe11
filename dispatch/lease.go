package dispatch

import "sequoiasail.example/types"

// serve applies a lease that was acquired or renewed. A lease with a lower epoch than the present one belongs to a late
// message and is ignored.
func (c *Core) serve(id types.TargetID, l *Lease) {
	t, found := c.lookup(id)
	if !found || l.Epoch < t.lease.Epoch {
		return
	}
	acquired := !t.serving || l.Epoch > t.lease.Epoch
	t.serving = true
	t.lease = *l
	c.updateIncarnation(t, l.Incarnation)
	if acquired {
		t.coveredSinceMs = max(t.coveredSinceMs, l.WallMs)
		if !l.Warm {
			c.startRamp(t)
		}
	}
	c.sendQueued(t)
}

// stopServing refuses the target's queued requests. Requests in flight still get their results.
func (c *Core) stopServing(id types.TargetID) {
	t, found := c.lookup(id)
	if !found || !t.serving {
		return
	}
	t.serving = false
	c.refuseQueued(t)
	c.closeIdle(t, c.now) // the next dispatcher of the target needs its connections
}

// refuseQueued refuses all queued requests of the target. Requests that wait for a copy or a retry are refused when that
// wait ends.
func (c *Core) refuseQueued(t *target) {
	for {
		i := c.pop(t)
		if i == none {
			return
		}
		r := c.requests.at(i)
		f, refused := c.notServed(t, r)
		if !refused {
			f = failure{types.CodeStaleEpoch, ReasonStaleEpoch}
		}
		r.state = stateWaiting
		c.finish(i, r.outcome(), f)
	}
}

// drain starts or ends the drain of a target or of the process.
func (c *Core) drain(d *Drain) {
	if d.Process {
		c.draining = !d.Off
		for _, t := range c.targets {
			c.applyDrain(t)
		}
		return
	}
	if t, found := c.lookup(d.Target); found {
		t.draining = !d.Off
		c.applyDrain(t)
	}
}

// applyDrain refuses the queued requests of a target that now drains, or resumes sending to one that no longer does.
func (c *Core) applyDrain(t *target) {
	if !c.draining && !t.draining {
		c.setCondition(t, c.currentCondition(t))
		c.sendQueued(t)
		return
	}
	c.refuseQueued(t)
	if t.inFlight == 0 && t.serving {
		c.setCondition(t, ConditionDrained)
	}
}

// slotOwned records the owner of a slot or hot key.
func (c *Core) slotOwned(id types.TargetID, s *SlotRow) {
	t, found := c.lookup(id)
	if !found || !t.service.keyed {
		return
	}
	row := slotRow{target: t.index, epoch: s.Epoch, sinceMs: s.CoveredSinceMs, owned: true}
	svc := t.service
	switch {
	case s.Hot:
		if old, known := svc.hot[s.Key]; !known || old.epoch <= s.Epoch {
			svc.hot[s.Key] = row
		}
	case int(s.Slot) < len(svc.rows) && svc.rows[s.Slot].epoch <= s.Epoch:
		svc.rows[s.Slot] = row
	}
}

// slotReleased ends the ownership of a slot or hot key. Its queued requests are refused at once, so that the gateway can
// route them to the next owner.
func (c *Core) slotReleased(id types.TargetID, s *SlotRow) {
	t, found := c.lookup(id)
	if !found || !t.service.keyed {
		return
	}
	c.endOwnership(t, s)
	if t.queued > 0 {
		c.refuseStale(t)
	}
	c.reportIfIdle(t, s)
}

func (c *Core) endOwnership(t *target, s *SlotRow) {
	svc := t.service
	switch {
	case s.Hot && s.Removed:
		// The message may come from a target that no longer owns the key's slot. The row is kept if another target of this
		// dispatcher owns it.
		if row := svc.hot[s.Key]; !row.owned || row.target == t.index {
			delete(svc.hot, s.Key)
		}
	case s.Hot:
		if row, known := svc.hot[s.Key]; known && row.target == t.index && row.epoch <= s.Epoch {
			row.owned = false
			svc.hot[s.Key] = row
		}
	case int(s.Slot) < len(svc.rows):
		if row := &svc.rows[s.Slot]; row.target == t.index && row.epoch <= s.Epoch {
			row.owned = false
		}
	}
}

// refuseStale refuses the target's queued requests whose slot it does not own any more.
func (c *Core) refuseStale(t *target) {
	for k := range c.requests.items {
		i := int32(k)
		r := c.requests.at(i)
		if r.handle == 0 || r.state != stateQueued || r.target != t.index || c.ownsSlot(t, r) {
			continue
		}
		c.finish(i, r.outcome(), failure{types.CodeStaleEpoch, ReasonStaleEpoch})
	}
}

// rowOf returns the row that governs the request's key: a hot key's own row overrides that of its slot.
func (c *Core) rowOf(svc *service, r *request) *slotRow {
	if len(svc.hot) > 0 {
		if row, hot := svc.hot[r.Key]; hot {
			c.hotRow = row
			return &c.hotRow
		}
	}
	if r.HotKey || int(r.Slot) >= len(svc.rows) {
		return nil
	}
	return &svc.rows[r.Slot]
}

// ownsSlot reports whether t owns the request's key under the epoch by which the gateway routed.
func (c *Core) ownsSlot(t *target, r *request) bool {
	if !t.service.keyed {
		return true
	}
	row := c.rowOf(t.service, r)
	return row != nil && row.owned && row.target == t.index && row.epoch == r.SlotEpoch
}

// checkSlotIdle reports the slot of request r, whose attempt has ended, if it is released and now idle.
func (c *Core) checkSlotIdle(t *target, r *request) {
	if t.service.keyed && !c.ownsSlot(t, r) {
		c.reportIfIdle(t, &SlotRow{Slot: r.Slot, Hot: r.HotKey, Key: r.Key, Epoch: r.SlotEpoch})
	}
}

// reportIfIdle emits ActionSlotIdle for a released slot when none of its requests is in flight to t.
func (c *Core) reportIfIdle(t *target, s *SlotRow) {
	for n := range t.connections {
		i := t.connections[n].request
		if i == none {
			continue
		}
		r := c.requests.at(i)
		if r.HotKey == s.Hot && (s.Hot && r.Key == s.Key || !s.Hot && r.Slot == s.Slot) {
			return
		}
	}
	c.emit(Action{Kind: ActionSlotIdle, Target: t.id, Slot: s.Slot, HotKey: s.Hot, Key: s.Key, Epoch: s.Epoch})
}
