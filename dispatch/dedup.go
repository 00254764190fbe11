package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// dedupLimit bounds the deduplication table. At 186 orders a second, 5% of one dispatcher's design load, 10 minutes
	// of own and of copied entries are 223,200.
	dedupLimit = 1 << 18
	// initialEntries is the initial size of the table.
	initialEntries = 1024
	// copyTimeout bounds the wait for the second dispatcher. Data centres of a region are at most 5 ms apart.
	copyTimeout = 100 * time.Millisecond
	// clockToleranceMs is how far a caller's clock may be ahead. Identifiers dated later are refused, so an identifier
	// that the former dispatcher sent before a takeover is dated at most this long after it.
	clockToleranceMs = 500
	// clockSkewMs is how far the wall clocks of two VMs may differ.
	clockSkewMs = 100
)

// dedupTable is the deduplication table: the identifiers of non-idempotent requests and the handles of their answers.
type dedupTable struct {
	entries slab[dedupEntry]
	byID    map[dedupKey]int32
	timers  timers // expiry of the entries
}

// dedupKey identifies an entry: request identifiers are unique per service and caller.
type dedupKey struct {
	service int32
	caller  types.Caller
	id      types.RequestID
}

// dedupEntry is the record of one identifier and of the request that it was first used for.
type dedupEntry struct {
	key         dedupKey
	target      types.Target
	keyHash     types.KeyHash
	fingerprint Fingerprint
	class       types.Class
	state       EntryState
	// request is the request in progress, or none.
	request int32
	// handle is the handle under which the process stores the answer, or 0 when there is none.
	handle Handle
	// resends is the first of the resends that wait for the request in progress.
	resends int32
}

func newDedupTable() dedupTable {
	return dedupTable{entries: newSlab[dedupEntry](initialEntries), byID: make(map[dedupKey]int32, initialEntries)}
}

func (d *dedupTable) full() bool { return d.entries.used() >= dedupLimit }

func (d *dedupTable) add(e dedupEntry, expires types.Instant) int32 {
	i := d.entries.add(e)
	d.byID[e.key] = i
	d.timers.set(i, expires)
	return i
}

func (d *dedupTable) remove(i int32) {
	delete(d.byID, d.entries.at(i).key)
	d.timers.clear(i)
	d.entries.remove(i)
}

// answerFromDedup replies to a resend from the deduplication table, or lets it wait for the request in progress. It
// returns false when admission continues without the table.
func (c *Core) answerFromDedup(i int32) bool {
	r := c.requests.at(i)
	s, known := c.serviceByID[r.Target.Service]
	if !known {
		return false
	}
	n, found := c.dedupTable.byID[dedupKey{s, r.Caller, r.ID}]
	if !found {
		return false
	}
	e := c.dedupTable.entries.at(n)
	switch {
	case e.fingerprint != r.Fingerprint:
		c.finish(i, types.OutcomeNotRun, failure{types.CodeRequestIDReused, ReasonIDReused})
	case e.request != none:
		c.joinRequest(i, n)
	case e.state == EntryAnswered:
		c.endResend(i, types.OutcomeDone, failure{reason: ReasonRemembered}, e.handle)
	case r.target == none || !c.targets[r.target].serving:
		return false
	default:
		c.finish(i, types.OutcomeUnknown, failure{types.CodeAnswerLost, ReasonRemembered})
	}
	return true
}

// covers reports whether the table holds every request with an identifier as old as r's that may have been sent to t.
func (c *Core) covers(t *target, r *request) bool {
	if t == nil || !t.serving || !t.isHome(r) {
		return false
	}
	since := t.coveredSinceMs
	if !t.service.keyed {
		since = max(since, t.homeSince(r, c.homesLagMs))
	} else {
		row := c.rowOf(t.service, r)
		if row == nil || row.target != t.index {
			return false
		}
		since = max(since, row.sinceMs)
	}
	windowMs := t.service.classes[r.Class].dedupWindow.Milliseconds()
	return r.MintedMs > since+clockToleranceMs+clockSkewMs && r.MintedMs > r.WallMs-windowMs
}

// resetCoverage moves the target's coveredSinceMs forward.
func (c *Core) resetCoverage(id types.TargetID, wallMs int64) {
	if t, found := c.lookup(id); found {
		t.coveredSinceMs = max(t.coveredSinceMs, wallMs)
	}
}

