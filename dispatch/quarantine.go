package dispatch

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// suspectLimit bounds the fingerprints kept. A death implicates at most brokenKept, so this covers 64 deaths at least.
	suspectLimit = 1024
	// quarantineAge is how long a fingerprint stays suspected or quarantined.
	quarantineAge = 10 * time.Minute
	// quarantineDeaths is the number of deaths after which a fingerprint is refused.
	quarantineDeaths = 2
	// deathWindow is the time between a broken request and the proof that its target died.
	deathWindow = 2 * time.Second
	// brokenKept is the number of requests kept for each target that broke since its last answer. It covers the slots (2 or
	// 4) and the probes within deathWindow (9, by the reconnect backoff).
	brokenKept = 16
)

// brokenRequest is a request whose connection broke after bytes were written.
type brokenRequest struct {
	fingerprint Fingerprint
	at          types.Instant
}

type suspectKey struct {
	service     int32
	fingerprint Fingerprint
}

// suspect is a fingerprint that was in flight at the death of a target. An answer to any request with the fingerprint
// clears it, so a frequent harmless request is not quarantined.
type suspect struct {
	deaths uint8
	last   types.Instant
	// death identifies the last death counted here, from the peer that counted it.
	deathTarget int32
	deathAt     types.Instant
	from        types.VM
	place       int
}

// suspects is a bounded table. The oldest fingerprint makes room for a new one.
type suspects struct {
	byKey map[suspectKey]suspect
	order []suspectKey
	next  int
}

func newSuspects() suspects {
	return suspects{byKey: make(map[suspectKey]suspect, suspectLimit), order: make([]suspectKey, suspectLimit)}
}

// quarantined reports whether requests with the fingerprint are refused. Fingerprint 0 stands for none.
func (s *suspects) quarantined(service int32, f Fingerprint, now types.Instant) bool {
	if len(s.byKey) == 0 || f == 0 {
		return false
	}
	v, found := s.byKey[suspectKey{service, f}]
	return found && v.deaths >= quarantineDeaths && now.Sub(v.last) < quarantineAge
}

// exonerate clears a fingerprint that was answered.
func (s *suspects) exonerate(service int32, f Fingerprint) {
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
		return suspect{place: v.place, deathTarget: none}
	}
	old := s.order[s.next]
	if o, kept := s.byKey[old]; kept && o.place == s.next {
		delete(s.byKey, old)
	}
	v = suspect{place: s.next, deathTarget: none}
	s.order[s.next] = k
	s.next = (s.next + 1) % len(s.order)
	return v
}

// targetDied counts the death of t against the requests that broke with it.
func (c *Core) targetDied(t *target) {
	if !t.alive {
		return
	}
	t.alive = false
	t.lastDeath = c.now
	for _, b := range t.broken {
		if c.now.Sub(b.at) < deathWindow {
			c.blame(t, b.fingerprint)
		}
	}
	t.broken = t.broken[:0]
	c.emit(Action{Kind: ActionDecision, Target: t.id, Epoch: t.lease.Epoch, Reason: ReasonTargetDied})
}

// brokeInFlight notes that request r broke. If its target's death is known already, r was part of it.
func (c *Core) brokeInFlight(t *target, r *request) {
	if !t.alive && r.sentAt <= t.lastDeath && c.now.Sub(t.lastDeath) < deathWindow {
		c.blame(t, r.Fingerprint)
		return
	}
	t.alive = true // it accepted a connection since the last death
	if len(t.broken) == brokenKept {
		copy(t.broken, t.broken[1:])
		t.broken = t.broken[:brokenKept-1]
	}
	t.broken = append(t.broken, brokenRequest{r.Fingerprint, c.now})
}

// survived notes an answer by the same incarnation to a request sent at sentAt: what broke before did not kill it.
func (t *target) survived(sentAt types.Instant) {
	if n := len(t.broken); n > 0 && t.broken[n-1].at <= sentAt {
		t.broken = t.broken[:0]
	}
}

// blame counts the last death of t against a fingerprint, once.
func (c *Core) blame(t *target, f Fingerprint) {
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

// quarantined takes over an announcement. A target has one dispatcher, so a first death seen by a peer is another one
// than those seen here. A repeated announcement by the same peer counts once.
func (c *Core) quarantined(q *Quarantine) {
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
	case v.from != q.From:
		v.deaths = min(v.deaths+1, quarantineDeaths)
	}
	v.from = q.From
	v.last = max(v.last, last)
	c.suspects.byKey[k] = v
}
