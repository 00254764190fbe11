package keyspace

import (
	"cmp"
	"slices"
	"time"

	"sequoiasail.example/types"
)

// candidates returns the members that may get keys, ordered by name. Cold ones only if there is no warm one.
func (c *Core) candidates(now types.Instant) []Member {
	var warm, cold []Member
	for _, m := range c.members {
		switch {
		case !m.Usable || c.suspected(m.Owner):
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

// bin is a candidate with what it is expected to carry.
type bin struct {
	member Member
	// slowness is the usual one of the target; 1 is average.
	slowness float64
	// rate is in requests a second.
	rate float64
}

// busy is the expected share of the target's slots at work.
func (b *bin) busy(work time.Duration) float64 {
	return b.rate * work.Seconds() * b.slowness / float64(max(b.member.Slots, 1))
}

// cost grows with the time that a request at the target is expected to take: its slowness, and its queue as the slots
// fill. Fast targets fill up before slow ones get keys.
func (b *bin) cost(work time.Duration) float64 {
	u := b.busy(work)
	return b.slowness * (1 + queueCost*u*u*u)
}

// room is the rate in requests a second that a target can take before it counts as full.
func (b *bin) room(work time.Duration) float64 {
	return fullBusy*float64(max(b.member.Slots, 1))/(work.Seconds()*b.slowness) - b.rate
}

// plan decides which ranges move: those of owners that may not keep them, then busy ones for balance.
func (c *Core) plan(now types.Instant) {
	if now.Before(c.movesFrom) || c.pending != nil {
		return
	}
	waits := c.surges(now)
	bins := c.weigh(now)
	if len(bins) == 0 {
		return
	}
	moving := c.replaceOwners(now, bins)
	if !waits && !now.Before(c.balanceAt) && c.balance(now, bins, moving) {
		c.balanceAt = now.Add(balanceInterval)
	}
}

// surges takes over the recent rates of ranges that have become busy of a sudden, after it has seen that for a
// planInterval: before, they show only a part of the load, and their pieces would be too large. It reports whether it waits.
func (c *Core) surges(now types.Instant) bool {
	var found []int
	for i, r := range c.table.Ranges {
		if c.load.surges(r) {
			found = append(found, i)
		}
	}
	switch {
	case len(found) == 0:
		c.surgeAt = 0
		return false
	case c.surgeAt == 0:
		c.surgeAt = now
		return true
	}
	for _, i := range found {
		c.load.catchUp(c.table.Ranges[i])
		// What has been moved here was measured too low.
		c.spans[i].restUntil = 0
	}
	return false
}

// weigh adds the load of all ranges to their present or next owner.
func (c *Core) weigh(now types.Instant) []*bin {
	byTarget := make(map[types.Target]*bin)
	var all []*bin
	for _, m := range c.candidates(now) {
		b := &bin{member: m, slowness: c.slowness(m.Owner)}
		byTarget[m.Owner.Target] = b
		all = append(all, b)
	}
	for i := range c.spans {
		if b := byTarget[c.destination(i).Target]; b != nil {
			b.rate += c.weight(i)
		}
	}
	return all
}

func (c *Core) destination(i int) Owner {
	if c.spans[i].phase == held {
		return c.table.Ranges[i].Owner
	}
	return c.spans[i].next
}

// weight is the load of a range plus its share of an even spread of some requests, so that keys that nobody asked for
// yet are spread as well.
func (c *Core) weight(i int) float64 {
	r := c.table.Ranges[i]
	return c.load.of(r) + (spreadShare*float64(c.load.total)+spreadRate)*float64(r.Size())/Keys
}

// replaceOwners moves the ranges whose owner is gone, not usable or started anew, and corrects moves towards such
// owners. It returns the number of ranges under way.
func (c *Core) replaceOwners(now types.Instant, bins []*bin) int {
	moving := 0
	var moved []Range
	for i := range c.spans {
		s := &c.spans[i]
		if s.phase != held {
			moving++
		}
		if s.phase == leaving && s.forced && c.mayHold(c.table.Ranges[i].Owner) {
			// The owner is back before it has given the range up.
			s.phase, s.forced, s.renewAt = held, false, now
			continue
		}
		if s.phase == committing || c.mayHold(c.destination(i)) {
			continue
		}
		to := c.cheapest(bins)
		to.rate += c.weight(i)
		if s.phase == held || s.phase == refencing {
			moving++
			moved = append(moved, c.table.Ranges[i])
		}
		c.move(now, i, to.member.Owner)
		s.forced = true
	}
	c.announce(moved, "owner not usable")
	return moving
}

func (c *Core) cheapest(bins []*bin) *bin {
	return slices.MinFunc(bins, func(a, b *bin) int { return cmp.Compare(a.cost(c.work), b.cost(c.work)) })
}

func (c *Core) dearest(bins []*bin) *bin {
	return slices.MaxFunc(bins, func(a, b *bin) int {
		if a.rate < idleRate || b.rate < idleRate {
			return cmp.Compare(a.rate, b.rate)
		}
		return cmp.Compare(a.cost(c.work), b.cost(c.work))
	})
}

// mayHold reports whether a life of a target is the present one and may have keys. A cold owner keeps what it has.
func (c *Core) mayHold(o Owner) bool {
	m, ok := c.members[o.Target]
	return ok && m.Usable && m.Owner == o && !c.ended[o] && !c.silent(o)
}

// move starts to move a range, or changes the destination of a move under way.
func (c *Core) move(now types.Instant, i int, to Owner) {
	s := &c.spans[i]
	s.next = to
	if s.phase == held || s.phase == refencing {
		s.phase = leaving
		s.renewAt = now
	}
}

func (c *Core) announce(moved []Range, reason string) {
	if len(moved) > 0 {
		c.actions = append(c.actions, Moving{Ranges: moved, Reason: reason})
	}
}

// balance moves or splits the busiest ranges of the dearest targets while that lowers the cost by enough. It reports
// whether anything moved.
func (c *Core) balance(now types.Instant, bins []*bin, moving int) bool {
	var moved []Range
	for most := max(maxMoves, int(movesShare*float64(len(bins)))); moving < most; moving++ {
		from, to := c.dearest(bins), c.cheapest(bins)
		if from == to || from.cost(c.work) < to.cost(c.work)+costGap {
			break
		}
		i := c.choose(now, from, to)
		if i < 0 {
			break
		}
		w := c.weight(i)
		from.rate -= w
		to.rate += w
		moved = append(moved, c.table.Ranges[i])
		c.move(now, i, to.member.Owner)
	}
	c.announce(moved, "balance")
	return len(moved) > 0
}

// choose returns the index of the busiest range whose move lowers the higher of the two costs, after splitting one that
// is too busy to move whole. A single key that no other target could serve better stays, and the ranges beside it move.
// It returns -1 when there is none.
func (c *Core) choose(now types.Instant, from, to *bin) int {
	for _, i := range c.movable(now, from) {
		if c.weight(i) < smallestMove {
			return -1
		}
		if i = c.shrink(i, from, to); i >= 0 {
			return i
		}
	}
	return -1
}

// movable returns the indexes of the ranges that a target may give away now, the busiest first.
func (c *Core) movable(now types.Instant, from *bin) []int {
	var list []int
	weights := make(map[int]float64)
	for i := range c.spans {
		s := &c.spans[i]
		if s.phase == held && !s.busy && s.granted && c.table.Ranges[i].Owner == from.member.Owner &&
			!now.Before(s.restUntil) && !now.Before(s.doubtUntil()) {
			list = append(list, i)
			weights[i] = c.weight(i)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return list
}

// shrink splits a range until its busier part is worth moving, and returns the index of that part, or -1. Nothing is
// split when even a single key would be too much.
func (c *Core) shrink(i int, from, to *bin) int {
	if !c.improves(from, to, min(c.weight(i), c.load.most(c.table.Ranges[i]))) {
		return -1
	}
	limit := max(to.room(c.work), from.rate/float64(max(fewestParts, len(c.members)/4)))
	for !c.improves(from, to, c.weight(i)) || c.weight(i) > limit {
		if c.table.Ranges[i].Size() < 2 || len(c.spans) >= maxRanges {
			return c.worth(i, from, to)
		}
		c.divide(i, c.load.half(c.table.Ranges[i]))
		if c.weight(i+1) > c.weight(i) {
			i++
		}
	}
	return i
}

// worth returns the index of a range that can't be split if moving it whole is worth it, or -1.
func (c *Core) worth(i int, from, to *bin) int {
	if c.improves(from, to, c.weight(i)) {
		return i
	}
	return -1
}

// improves reports whether moving a rate from one target to the other lowers the higher of their costs.
func (c *Core) improves(from, to *bin, rate float64) bool {
	after := *to
	after.rate += rate
	rest := *from
	rest.rate -= rate
	return max(after.cost(c.work), rest.cost(c.work)) < from.cost(c.work)-costGap/2
}

// divide splits a range and its state. Both parts keep the grant of the whole.
func (c *Core) divide(i int, at Key) {
	c.table.split(i, at)
	c.spans = append(c.spans, span{})
	copy(c.spans[i+1:], c.spans[i:])
}
