package dispatch

import "sequoiasail.example/types"

// EntryWithAnswer is one entry of the deduplication table with the handle of its answer, or 0 when there is none.
type EntryWithAnswer struct {
	Entry  Entry
	Handle Handle
}

// EntriesOf appends the entries of service for which match returns true to out, for the dispatcher that takes over
// their target or keys. Entries of requests in progress are left out: a request that was not sent is refused and one
// that was sent ends before the handover. The order is that of the table, so that it is the same in each run.
func (c *Core) EntriesOf(
	service types.Service, match func(types.Target, types.KeyHash) bool, out []EntryWithAnswer,
) []EntryWithAnswer {
	index, known := c.serviceByID[service]
	if !known {
		return out
	}
	for k := range c.dedupTable.entries.items {
		e := &c.dedupTable.entries.items[k]
		key := e.key
		if n, used := c.dedupTable.byID[key]; !used || n != int32(k) {
			continue
		}
		if key.service != index || e.request != none || !match(e.target, e.keyHash) {
			continue
		}
		out = append(out, EntryWithAnswer{Handle: e.handle, Entry: Entry{
			Service: service, Target: e.target, Key: e.keyHash, Caller: key.caller, ID: key.id,
			Fingerprint: e.fingerprint, Class: e.class, State: e.state,
		}})
	}
	return out
}

// TargetCoveredSince returns the wall time, in Unix milliseconds, since which the table covers requests to the target by
// its lease alone, without regard to slots. ok is false when the target is not known.
func (c *Core) TargetCoveredSince(id types.TargetID) (ms int64, ok bool) {
	t, found := c.lookup(id)
	if !found {
		return 0, false
	}
	return t.coveredSinceMs, true
}

// SlotCoveredSince returns the wall time, in Unix milliseconds, since which the table covers requests for a slot or hot
// key of the target. ok is false when the target did not own the row under its epoch.
func (c *Core) SlotCoveredSince(id types.TargetID, row SlotRow) (ms int64, ok bool) {
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
	return max(t.coveredSinceMs, own.sinceMs), true
}
