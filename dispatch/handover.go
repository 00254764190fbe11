package dispatch

import "sequoiasail.example/types"

// Remembered is one entry of the deduplication table with the handle of its answer, 0 when there is none.
type Remembered struct {
	Entry  Entry
	Handle Handle
}

// RememberedOf appends the entries of service for which match returns true to out, for the dispatcher that takes
// their target or keys over. Entries of requests in progress are left out: a request that was not sent is refused and
// one that was sent ends before the handover. The order is that of the table, so that it is the same in each run.
func (c *Core) RememberedOf(
	service types.Service, match func(types.Target, types.KeyHash) bool, out []Remembered,
) []Remembered {
	index, known := c.serviceByID[service]
	if !known {
		return out
	}
	for k := range c.memory.entries.items {
		e := &c.memory.entries.items[k]
		key := e.key
		if n, used := c.memory.byID[key]; !used || n != int32(k) {
			continue
		}
		if key.service != index || e.request != none || !match(e.target, e.keyHash) {
			continue
		}
		out = append(out, Remembered{Handle: e.handle, Entry: Entry{
			Service: service, Target: e.target, Key: e.keyHash, Caller: key.caller, ID: key.id,
			Fingerprint: e.fingerprint, Class: e.class, State: e.state,
		}})
	}
	return out
}

// TargetSince returns the wall time, in Unix milliseconds, since which the table covers requests to the target, as far
// as the target's lease goes. ok is false when the target is not known.
func (c *Core) TargetSince(id types.TargetID) (ms int64, ok bool) {
	t, found := c.lookup(id)
	if !found {
		return 0, false
	}
	return t.memorySinceMs, true
}

// MemorySince returns the wall time, in Unix milliseconds, since which the table covers requests for a slot or hot key
// of the target. ok is false when the target did not own the row under its epoch.
func (c *Core) MemorySince(id types.TargetID, row SlotRow) (ms int64, ok bool) {
	t, found := c.lookup(id)
	if !found || !t.service.keyed {
		return 0, false
	}
	own := slotRow{}
	switch {
	case row.Hot:
		own = t.service.hot[row.Key]
	case int(row.Slot) < len(t.service.rows):
		own = t.service.rows[row.Slot]
	}
	if own.target != t.index || own.epoch != row.Epoch {
		return 0, false
	}
	return max(t.memorySinceMs, own.sinceMs), true
}
