package keyspace

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// candidates returns the members that may get keys, ordered by name: the warm ones, or the cold ones if none is warm.
func (c *Core) candidates(now types.Instant) []Member {
	var warm, cold []Member
	for _, m := range c.members {
		switch {
		case !m.Usable || c.isSuspect(m.Owner):
		case now.Before(m.ColdUntil):
			cold = append(cold, m)
		default:
			warm = append(warm, m)
		}
	}
	if len(warm) == 0 {
		warm = cold
	}
	slices.SortFunc(warm, func(a, b Member) int { return cmp.Compare(a.Owner.Target, b.Owner.Target) })
	return warm
}

// targetLoad is a candidate with the load that it is expected to carry.
type targetLoad struct {
	member Member
	// slowness is the expected time of a request at the target, relative to the average.
	slowness float64
	// rate is the expected load in requests a second.
	rate float64
}

// utilization returns the expected busy share of the target's slots.
func (l *targetLoad) utilization(serviceTime time.Duration) float64 {
	return l.rate * serviceTime.Seconds() * l.slowness / float64(max(l.member.Slots, 1))
}

// cost estimates the time of a request at the target, in units of an average request at an idle target. It grows with
// the target's slowness and with its queue as the slots fill up, so that fast targets fill up before slow ones get
// keys.
func (l *targetLoad) cost(serviceTime time.Duration) float64 {
	u := l.utilization(serviceTime)
	return l.slowness * (1 + queueCost*u*u*u)
}

// headroom returns the rate in requests a second that the target can take before it reaches fullUtilization.
func (l *targetLoad) headroom(serviceTime time.Duration) float64 {
	return fullUtilization*float64(max(l.member.Slots, 1))/(serviceTime.Seconds()*l.slowness) - l.rate
}

// plan decides which ranges move: first those of unusable owners, then busy ones to balance load.
func (c *Core) plan(now types.Instant) {
	if now.Before(c.movesAllowedAt) || c.pendingCommit != nil {
		return
	}
	wait := c.detectSpike(now)
	loads := c.targetLoads(now)
	if len(loads) == 0 {
		return
	}
	moving := c.moveFromUnusableOwners(now, loads)
	if !wait && !now.Before(c.nextBalanceAt) && c.balance(now, loads, moving) {
		c.nextBalanceAt = now.Add(balanceInterval)
	}
}

// detectSpike replaces the average rates of ranges with a load spike by their recent rates, one planInterval after
// the first spike is seen. Earlier, the recent rates show only part of the new load, and ranges would be split into
// parts that are too large. It reports whether balancing has to wait for that.
func (c *Core) detectSpike(now types.Instant) bool {
	var spiked []int
	for i, r := range c.table.Ranges {
		if c.keyLoad.detectSpike(r) {
			spiked = append(spiked, i)
		}
	}
	switch {
	case len(spiked) == 0:
		c.spikeSeenAt = 0
		return false
	case c.spikeSeenAt == 0:
		c.spikeSeenAt = now
		return true
	}
	for _, i := range spiked {
		c.keyLoad.adoptRecent(c.table.Ranges[i])
		// The load was underestimated when the range was moved here, so it may move again.
		c.states[i].cooldownUntil = 0
	}
	return false
}

// targetLoads returns the candidates with the load of all ranges that they own or will own after the moves in
// progress.
func (c *Core) targetLoads(now types.Instant) []*targetLoad {
	byTarget := make(map[types.Target]*targetLoad)
	var all []*targetLoad
	for _, m := range c.candidates(now) {
		target := &targetLoad{member: m, slowness: c.slowness(m.Owner)}
		byTarget[m.Owner.Target] = target
		all = append(all, target)
	}
	for i := range c.states {
		if target := byTarget[c.plannedOwner(i).Target]; target != nil {
			target.rate += c.rangeWeight(i)
		}
	}
	return all
}

// plannedOwner returns the owner of the range at index i after its move in progress, if there is one.
func (c *Core) plannedOwner(i int) Owner {
	if c.states[i].phase == phaseHeld {
		return c.table.Ranges[i].Owner
	}
	return c.states[i].nextOwner
}

// rangeWeight returns the weight of the range at index i.
func (c *Core) rangeWeight(i int) float64 { return c.weight(c.table.Ranges[i]) }

