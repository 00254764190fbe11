package keyspace

import "sequoiasail.example/types"

// A store that comes back from an older snapshot begins an era, see types.Era. It has lost the writes since the snapshot, also
// owner tables and the role of the coordinator, while the grants at the targets hold on. What follows for a core:
//
//   - The term ends. A core that knows all grants at this moment retains its table, with the state of each range. If its VM is
//     elected again soon, it goes on from there and writes its table over that of the store.
//   - A table is one of the present era if its NextFence is at least Era.FirstEpoch. Nobody writes such a table before all grants
//     of earlier eras have expired or without knowing them, so it is adopted as in a store without eras. Any other table may be
//     older than the grants, also if it was written in this era by a late write of an earlier one.
//   - A core that finds an older table and doesn't know the grants waits until all have expired, and then starts from the newest
//     copy of the table that it has been offered.

// eraState is the part of a Core that concerns the era of the store.
type eraState struct {
	number types.Era
	// knownFrom is when no coordinator before the present term can act any more, so that this core knows all grants.
	knownFrom types.Instant
	// retained is true while this core knows all grants and no table of the present era has been committed or adopted: from the
	// beginning of the era, or from the end of all earlier grants. retainedAt is when that was, and retainedTerm the end of the
	// term at that time.
	retained     bool
	retainedAt   types.Instant
	retainedTerm types.Instant
	// rewrite is true if the stored table is of an earlier era and has to be replaced by this core's.
	rewrite bool
	// fenceFloor is higher than all fencing tokens assigned in earlier eras.
	fenceFloor types.Epoch
	// newest is the copy of the table with the highest NextFence that was offered.
	newest Table
}

// offer takes a copy of the table, of which the newest is kept.
func (e *eraState) offer(t Table) {
	if e.number > 0 && t.NextFence > e.newest.NextFence && t.Validate() == nil {
		e.newest = t
	}
}

// beginEra ends the term if the store has begun a later era. Results of reads and commits of the era before are dropped: what they
// say is lost, or not known to be kept.
func (c *Core) beginEra(now types.Instant, era types.Era) {
	if era <= c.era.number {
		return
	}
	switch {
	case c.era.retained:
		// No table of the era that ends was written. The coordinators of that era wait for longer than a term.
		c.era.retained = now.Before(max(c.era.retainedTerm, c.termUntil))
	default:
		c.era.retained = c.elected && c.tableLoaded && now.Before(c.termUntil) && !now.Before(c.era.knownFrom)
		c.era.retainedAt, c.era.retainedTerm = now, c.termUntil
	}
	c.era.number, c.era.rewrite = era, false
	c.termUntil = 0
	c.loadInFlight = 0
	c.abandonCommit()
	if !c.era.retained {
		c.endTerm()
	}
}

// mayContinue reports whether a core that begins a term may go on from the table that it has retained. No other coordinator can have
// sent grants since: one that doesn't know the grants of the era before waits for longer than LongGrantTTL.
func (c *Core) mayContinue(now types.Instant) bool {
	return c.era.retained && now.Before(c.era.retainedAt.Add(c.settings.LongGrantTTL))
}

// adoptOlderTable handles a stored table that is of an earlier era, damaged or missing. A core that knows all grants replaces it by its
// own table.
func (c *Core) adoptOlderTable(now types.Instant, stored Table, fenceFloor types.Epoch) {
	if !c.elected {
		return
	}
	c.era.fenceFloor = max(fenceFloor, c.era.number.FirstEpoch())
	overwritten := len(stored.Ranges) > 0 && c.tableLoaded && c.table.NextFence >= c.era.number.FirstEpoch() && !now.Before(c.era.knownFrom)
	if c.era.retained || overwritten {
		c.tableLoaded, c.tableUncertain, c.replaceAt = true, false, 0
		if c.era.rewrite = len(c.table.Ranges) > 0; !c.era.rewrite {
			c.table.NextFence = max(c.table.NextFence, c.era.fenceFloor)
		}
		for i := range c.states {
			c.states[i].afterReload(c.table.Ranges[i])
		}
		return
	}
	c.era.retained = false
	c.era.offer(stored)
	c.era.offer(c.table)
	c.replaceDamagedTable(now, c.era.fenceFloor)
}

// grantsExpired returns when all grants of earlier coordinators have expired. The terms of those of earlier eras end before
// movesAllowedAt as well: a term ends at most Term after the store has answered for the last time in its era.
func (c *Core) grantsExpired(now types.Instant) types.Instant {
	lastSent := max(now, c.movesAllowedAt)
	if len(c.batchesInFlight) > 0 {
		lastSent = max(lastSent, c.batchesSentBefore(now))
	}
	return lastSent.Add(c.settings.maxHoldAfterSending(c.settings.LongGrantTTL))
}

// startFromNewest makes the newest known copy the table of a core that has waited for the end of all grants. Its owners get their
// keys with new fencing tokens. Without a copy, or in a store without eras, the core creates a table.
func (c *Core) startFromNewest(now types.Instant) {
	if c.era.number == 0 {
		return
	}
	c.era.retained, c.era.retainedAt, c.era.retainedTerm = true, now, c.termUntil
	if len(c.era.newest.Ranges) == 0 {
		return
	}
	next := c.table.NextFence
	c.table = c.era.newest.Clone()
	c.table.NextFence = max(next, c.table.NextFence)
	c.era.newest = Table{}
	c.states = make([]rangeState, len(c.table.Ranges))
	for i := range c.states {
		// The warm-up data may be of an earlier move.
		c.table.Ranges[i].Handover = ""
		c.states[i].renewAt = now
	}
	c.era.rewrite = true
}

// rewriteTable commits the table as a table of the present era, before any new owners.
func (c *Core) rewriteTable(now types.Instant) {
	c.era.rewrite = false
	t := c.table.Clone()
	t.NextFence = max(t.NextFence, c.era.fenceFloor)
	c.nextCommitAt = now.Add(commitInterval)
	c.submitTable(now, t)
}
