package dispatch

import "time"

// expiryRetry is the delay before an expired entry of a request in progress is looked at again.
const expiryRetry = time.Minute

// copyStored takes over an entry from another dispatcher. A request in progress here knows better than any copy.
func (c *Core) copyStored(h Handle, copied *Entry) {
	s, known := c.serviceByID[copied.Service]
	if !known {
		c.forget(h)
		return
	}
	key := entryKey{s, copied.Caller, copied.ID}
	n, found := c.memory.byID[key]
	switch {
	case found:
		c.updateCopy(n, h, copied)
	case copied.State == EntryNotRun || c.memory.full():
		c.forget(h)
	default:
		c.addCopy(key, h, copied)
	}
}

func (c *Core) addCopy(key entryKey, h Handle, copied *Entry) {
	kept := c.services[key.service].classes[copied.Class].remember
	e := entry{
		key: key, fingerprint: copied.Fingerprint, class: copied.Class, state: copied.State,
		target: copied.Target, keyHash: copied.Key, request: none, resends: none,
	}
	if copied.State == EntryAnswered {
		e.handle = h
	} else {
		c.forget(h)
	}
	c.memory.add(e, c.now.Add(kept+(clockToleranceMs+clockSkewMs)*time.Millisecond))
}

// updateCopy applies a later state of an entry. Copies may arrive out of order, so an answer is never given up.
func (c *Core) updateCopy(n int32, h Handle, copied *Entry) {
	e := c.memory.entries.at(n)
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
		// An unknown entry is of a later send, which this late copy says nothing about.
		if e.state == EntrySent {
			c.memory.remove(n)
		}
	}
	c.forget(h)
}

// forget lets the process drop what it keeps under h, if anything.
func (c *Core) forget(h Handle) {
	if h != 0 {
		c.emit(Action{Kind: ActionForget, Handle: h})
	}
}

// forgetExpired removes entries whose time is over.
func (c *Core) forgetExpired() {
	for {
		n, due := c.memory.timers.due(c.now)
		if !due {
			return
		}
		e := c.memory.entries.at(n)
		if e.request != none {
			c.memory.timers.set(n, c.now.Add(expiryRetry))
			continue
		}
		c.forget(e.handle)
		c.memory.remove(n)
	}
}