// startCopy adds an entry for request i and copies it to the second dispatcher. The request is sent after that.
func (c *Core) startCopy(i int32) {
	r := c.requests.at(i)
	t := c.targets[r.target]
	lifetime := t.service.classes[r.Class].dedupWindow + (clockToleranceMs+clockSkewMs)*time.Millisecond
	r.dedupEntry = c.dedupTable.add(dedupEntry{
		key: dedupKey{t.service.index, r.Caller, r.ID}, fingerprint: r.Fingerprint, class: r.Class,
		target: r.Target.Target, keyHash: r.Key, request: i, handle: r.handle, resends: none,
	}, c.now.Add(lifetime))
	r.state = stateCopying
	r.stateUntil = c.now.Add(copyTimeout)
	c.copyEntry(r, EntrySent)
	c.schedule(i)
}

// copyEntry emits a copy of r's entry with state s to the second dispatcher.
func (c *Core) copyEntry(r *request, s EntryState) {
	c.emit(Action{Kind: ActionStoreCopy, Handle: r.handle, Target: r.Target, Entry: Entry{
		Service: r.Target.Service, Target: r.Target.Target, Key: r.Key, Caller: r.Caller, ID: r.ID,
		Fingerprint: r.Fingerprint, Class: r.Class, State: s,
	}})
}

// handleCopyDone handles MessageCopyDone, unless the copy has timed out or the request has ended.
func (c *Core) handleCopyDone(h Handle, stored bool) {
	i, found := c.byHandle[h]
	if !found || c.requests.at(i).state != stateCopying {
		return
	}
	c.finishCopy(i, stored)
}

// finishCopy queues a request whose copy was stored, failed or timed out. It is sent without a copy too: a dispatcher
// that takes over without the entry answers unknown, so a missing copy may lose the answer but never lets the request
// run twice.
func (c *Core) finishCopy(i int32, stored bool) {
	if !stored {
		c.logDecision(c.requests.at(i), failure{reason: ReasonCopyFailed}, types.OutcomeUnknown)
	}
	c.enqueue(i, false)
}

// recordOutcome updates the entry of request i, which has ended, and replies to its resends.
func (c *Core) recordOutcome(i int32, outcome types.Outcome, f failure) {
	r := c.requests.at(i)
	n := r.dedupEntry
	e := c.dedupTable.entries.at(n)
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
		r.dedupEntry = none
	}
	if e.state == EntryNotRun {
		c.dedupTable.remove(n)
	}
	for resend != none {
		next := c.requests.at(resend).next
		c.endResend(resend, outcome, f, handle)
		resend = next
	}
}

// joinRequest makes resend i wait for the request of entry n, which may now be sent until the later deadline.
func (c *Core) joinRequest(i, n int32) {
	r, e := c.requests.at(i), c.dedupTable.entries.at(n)
	r.state = stateJoined
	r.dedupEntry = n
	r.next = e.resends
	if e.resends != none {
		c.requests.at(e.resends).prev = i
	}
	e.resends = i
	first := c.requests.at(e.request)
	first.runUntil = max(first.runUntil, r.Deadline)
	c.schedule(e.request)
	c.schedule(i)
	c.logDecision(r, failure{reason: ReasonJoined}, types.OutcomeUnknown)
}

// removeResend removes resend i from its entry's list.
func (c *Core) removeResend(i int32) {
	r := c.requests.at(i)
	if r.prev == none {
		c.dedupTable.entries.at(r.dedupEntry).resends = r.next
	} else {
		c.requests.at(r.prev).next = r.next
	}
	if r.next != none {
		c.requests.at(r.next).prev = r.prev
	}
	r.dedupEntry = none
}

// endResend replies to resend i with the answer stored under handle, or with a failure.
func (c *Core) endResend(i int32, outcome types.Outcome, f failure, handle Handle) {
	r := c.requests.at(i)
	c.requestTimers.clear(i)
	c.reply(r, outcome, f.code, handle)
	c.logDecision(r, f, outcome)
	c.emit(Action{Kind: ActionForget, Handle: r.handle})
	delete(c.byHandle, r.handle)
	c.requests.remove(i)
}

func (c *Core) hasResends(r *request) bool {
	return r.dedupEntry != none && c.dedupTable.entries.at(r.dedupEntry).resends != none
}