// weight returns the load of a range plus a baseline spread evenly over all keys, so that keys without requests so far are
// spread as well.
func (c *Core) weight(r Range) float64 {
	return c.keyLoad.rangeRate(r) + (baselineShare*float64(c.keyLoad.total)+baselineRate)*float64(r.Size())/Keys
}

// moveFromUnusableOwners moves the ranges whose owner is gone, unusable or restarted, and redirects moves towards
// such owners. It returns the number of ranges that are moving.
func (c *Core) moveFromUnusableOwners(now types.Instant, loads []*targetLoad) int {
	moving := 0
	var moved []Range
	for i := range c.states {
		s := &c.states[i]
		if s.phase != phaseHeld {
			moving++
		}
		if s.phase == phaseReleasing && s.forced && c.mayKeep(i) {
			// The owner is usable again before it has released the range.
			s.phase, s.forced, s.renewAt = phaseHeld, false, now
			continue
		}
		if s.phase == phaseCommitting || c.usableOwner(c.plannedOwner(i)) {
			continue
		}
		to := c.lowestCost(loads)
		to.rate += c.rangeWeight(i)
		if s.phase == phaseHeld || s.phase == phaseRefencing {
			moving++
			moved = append(moved, c.table.Ranges[i])
		}
		c.startMove(now, i, to.member.Owner)
		s.forced = true
	}
	c.announceMoves(moved, "owner not usable")
	return moving
}

func (c *Core) lowestCost(loads []*targetLoad) *targetLoad {
	return slices.MinFunc(loads, func(a, b *targetLoad) int { return cmp.Compare(a.cost(c.serviceTime), b.cost(c.serviceTime)) })
}

// highestCost returns the target with the highest cost. If one of two targets is below idleRate, they are compared by
// rate, so that a slow target without load does not rank above a loaded one.
func (c *Core) highestCost(loads []*targetLoad) *targetLoad {
	return slices.MaxFunc(loads, func(a, b *targetLoad) int {
		if a.rate < idleRate || b.rate < idleRate {
			return cmp.Compare(a.rate, b.rate)
		}
		return cmp.Compare(a.cost(c.serviceTime), b.cost(c.serviceTime))
	})
}

// usableOwner reports whether an incarnation of a target is the present one and may have keys. A cold owner keeps the
// keys that it has.
func (c *Core) usableOwner(o Owner) bool {
	m, ok := c.members[o.Target]
	return ok && m.Usable && m.Owner == o && !c.ended[o] && !c.silent(o)
}

// startMove starts the move of a range, or changes the destination of a move in progress.
func (c *Core) startMove(now types.Instant, i int, to Owner) {
	s := &c.states[i]
	s.nextOwner = to
	if s.phase == phaseHeld || s.phase == phaseRefencing {
		s.phase = phaseReleasing
		s.renewAt = now
	}
}

// announceMoves reports ranges that start to move to the other VMs.
func (c *Core) announceMoves(moved []Range, reason string) {
	if len(moved) > 0 {
		c.actions = append(c.actions, KeysMoving{Ranges: moved, Reason: reason})
	}
}

// repeatAnnouncements reports the ranges that still move. Their former owners may refuse requests until the move ends, which
// takes as long as the work that runs on the keys or, if an owner is silent, as long as its grants.
func (c *Core) repeatAnnouncements(now types.Instant) {
	if now.Before(c.nextAnnouncementAt) {
		return
	}
	c.nextAnnouncementAt = now.Add(announceInterval)
	var moving []Range
	for i := range c.states {
		s := &c.states[i]
		if s.phase != phaseHeld && s.nextOwner != c.table.Ranges[i].Owner {
			moving = append(moving, c.table.Ranges[i])
		}
	}
	if len(moving) > 0 {
		c.actions = append(c.actions, KeysMoving{Ranges: moving, Repeated: true})
	}
}

