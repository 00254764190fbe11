package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// maxSuspects bounds the number of fingerprints. A death is counted against at most maxBrokenRequests of them, so this
	// covers at least 64 deaths.
	maxSuspects = 1024
	// quarantineAge is how long a fingerprint stays suspected or quarantined.
	quarantineAge = 10 * time.Minute
	// quarantineDeaths is the number of deaths after which a fingerprint is refused.
	quarantineDeaths = 2
	// deathWindow is the longest time between the break of a request and the evidence that its target died. A death is not
	// counted against requests that broke at another time.
	deathWindow = 2 * time.Second
	// maxBrokenRequests bounds the requests kept per target that broke since its last answer. It covers the slots (2 or 4)
	// and the probes within deathWindow (9, by the reconnect backoff).
	maxBrokenRequests = 16
)

// brokenRequest is a request whose connection broke after bytes were written.
type brokenRequest struct {
	fingerprint Fingerprint
	at          types.Instant
}

// suspectKey identifies a suspect by its service and fingerprint.
type suspectKey struct {
	service     int32
	fingerprint Fingerprint
}

// suspect is the fingerprint of a request that was in flight at the death of a target. An answer to any request with the
// fingerprint clears it, so a frequent harmless request is not quarantined.
type suspect struct {
	deaths uint8
	last   types.Instant // time of the last death
	// deathTarget and deathAt identify the last death that this dispatcher counted. countedBy is the last peer that
	// announced a death.
	deathTarget int32
	deathAt     types.Instant
	countedBy   types.VM
	position    int // in suspects.order
}

// suspects is a bounded table of suspect fingerprints. A new one replaces the oldest.
type suspects struct {
	byKey map[suspectKey]suspect
	order []suspectKey // ring buffer in the order of addition
	next  int          // position in order that is overwritten next
}

func newSuspects() suspects {
	return suspects{byKey: make(map[suspectKey]suspect, maxSuspects), order: make([]suspectKey, maxSuspects)}
}

// quarantined reports whether requests with the fingerprint are refused. Fingerprint 0 means none.
func (s *suspects) quarantined(service int32, f Fingerprint, now types.Instant) bool {
	if len(s.byKey) == 0 || f == 0 {
		return false
	}
	v, found := s.byKey[suspectKey{service, f}]
	return found && v.deaths >= quarantineDeaths && now.Sub(v.last) < quarantineAge
}

// remove clears a fingerprint, because a request with it was answered.
func (s *suspects) remove(service int32, f Fingerprint) {
	if len(s.byKey) > 0 {
		delete(s.byKey, suspectKey{service, f})
	}
}

// get returns the record of a fingerprint, or a new one when it is unknown or too old.
func (s *suspects) get(k suspectKey, now types.Instant) suspect {
	v, found := s.byKey[k]
	if found && now.Sub(v.last) < quarantineAge {
		return v
	}
	if found {
		return suspect{position: v.position, deathTarget: none}
	}
	old := s.order[s.next]
	if o, kept := s.byKey[old]; kept && o.position == s.next {
		delete(s.byKey, old)
	}
	v = suspect{position: s.next, deathTarget: none}
	s.order[s.next] = k
	s.next = (s.next + 1) % len(s.order)
	return v
}

// countTargetDeath counts the death of t against the requests that broke within deathWindow before it.
func (c *Core) countTargetDeath(t *target) {
	if !t.alive {
		return
	}
	t.alive = false
	t.lastDeath = c.now
	for _, b := range t.brokenRequests {
		if c.now.Sub(b.at) < deathWindow {
			c.countDeath(t, b.fingerprint)
		}
	}
	t.brokenRequests = t.brokenRequests[:0]
	c.emit(Action{Kind: ActionDecision, Target: t.id, Epoch: t.lease.Epoch, Reason: ReasonTargetDied})
}

// recordBroken records that request r broke. If it was in flight at a death that is known already, that death is counted
// against it at once.
func (c *Core) recordBroken(t *target, r *request) {
	if !t.alive && r.sentAt <= t.lastDeath && c.now.Sub(t.lastDeath) < deathWindow {
		c.countDeath(t, r.Fingerprint)
		return
	}
	t.alive = true // it accepted a connection since the last death
	if len(t.brokenRequests) == maxBrokenRequests {
		copy(t.brokenRequests, t.brokenRequests[1:])
		t.brokenRequests = t.brokenRequests[:maxBrokenRequests-1]
	}
	t.brokenRequests = append(t.brokenRequests, brokenRequest{r.Fingerprint, c.now})
}

// clearBroken drops the broken requests when the same incarnation has answered a request that was sent after they broke,
// so they did not crash it.
func (t *target) clearBroken(sentAt types.Instant) {
	if n := len(t.brokenRequests); n > 0 && t.brokenRequests[n-1].at <= sentAt {
		t.brokenRequests = t.brokenRequests[:0]
	}
}

// countDeath counts the last death of t against a fingerprint, once.
func (c *Core) countDeath(t *target, f Fingerprint) {
	if f == 0 {
		return
	}
	k := suspectKey{t.service.index, f}
	v := c.suspects.get(k, c.now)
	if v.deathTarget == t.index && v.deathAt == t.lastDeath {
		return
	}
	v.deaths = min(v.deaths+1, quarantineDeaths)
	v.last = c.now
	v.deathTarget, v.deathAt = t.index, t.lastDeath
	c.suspects.byKey[k] = v
	c.emit(Action{Kind: ActionAnnounceQuarantine, Quarantine: Quarantine{
		From: c.vm, Service: t.service.name, Fingerprint: f, Deaths: v.deaths,
	}})
}

// applyQuarantine applies a peer's announcement. A target has one dispatcher, so a first death that a peer counted was
// not counted here. A repeated announcement of a first death by the same peer counts once.
func (c *Core) applyQuarantine(q *Quarantine) {
	s, known := c.serviceByID[q.Service]
	last := c.now.Add(-time.Duration(max(q.AgeMs, 0)) * time.Millisecond)
	if !known || q.From == c.vm || q.Fingerprint == 0 || q.Deaths == 0 || c.now.Sub(last) >= quarantineAge {
		return
	}
	k := suspectKey{s, q.Fingerprint}
	v := c.suspects.get(k, c.now)
	switch {
	case q.Deaths >= quarantineDeaths:
		v.deaths = quarantineDeaths
	case v.countedBy != q.From:
		v.deaths = min(v.deaths+1, quarantineDeaths)
	}
	v.countedBy = q.From
	v.last = max(v.last, last)
	c.suspects.byKey[k] = v
}
