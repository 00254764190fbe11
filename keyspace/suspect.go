package keyspace

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// silentTime is how long a target must have left calls unanswered before its keys are given to others. Their grants end
// by themselves; another renewal without an answer would only put that off.
const silentTime = time.Second

// suspicion is what is known of an owner that has left a call unanswered. It gets no grants until it answers a probe.
type suspicion struct {
	since   types.Instant
	probeAt types.Instant
	// silent is true after silentTime.
	silent bool
}

// suspect notes that an owner has not answered a grant.
func (c *Core) suspect(now types.Instant, o Owner) {
	if _, ok := c.suspects[o]; !ok {
		c.suspects[o] = suspicion{since: now, probeAt: now}
	}
}

func (c *Core) suspected(o Owner) bool {
	_, ok := c.suspects[o]
	return ok
}

func (c *Core) silent(o Owner) bool { return c.suspects[o].silent }

// Limits of the probes to suspects. Each one without an answer keeps an orderer busy for CallTimeout; when a data centre goes
// silent, the renewals for all others must not wait for them.
const (
	// mostProbes is the number of suspects that are probed at once.
	mostProbes = 8
	// suspectInterval is the time between two probes of one suspect.
	suspectInterval = 600 * time.Millisecond
)

// probeSuspects asks the owners under suspicion for a sign of life, those that have waited longest first.
func (c *Core) probeSuspects(now types.Instant) {
	probed := 0
	for o := range c.suspects {
		if c.outstanding[o] > 0 {
			probed++
		}
	}
	byTurn := func(a, b Owner) int {
		return cmp.Or(cmp.Compare(c.suspects[a].probeAt, c.suspects[b].probeAt), compareOwners(a, b))
	}
	for _, o := range slices.SortedFunc(maps.Keys(c.suspects), byTurn) {
		s := c.suspects[o]
		if m, ok := c.members[o.Target]; !ok || m.Owner != o || c.ended[o] {
			delete(c.suspects, o)
			continue
		}
		s.silent = s.silent || now.Sub(s.since) >= silentTime
		if !now.Before(s.probeAt) && c.outstanding[o] == 0 && probed < mostProbes {
			probed++
			s.probeAt = now.Add(suspectInterval)
			c.ask(o)
		}
		c.suspects[o] = s
	}
}

// probed takes the answer to a probe. One ends the suspicion: the grants of the owner are renewed at once.
func (c *Core) probed(now types.Instant, m Called) {
	o := m.Call.Owner
	c.observe(now, Observed{Target: o.Target, Slowness: m.Slowness})
	if m.Result != CallDone || !c.suspected(o) {
		return
	}
	delete(c.suspects, o)
	for s := range c.heldBy(o) {
		s.renewAt = now
	}
}

// ask sends a probe.
func (c *Core) ask(o Owner) {
	c.outstanding[o]++
	c.actions = append(c.actions, Batch{Owner: o, Calls: []Call{{Kind: CallProbe, Owner: o, Path: c.healthPath}}})
}