// balance moves the busiest ranges of the targets with the highest cost, splitting them where needed, while that
// lowers the cost by enough. It reports whether anything moved. A target of which no range can move now, for example
// because a single key is too busy, does not keep overloaded ones from moving theirs.
func (c *Core) balance(now types.Instant, loads []*targetLoad, moving int) bool {
	var moved []Range
	sources, gap := slices.Clone(loads), minCostGap
	for limit := max(maxMoves, int(movesShare*float64(len(loads)))); moving < limit && len(sources) > 0; {
		from, to := c.highestCost(sources), c.lowestCost(loads)
		if from == to || from.cost(c.serviceTime) < to.cost(c.serviceTime)+gap {
			break
		}
		i := c.chooseRange(now, from, to)
		if i < 0 {
			sources = slices.DeleteFunc(sources, func(l *targetLoad) bool { return l == from })
			gap = overloadGap
			continue
		}
		weight := c.rangeWeight(i)
		from.rate -= weight
		to.rate += weight
		moved = append(moved, c.table.Ranges[i])
		c.startMove(now, i, to.member.Owner)
		moving++
	}
	c.announceMoves(moved, "balance")
	return len(moved) > 0
}

// chooseRange returns the index of a range whose move lowers the higher of the two costs: the busiest range of the target, or
// the part of it that fits, which is cut out. A range stays when even its busiest key alone would not improve the costs; less
// busy ranges of the target move instead. It returns -1 when there is none.
func (c *Core) chooseRange(now types.Instant, from, to *targetLoad) int {
	for _, i := range c.movableRanges(now, from) {
		if c.rangeWeight(i) < minMoveRate {
			return -1
		}
		if part, ok := c.partToMove(c.table.Ranges[i], from, to); ok {
			return c.cutOut(i, part)
		}
	}
	return -1
}

// movableRanges returns the indexes of the ranges that may be moved away from a target now, the busiest first.
func (c *Core) movableRanges(now types.Instant, from *targetLoad) []int {
	var list []int
	weights := make(map[int]float64)
	for i := range c.states {
		s := &c.states[i]
		if s.phase == phaseHeld && !s.callInFlight && s.granted && c.table.Ranges[i].Owner == from.member.Owner &&
			!now.Before(s.cooldownUntil) && !now.Before(s.unconfirmedUntil()) {
			list = append(list, i)
			weights[i] = c.rangeWeight(i)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return list
}

// partToMove halves a range until its busier part improves the costs and fits the destination, and returns that part. ok is
// false when no part does, or when the table has no room for more ranges.
func (c *Core) partToMove(r Range, from, to *targetLoad) (part Range, ok bool) {
	if !c.moveImproves(from, to, min(c.weight(r), c.keyLoad.busiestKeyRate(r))) {
		return r, false
	}
	limit := max(to.headroom(c.serviceTime), from.rate/float64(max(minLoadParts, len(c.members)/4)))
	if len(c.states)+2 > maxRanges {
		return r, c.moveImproves(from, to, c.weight(r))
	}
	for part = r; !c.moveImproves(from, to, c.weight(part)) || c.weight(part) > limit; {
		if part.Size() < 2 {
			return part, c.moveImproves(from, to, c.weight(part))
		}
		left, right := part, part
		right.From = c.keyLoad.splitPoint(part)
		left.To = right.From - 1
		if part = left; c.weight(right) > c.weight(left) {
			part = right
		}
	}
	return part, true
}

// cutOut splits the range at index i so that part is a range of its own, and returns its index. The table gets two more ranges
// at most: each range costs renewals.
func (c *Core) cutOut(i int, part Range) int {
	if r := c.table.Ranges[i]; part.To < r.To {
		c.splitRange(i, part.To+1)
	}
	if r := c.table.Ranges[i]; part.From > r.From {
		c.splitRange(i, part.From)
		i++
	}
	return i
}

// moveImproves reports whether moving load of the given rate from one target to the other lowers the higher of their
// costs.
func (c *Core) moveImproves(from, to *targetLoad, rate float64) bool {
	toAfter := *to
	toAfter.rate += rate
	fromAfter := *from
	fromAfter.rate -= rate
	return max(toAfter.cost(c.serviceTime), fromAfter.cost(c.serviceTime)) < from.cost(c.serviceTime)-minCostGap/2
}

// splitRange splits a range and its state. Both parts keep the grant of the whole range.
func (c *Core) splitRange(i int, at Key) {
	c.table.split(i, at)
	c.states = append(c.states, rangeState{})
	copy(c.states[i+1:], c.states[i:])
}
