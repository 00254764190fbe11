package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// memoryLimit bounds the deduplication table. At 186 orders a second, 5% of one dispatcher's load at design size,
	// 10 minutes of own and of copied entries are 223,200.
	memoryLimit = 1 << 18
	// initialEntries is the first size of the table.
	initialEntries = 1024
	// copyTimeout bounds the wait for the second dispatcher. Data centres of a region are at most 5 ms apart.
	copyTimeout = 100 * time.Millisecond
	// clockToleranceMs is how far a caller's clock may be ahead. Later identifiers are refused, so this also bounds, at
	// a takeover, how long after it identifiers may still be dated that the former dispatcher has sent.
	clockToleranceMs = 500
	// clockSkewMs is how far the wall clocks of two VMs may differ.
	clockSkewMs = 100
)

// memory is the deduplication table: the identifiers of non-idempotent requests and their answers.
type memory struct {
	entries slab[entry]
	byID    map[entryKey]int32
	timers  timers
}

type entryKey struct {
	service int32
	caller  types.Caller
	id      types.RequestID
}

type entry struct {
	key         entryKey
	target      types.Target
	keyHash     types.KeyHash
	fingerprint Fingerprint
	class       types.Class
	state       EntryState
	// request is the request in progress, or none.
	request int32
	// handle is where the process keeps the answer. 0 when there is none.
	handle Handle
	// resends is the first of the resends that wait for the request in progress.
	resends int32
}

func newMemory() memory {
	return memory{entries: newSlab[entry](initialEntries), byID: make(map[entryKey]int32, initialEntries)}
}

func (m *memory) full() bool { return m.entries.used() >= memoryLimit }

func (m *memory) add(e entry, expires types.Instant) int32 {
	i := m.entries.add(e)
	m.byID[e.key] = i
	m.timers.set(i, expires)
	return i
}

func (m *memory) remove(i int32) {
	delete(m.byID, m.entries.at(i).key)
	m.timers.clear(i)
	m.entries.remove(i)
}

// answerFromMemory replies to a resend, or lets it wait for the first send. It returns false when the table does not
// decide about the request.
func (c *Core) answerFromMemory(i int32) bool {
	r := c.requests.at(i)
	s, known := c.serviceByID[r.Target.Service]
	if !known {
		return false
	}
	n, found := c.memory.byID[entryKey{s, r.Caller, r.ID}]
	if !found {
		return false
	}
	e := c.memory.entries.at(n)
	switch {
	case e.fingerprint != r.Fingerprint:
		c.finish(i, types.OutcomeNotRun, failure{types.CodeRequestIDReused, ReasonIDReused})
	case e.request != none:
		c.join(i, n)
	case e.state == EntryAnswered:
		c.endResend(i, types.OutcomeDone, failure{reason: ReasonRemembered}, e.handle)
	case r.target == none || !c.targets[r.target].serving:
		return false
	default:
		c.finish(i, types.OutcomeUnknown, failure{types.CodeAnswerLost, ReasonRemembered})
	}
	return true
}

// covers reports whether the table holds every request with an identifier as old as r's that may have been sent.
func (c *Core) covers(t *target, r *request) bool {
	if t == nil || !t.serving || !t.atHome(r) {
		return false
	}
	since := t.memorySinceMs
	if !t.service.keyed {
		since = max(since, t.homeSinceMs(r, c.homeLagMs))
	} else {
		row := c.rowOf(t.service, r)
		if row == nil || row.target != t.index {
			return false
		}
		since = max(since, row.sinceMs)
	}
	remembered := t.service.classes[r.Class].remember.Milliseconds()
	return r.MintedMs > since+clockToleranceMs+clockSkewMs && r.MintedMs > r.WallMs-remembered
}

// memoryReset moves the time from which on the table covers the target.
func (c *Core) memoryReset(id types.TargetID, wallMs int64) {
	if t, found := c.lookup(id); found {
		t.memorySinceMs = max(t.memorySinceMs, wallMs)
	}
}

