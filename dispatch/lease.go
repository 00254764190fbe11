package dispatch

import "sequoiasail.example/types"

// serve takes over a lease or its renewal. A lease with a lower epoch than the present one is of a late message.
func (c *Core) serve(id types.TargetID, l *Lease) {
	t, found := c.lookup(id)
	if !found || l.Epoch < t.lease.Epoch {
		return
	}
	acquired := !t.serving || l.Epoch > t.lease.Epoch
	t.serving = true
	t.lease = *l
	c.noteIncarnation(t, l.Incarnation)
	if acquired {
		t.memorySinceMs = max(t.memorySinceMs, l.WallMs)
		if !l.Warm {
			c.turnCold(t)
		}
	}
	c.pump(t)
}

// stopServing refuses what waits for the target. What is in flight still gets its result.
func (c *Core) stopServing(id types.TargetID) {
	t, found := c.lookup(id)
	if !found || !t.serving {
		return
	}
	t.serving = false
	c.refuseQueued(t)
	c.closeIdle(t, c.now) // the next dispatcher of the target needs its connections
}

// refuseQueued empties the target's queues. Requests that wait for a copy or a retry are refused when that ends.
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
			c.drainChanged(t)
		}
		return
	}
	if t, found := c.lookup(d.Target); found {
		t.draining = !d.Off
		c.drainChanged(t)
	}
}

func (c *Core) drainChanged(t *target) {
	if !c.draining && !t.draining {
		c.report(t, c.present(t))
		c.pump(t)
		return
	}
	c.refuseQueued(t)
	if t.inFlight == 0 && t.serving {
		c.report(t, ConditionDrained)
	}
}

// slotOwned records the owner of a slot or hot key.
func (c *Core) slotOwned(id types.TargetID, s *SlotRow) {
	t, found := c.lookup(id)
	if !found || !t.service.keyed {
		return
	}
	row := slotRow{target: t.index, epoch: s.Epoch, sinceMs: s.MemorySinceMs, owned: true}
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

// slotReleased ends the ownership of a slot or hot key. Requests that wait for it are refused at once, so that the
// gateway can route them to the next owner.
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
		// A target that no longer owns the key's slot knows nothing of the row, which another target may own here.
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

// rowOf returns the row that governs the request's key: a hot key's own row goes before that of its slot.
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

// ownsSlot reports whether t owns the request's key under the epoch that the gateway saw.
func (c *Core) ownsSlot(t *target, r *request) bool {
	if !t.service.keyed {
		return true
	}
	row := c.rowOf(t.service, r)
	return row != nil && row.owned && row.target == t.index && row.epoch == r.SlotEpoch
}

// slotLanded checks, after request r, whether a released slot has become idle.
func (c *Core) slotLanded(t *target, r *request) {
	if t.service.keyed && !c.ownsSlot(t, r) {
		c.reportIfIdle(t, &SlotRow{Slot: r.Slot, Hot: r.HotKey, Key: r.Key, Epoch: r.SlotEpoch})
	}
}

// reportIfIdle reports a slot that t does not own when none of its requests is in flight.
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
