package routing

import (
	"time"

	"sequoiasail.example/types"
)

// plan is the outcome of route resolution. code is empty when route can be used.
type plan struct {
	route  route
	reason Reason
	code   types.Code
	// impossible is true when no row change within TakeoverWait is expected to help.
	impossible bool
}

func (c *Core) resolve(now types.Instant, f *flight) plan {
	s := f.service
	switch {
	case s.keyed:
		return c.resolveKey(now, f)
	case !f.request.Idempotent && len(s.homes.Targets()) > 0:
		return c.resolveHome(now, f)
	case f.request.Pinned != "":
		return c.resolvePinned(now, f)
	}
	return c.resolveAny(now, f)
}

// resolveKey follows key, slot or hot-key row, owner and lease row.
func (c *Core) resolveKey(now types.Instant, f *flight) plan {
	s := f.service
	owner, slot, epoch, reason := s.lookup(f.request.Key)
	p := plan{route: route{target: none, vm: none, slot: slot, slotEpoch: epoch}, reason: reason}
	if owner == NoOwner {
		p.code = types.CodeNoOwner
		return p
	}
	return c.via(now, s, int32(owner), p)
}

// resolveHome routes to the home of the request's identifier. The dispatcher of the home remembers the identifier, so
// that a resend through another gateway does not run it again.
func (c *Core) resolveHome(now types.Instant, f *flight) plan {
	s := f.service
	p := plan{route: noRoute, reason: ReasonHome}
	i, ok := s.byName[s.homes.Of(f.request.Caller, f.request.ID)]
	if !ok {
		p.code = types.CodeNoRoute
		return p
	}
	return c.via(now, s, i, p)
}

// resolvePinned routes to the one target that the request names.
func (c *Core) resolvePinned(now types.Instant, f *flight) plan {
	s := f.service
	p := plan{route: noRoute, reason: ReasonPinned}
	i, ok := s.byName[f.request.Pinned]
	if !ok || now >= s.targets[i].outAt {
		p.code = types.CodeNoRoute
		p.impossible = true
		return p
	}
	return c.via(now, s, i, p)
}

// resolveAny chooses a target by two random choices.
func (c *Core) resolveAny(now types.Instant, f *flight) plan {
	s := f.service
	p := plan{route: noRoute, reason: ReasonTwoChoices}
	i := c.choose(now, s, f)
	if i == none {
		p.code = types.CodeNoRoute
		p.impossible = !s.awaited()
		return p
	}
	return c.via(now, s, i, p)
}

// via completes p with the dispatcher of target i.
func (c *Core) via(now types.Instant, s *service, i int32, p plan) plan {
	t := &s.targets[i]
	p.route.target = i
	p.route.leaseEpoch = t.leaseEpoch
	if t.vm == none || now >= t.outAt || now >= c.views.vms[t.vm].outAt {
		p.code = types.CodeNoRoute
		return p
	}
	p.route.vm = t.vm
	return p
}

// awaited reports whether some target is in service and only lacks a reachable dispatcher.
func (s *service) awaited() bool {
	for i := range s.targets {
		if s.targets[i].configured && s.targets[i].outAt == never {
			return true
		}
	}
	return false
}

// remotePenalty multiplies the score of targets in other data centres, because links between data centres cost more
// than usual. A target elsewhere is chosen only if it looks this many times better.
const remotePenalty = 2

// choose compares two random targets of the own data centre and one of the others. It returns none if no target can be
// chosen.
func (c *Core) choose(now types.Instant, s *service, f *flight) int32 {
	r := c.options.Random.Uint64()
	best := c.pick(now, s, f, s.local, uint32(r))
	if best == none {
		return c.chooseRemote(now, s, f, r)
	}
	score := s.score(now, best)
	if i := c.pick(now, s, f, s.local, uint32(r>>32)); i != best {
		if other := s.score(now, i); other < score {
			best, score = i, other
		}
	}
	if i := c.pick(now, s, f, s.remote, uint32(r>>16)); i != none && s.score(now, i)*remotePenalty < score {
		best = i
	}
	return best
}

func (c *Core) chooseRemote(now types.Instant, s *service, f *flight, r uint64) int32 {
	a := c.pick(now, s, f, s.remote, uint32(r))
	if a == none {
		return none
	}
	b := c.pick(now, s, f, s.remote, uint32(r>>32))
	if s.score(now, b) < s.score(now, a) {
		return b
	}
	return a
}

// pick returns the first usable target of list from a random position on, or none.
func (c *Core) pick(now types.Instant, s *service, f *flight, list []int32, random uint32) int32 {
	n := len(list)
	if n == 0 {
		return none
	}
	start := int(uint64(random) * uint64(n) >> 32)
	for k := range n {
		i := list[(start+k)%n]
		if c.usable(now, s, f, i) {
			return i
		}
	}
	return none
}

// usable reports whether a target may be chosen for the request. A target that an attempt of the request is in
// progress at, or that was tried last, is not chosen again.
func (c *Core) usable(now types.Instant, s *service, f *flight, i int32) bool {
	t := &s.targets[i]
	if now < t.ejectedUntil || now >= c.views.vms[t.vm].outAt {
		return false
	}
	if i == f.last.target && len(s.local)+len(s.remote) > 1 {
		return false
	}
	return true
}

// score estimates the time that one more request would take at target i, relative to its weight.
func (s *service) score(now types.Instant, i int32) float64 {
	t := &s.targets[i]
	return float64(t.outstanding+1) * t.latency.estimate(now) / t.weight
}

// Ejection thresholds.
const (
	// ejectFailures is the number of failures in a row after which a target is ejected.
	ejectFailures = 5
	// ejectTime is the duration of a target's first ejection. It doubles with each further one.
	ejectTime = time.Second
	// ejectDoublings bounds the doubling, so that a repaired target is tried again within 32 s.
	ejectDoublings = 5
)

// observe updates the view of a target from the end of one attempt. It reports whether the target is to be ejected.
func (s *service) observe(now types.Instant, i int32, l time.Duration, o types.Outcome) bool {
	t := &s.targets[i]
	t.latency.observe(now, l)
	if o != types.OutcomeUnknown {
		t.failures = 0
		t.ejections = 0
		s.latency.observe(l)
		return false
	}
	t.failures = min(t.failures+1, ejectFailures)
	return t.failures == ejectFailures && now >= t.ejectedUntil
}

// eject stops using a target for a while, unless EjectShare of the targets are ejected already.
func (s *service) eject(now types.Instant, i int32) bool {
	if s.keyed || float64(s.ejected(now)+1) > s.ejectShare*float64(s.listed()) {
		return false
	}
	t := &s.targets[i]
	t.ejectedUntil = now.Add(ejectTime << t.ejections)
	t.ejections = min(t.ejections+1, ejectDoublings)
	t.failures = 0
	return true
}

func (s *service) ejected(now types.Instant) int {
	n := 0
	for i := range s.targets {
		if s.targets[i].configured && now < s.targets[i].ejectedUntil {
			n++
		}
	}
	return n
}

func (s *service) listed() int {
	n := 0
	for i := range s.targets {
		if s.targets[i].configured {
			n++
		}
	}
	return n
}
