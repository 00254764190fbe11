package dispatch

import "time"

// inProgressRecheck is how long an expired entry whose request is still in progress is kept before the next check.
const inProgressRecheck = time.Minute

// applyCopy stores an entry received from another dispatcher. It never changes the entry of a request in progress here,
// which is newer than any copy.
func (c *Core) applyCopy(h Handle, copied *Entry) {
	s, known := c.serviceByID[copied.Service]
	if !known {
		c.forget(h)
		return
	}
	key := dedupKey{s, copied.Caller, copied.ID}
	n, found := c.dedupTable.byID[key]
	switch {
	case found:
		c.updateCopy(n, h, copied)
	case copied.State == EntryNotRun || c.dedupTable.full():
		c.forget(h)
	default:
		c.addCopy(key, h, copied)
	}
}

// addCopy adds an entry received from another dispatcher to the table.
func (c *Core) addCopy(key dedupKey, h Handle, copied *Entry) {
	lifetime := c.services[key.service].classes[copied.Class].dedupWindow
	e := dedupEntry{
		key: key, fingerprint: copied.Fingerprint, class: copied.Class, state: copied.State,
		target: copied.Target, keyHash: copied.Key, request: none, resends: none,
	}
	if copied.State == EntryAnswered {
		e.handle = h
	} else {
		c.forget(h)
	}
	c.dedupTable.add(e, c.now.Add(lifetime+(clockToleranceMs+clockSkewMs)*time.Millisecond))
}

// updateCopy applies another state of a known entry. Copies may arrive out of order, so a stored answer is never
// replaced.
func (c *Core) updateCopy(n int32, h Handle, copied *Entry) {
	e := c.dedupTable.entries.at(n)
	if e.request != none || e.state == EntryAnswered || e.fingerprint != copied.Fingerprint {
		c.forget(h)
		return
	}
	switch copied.State {
	case EntryAnswered:
		e.state, e.handle = EntryAnswered, h
		return
	case EntryUnknown:
		e.state = EntryUnknown
	case EntryNotRun:
		// State unknown was set by a later send, so a not-run copy that arrives after it must not remove the entry.
		if e.state == EntrySent {
			c.dedupTable.remove(n)
		}
	}
	c.forget(h)
}

// forget makes the process delete the body and the answer stored under h, unless h is 0.
func (c *Core) forget(h Handle) {
	if h != 0 {
		c.emit(Action{Kind: ActionForget, Handle: h})
	}
}

// removeExpired removes expired entries and their answers.
func (c *Core) removeExpired() {
	for {
		n, due := c.dedupTable.timers.due(c.now)
		if !due {
			return
		}
		e := c.dedupTable.entries.at(n)
		if e.request != none {
			c.dedupTable.timers.set(n, c.now.Add(inProgressRecheck))
			continue
		}
		c.forget(e.handle)
		c.dedupTable.remove(n)
	}
}
