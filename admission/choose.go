package admission

import (
	"slices"
	"time"

	"sequoiasail.example/types"
)

// choose returns the target for a request, or the code to refuse it with. Neither means that the request waits.
func (c *Core) choose(now types.Instant, f *flight) (*target, types.Code) {
	if f.service.Keyed {
		return c.chooseOwner(now, f)
	}
	return c.chooseAny(now, f)
}

// chooseAny returns the target that is expected to answer first.
func (c *Core) chooseAny(now types.Instant, f *flight) (*target, types.Code) {
	var best *target
	var bestTime time.Duration
	usable := false
	for _, t := range f.service.targets {
		if t.closingAt != 0 || now.Before(t.unreachable) {
			continue
		}
		usable = true
		if !c.admits(now, t, t.Slots+depthBeyondSlots) || slices.Contains(f.tried, t.Target) {
			continue
		}
		e := t.expected(now) + c.distance(t)
		// Equal targets are tried in random order, so that VMs that know the same do not all choose the same.
		e += time.Duration(c.random.Int64N(int64(e/20) + 1))
		if best == nil || e < bestTime {
			best, bestTime = t, e
		}
	}
	if best != nil {
		return best, ""
	}
	if usable && c.hopeless(now, f, nil) {
		return nil, types.CodeOverloaded
	}
	return nil, c.waitOrRefuse(now, f, usable)
}

// chooseOwner returns the owner of the request's key.
func (c *Core) chooseOwner(now types.Instant, f *flight) (*target, types.Code) {
	s := f.service
	if !f.keyed {
		return nil, types.CodeMissingKey
	}
	i := s.owners.Index(f.key)
	if i < 0 {
		return nil, types.CodeNoOwner
	}
	owner := s.owners.Ranges[i].Owner
	t := c.targets[owner.Target]
	if now.Before(f.waitUntil) || s.moves(now, f.key) {
		return nil, c.waitOrRefuse(now, f, true)
	}
	if t == nil || t.Life != owner.Life || t.gone(now) {
		return nil, c.waitOrRefuse(now, f, now.Sub(f.arrived) < ownerWait)
	}
	if c.admits(now, t, depth(now, f, t)) && !c.yields(now, f, t) {
		return t, ""
	}
	if c.hopeless(now, f, t) {
		return nil, types.CodeOverloaded
	}
	return nil, c.waitOrRefuse(now, f, true)
}

// hopeless reports whether a request that would have to wait could not be answered within its objective or shortly after,
// judging by how many wait before it and at what rate they are served. Its caller is told at once and may come again,
// rather than being kept to the end. t is the owner of the request's key, nil when any target will do.
func (c *Core) hopeless(now types.Instant, f *flight, t *target) bool {
	if f.waiting || f.attempts > 0 {
		return false
	}
	var rate float64
	var ahead int
	if t == nil {
		rate, ahead = c.rates(now, f)
	} else {
		rate, ahead = c.ownerRates(now, f, t)
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	limit := f.route.LatencyObjective + time.Duration(latePatience*float64(f.deadline.Sub(f.arrived)-f.route.LatencyObjective))
	return now.Add(wait+f.service.usual()).Sub(f.arrived) > max(limit, 2*f.service.usual())
}

// rates returns the requests a second that this VM sends to all targets of a service, and the number that wait for them.
func (c *Core) rates(now types.Instant, f *flight) (rate float64, ahead int) {
	for _, o := range f.service.targets {
		share := float64(o.Slots) / o.expectedIdle().Seconds() / float64(len(c.neighbours)+1)
		rate += max(float64(o.mine.count(now))/coldWindow.Seconds(), share/float64(max(c.settings.DataCentres, 1)))
	}
	return max(rate, leastRate), len(f.service.waiting)
}

// ownerRates returns the requests a second that the owner of a key serves for all VMs, and the number that wait for it at
// all of them, if those of the other data centres keep as many as those of this one, and beyond its slots at the owner. What
// one VM of many sends to an owner is too little to tell what the owner can do.
func (c *Core) ownerRates(now types.Instant, f *flight, t *target) (rate float64, ahead int) {
	waiting := t.peersWaiting
	for _, w := range f.service.waiting {
		if f.service.ownerOf(w.key) == t.Target {
			waiting++
		}
	}
	queued := max(0, int(t.load(now))-t.Slots)
	return max(float64(t.Slots)/t.expectedIdle().Seconds(), leastRate), waiting*max(c.settings.DataCentres, 1) + queued
}

// leastRate is the rate in requests a second that is assumed at least.
const leastRate = 0.2

// depth is the number of requests at the owner of its key up to which a request is sent: as many as the owner gets through
// within the request's objective, because nobody else can serve it.
func depth(now types.Instant, f *flight, t *target) int {
	if f.route.Priority == 0 {
		return t.Slots * urgentDepth
	}
	left := f.arrived.Add(f.route.LatencyObjective).Sub(now)
	queue := int(float64(t.Slots) * (left.Seconds()/t.expectedIdle().Seconds() - 1))
	return t.Slots + min(max(queue, depthBeyondSlots), t.Slots*(ownerDepth-1))
}

// yields reports whether a request that can't be answered within its objective any more should leave the slots of a busy
// target to requests that can.
func (c *Core) yields(now types.Instant, f *flight, t *target) bool {
	late := f.arrived.Add(f.route.LatencyObjective).Before(now.Add(t.expected(now)))
	return late && t.load(now) >= float64(t.Slots)
}

// ownerWait is how long a request waits for an owner of its key when none is known.
const ownerWait = 200 * time.Millisecond

// gone reports whether an owner of keys may get no more requests because it leaves.
func (t *target) gone(now types.Instant) bool {
	if now.Before(t.unreachable) {
		return true
	}
	if t.closingAt == 0 {
		return false
	}
	limit := keyedEvacuation
	if t.Draining {
		limit = keyedDrain
	}
	return now.Sub(t.closingAt) > limit
}

// admits reports whether a target has room for one more request, and may have it now if it is cold.
func (c *Core) admits(now types.Instant, t *target, depth int) bool {
	if t.load(now) >= float64(depth) || t.own >= c.connections(t) {
		return false
	}
	if !now.Before(t.ColdUntil) {
		return true
	}
	s := c.services[t.Service]
	if s == nil || (!s.Keyed && !c.warms(t)) || now.Before(c.startedAt.Add(coldIntroduction)) {
		return false
	}
	return t.recent.count(now) < c.coldAllowance(now, s)
}

// connections is this VM's share of the connections that a target accepts.
func (c *Core) connections(t *target) int {
	s := c.services[t.Service]
	if s == nil {
		return 0
	}
	return max(1, (s.MaxConnections-reservedConnections)/(c.fleetSize()+1))
}

// reservedConnections are left for grants, releases and connections that are being replaced.
const reservedConnections = 6

// distance is the extra time of a target in another data centre.
func (c *Core) distance(t *target) time.Duration {
	if string(t.DataCentre) == c.settings.DataCentre {
		return 0
	}
	return c.settings.RemotePenalty
}

// waitOrRefuse lets a request wait while it can still be answered in time and a target may become free.
func (c *Core) waitOrRefuse(now types.Instant, f *flight, usable bool) types.Code {
	if !usable {
		return types.CodeNoOwner
	}
	if !now.Before(f.deadline.Add(-f.service.usual() / 2)) {
		return types.CodeOverloaded
	}
	return ""
}