// startCopy remembers request i and asks for a copy at the second dispatcher. The request is sent after that.
func (c *Core) startCopy(i int32) {
	r := c.requests.at(i)
	t := c.targets[r.target]
	kept := t.service.classes[r.Class].remember + (clockToleranceMs+clockSkewMs)*time.Millisecond
	r.entry = c.memory.add(entry{
		key: entryKey{t.service.index, r.Caller, r.ID}, fingerprint: r.Fingerprint, class: r.Class,
		target: r.Target.Target, keyHash: r.Key, request: i, handle: r.handle, resends: none,
	}, c.now.Add(kept))
	r.state = stateCopying
	r.until = c.now.Add(copyTimeout)
	c.copyEntry(r, EntrySent)
	c.schedule(i)
}

func (c *Core) copyEntry(r *request, s EntryState) {
	c.emit(Action{Kind: ActionStoreCopy, Handle: r.handle, Target: r.Target, Entry: Entry{
		Service: r.Target.Service, Target: r.Target.Target, Key: r.Key, Caller: r.Caller, ID: r.ID,
		Fingerprint: r.Fingerprint, Class: r.Class, State: s,
	}})
}

func (c *Core) copyReported(h Handle, stored bool) {
	i, found := c.byHandle[h]
	if !found || c.requests.at(i).state != stateCopying {
		return
	}
	c.copyDone(i, stored)
}

// copyDone makes a request sendable. It is sent without a copy too: a dispatcher that takes over without the entry
// answers unknown, so a missing copy costs the answer but not the rule that the request runs at most once.
func (c *Core) copyDone(i int32, stored bool) {
	if !stored {
		c.decide(c.requests.at(i), failure{reason: ReasonCopyFailed}, types.OutcomeUnknown)
	}
	c.enqueue(i, false)
}

// settle records how request i ended and answers its resends.
func (c *Core) settle(i int32, outcome types.Outcome, f failure) {
	r := c.requests.at(i)
	n := r.entry
	e := c.memory.entries.at(n)
	resend, handle := e.resends, e.handle
	e.request, e.resends = none, none
	switch outcome {
	case types.OutcomeDone:
		e.state = EntryAnswered
	case types.OutcomeNotRun:
		e.state = EntryNotRun
	default:
		e.state = EntryUnknown
	}
	c.copyEntry(r, e.state)
	if e.state != EntryAnswered {
		e.handle = 0
		r.entry = none
	}
	if e.state == EntryNotRun {
		c.memory.remove(n)
	}
	for resend != none {
		next := c.requests.at(resend).next
		c.endResend(resend, outcome, f, handle)
		resend = next
	}
}

// join makes resend i wait for the request of entry n. The request may now be sent until the later deadline.
func (c *Core) join(i, n int32) {
	r, e := c.requests.at(i), c.memory.entries.at(n)
	r.state = stateJoined
	r.entry = n
	r.next = e.resends
	if e.resends != none {
		c.requests.at(e.resends).prev = i
	}
	e.resends = i
	first := c.requests.at(e.request)
	first.runUntil = max(first.runUntil, r.Deadline)
	c.schedule(e.request)
	c.schedule(i)
	c.decide(r, failure{reason: ReasonJoined}, types.OutcomeUnknown)
}

// leaveResends takes resend i out of its entry's list.
func (c *Core) leaveResends(i int32) {
	r := c.requests.at(i)
	if r.prev == none {
		c.memory.entries.at(r.entry).resends = r.next
	} else {
		c.requests.at(r.prev).next = r.next
	}
	if r.next != none {
		c.requests.at(r.next).prev = r.prev
	}
	r.entry = none
}

// endResend replies to resend i with the answer kept under handle, or with a failure.
func (c *Core) endResend(i int32, outcome types.Outcome, f failure, handle Handle) {
	r := c.requests.at(i)
	c.requestTimers.clear(i)
	c.reply(r, outcome, f.code, handle)
	c.decide(r, f, outcome)
	c.emit(Action{Kind: ActionForget, Handle: r.handle})
	delete(c.byHandle, r.handle)
	c.requests.remove(i)
}

func (c *Core) hasResends(r *request) bool {
	return r.entry != none && c.memory.entries.at(r.entry).resends != none
}
