package keyspace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// silenceTimeout is how long a target must have left calls unanswered before its keys are assigned to others. Its
// grants then expire by themselves; another unanswered renewal would only delay that.
const silenceTimeout = time.Second

// suspect is the state of an owner that left a call unanswered. The owner gets no renewals until it answers a probe.
type suspect struct {
	// unansweredAt is when the first call without an answer ended.
	unansweredAt types.Instant
	nextProbeAt  types.Instant
	// silent is true once the owner has been a suspect for silenceTimeout.
	silent bool
}

// markSuspect makes an owner that did not answer a grant a suspect.
func (c *Core) markSuspect(now types.Instant, o Owner) {
	if _, ok := c.suspects[o]; !ok {
		c.suspects[o] = suspect{unansweredAt: now, nextProbeAt: now}
	}
}

func (c *Core) isSuspect(o Owner) bool {
	_, ok := c.suspects[o]
	return ok
}

// silent reports whether an owner has been a suspect for silenceTimeout.
func (c *Core) silent(o Owner) bool { return c.suspects[o].silent }

// Limits of the probes to suspects. Each unanswered probe occupies one of the workers that send calls for
// CallTimeout. When a data centre fails silently, the renewals for all other targets must not wait behind such
// probes.
const (
	// maxSuspectProbes is the number of suspects that are probed at once.
	maxSuspectProbes = 8
	// suspectProbeInterval is the time between two probes of one suspect.
	suspectProbeInterval = 600 * time.Millisecond
)

// probeSuspects probes the suspects, those that have waited longest first, and drops suspects that are no longer
// members.
func (c *Core) probeSuspects(now types.Instant) {
	probed := 0
	for o := range c.suspects {
		if c.batchesInFlight[o] > 0 {
			probed++
		}
	}
	byNextProbe := func(a, b Owner) int {
		return cmp.Or(cmp.Compare(c.suspects[a].nextProbeAt, c.suspects[b].nextProbeAt), compareOwners(a, b))
	}
	for _, o := range slices.SortedFunc(maps.Keys(c.suspects), byNextProbe) {
		s := c.suspects[o]
		if m, ok := c.members[o.Target]; !ok || m.Owner != o || c.ended[o] {
			delete(c.suspects, o)
			continue
		}
		s.silent = s.silent || now.Sub(s.unansweredAt) >= silenceTimeout
		if !now.Before(s.nextProbeAt) && c.batchesInFlight[o] == 0 && probed < maxSuspectProbes {
			probed++
			s.nextProbeAt = now.Add(suspectProbeInterval)
			c.sendProbe(o)
		}
		c.suspects[o] = s
	}
}

// applyProbe applies the result of a probe. A suspect that answers is cleared, and its grants are renewed at once.
func (c *Core) applyProbe(now types.Instant, m CallCompleted) {
	o := m.Call.Owner
	c.addSpeedSample(now, SpeedSample{Target: o.Target, Slowness: m.Slowness})
	if m.Result != CallDone || !c.isSuspect(o) {
		return
	}
	delete(c.suspects, o)
	for s := range c.rangesHeldBy(o) {
		s.renewAt = now
	}
}

// sendProbe sends a probe to an owner.
func (c *Core) sendProbe(o Owner) {
	c.batchesInFlight[o]++
	c.actions = append(c.actions, CallBatch{Owner: o, Calls: []Call{{Kind: CallProbe, Owner: o, Path: c.healthPath}}})
}
