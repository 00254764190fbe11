package keyspace

import (
	"cmp"
	"slices"

	"sequoiasail.example/types"
)

// candidates returns the members that may get keys, ordered by name. Cold ones only if there is no warm one.
func (c *Core) candidates(now types.Instant) []Member {
	var warm, cold []Member
	for _, m := range c.members {
		switch {
		case !m.Usable:
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

// weighed is a candidate with its load in requests a second.
type weighed struct {
	member Member
	load   float64
}

// perSlot is the load of one slot.
func (w *weighed) perSlot() float64 { return w.load / float64(max(w.member.Slots, 1)) }

// plan decides which ranges move: those of owners that may not keep them, then busy ones for balance.
func (c *Core) plan(now types.Instant) {
	if now.Before(c.movesFrom) || c.pending != nil {
		return
	}
	candidates := c.weigh(now)
	if len(candidates) == 0 {
		return
	}
	moving := c.replaceOwners(now, candidates)
	c.balance(now, candidates, moving)
}

// weigh adds the load of all ranges to their present or next owner. Keys without requests count a little, so that they
// are spread as well.
func (c *Core) weigh(now types.Instant) []*weighed {
	byTarget := make(map[types.Target]*weighed)
	var all []*weighed
	for _, m := range c.candidates(now) {
		w := &weighed{member: m}
		byTarget[m.Owner.Target] = w
		all = append(all, w)
	}
	for i := range c.spans {
		if w := byTarget[c.destination(i).Target]; w != nil {
			w.load += c.weight(i)
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

// weight is the load of a range plus its share of an even spread of a tenth of all requests.
func (c *Core) weight(i int) float64 {
	r := c.table.Ranges[i]
	return c.load.of(r) + (0.1*float64(c.load.total)+0.1)*float64(r.Size())/Keys
}

// replaceOwners moves the ranges whose owner is gone, not usable or started anew, and corrects moves towards such
// owners. It returns the number of ranges under way.
func (c *Core) replaceOwners(now types.Instant, candidates []*weighed) int {
	moving := 0
	var moved []Range
	for i := range c.spans {
		s := &c.spans[i]
		if s.phase != held {
			moving++
		}
		if s.phase == committing || c.mayHold(c.destination(i)) {
			continue
		}
		to := slices.MinFunc(candidates, func(a, b *weighed) int { return cmp.Compare(a.perSlot(), b.perSlot()) })
		to.load += c.weight(i)
		if s.phase == held {
			moving++
			moved = append(moved, c.table.Ranges[i])
		}
		c.move(now, i, to.member.Owner)
	}
	c.announce(moved, "owner not usable")
	return moving
}

// mayHold reports whether a life of a target is the present one and may have keys. A cold owner keeps what it has.
func (c *Core) mayHold(o Owner) bool {
	m, ok := c.members[o.Target]
	return ok && m.Usable && m.Owner == o && !c.ended[o]
}

// move starts to move a range, or changes the destination of a move under way.
func (c *Core) move(now types.Instant, i int, to Owner) {
	s := &c.spans[i]
	s.next = to
	if s.phase == held {
		s.phase = leaving
		s.renewAt = now
	}
}

func (c *Core) announce(moved []Range, reason string) {
	if len(moved) > 0 {
		c.actions = append(c.actions, Moving{Ranges: moved, Reason: reason})
	}
}

// balance moves or splits the busiest ranges of the busiest target until the loads are close to each other.
func (c *Core) balance(now types.Instant, candidates []*weighed, moving int) {
	var moved []Range
	for ; moving < maxMoves; moving++ {
		from, to := extremes(candidates)
		if from.perSlot() < imbalance*mean(candidates) || from.perSlot() < minRate {
			break
		}
		i := c.choose(now, from, to)
		if i < 0 {
			break
		}
		w := c.weight(i)
		from.load -= w
		to.load += w
		moved = append(moved, c.table.Ranges[i])
		c.move(now, i, to.member.Owner)
	}
	c.announce(moved, "balance")
}

func extremes(candidates []*weighed) (most, least *weighed) {
	most, least = candidates[0], candidates[0]
	for _, w := range candidates {
		if w.perSlot() > most.perSlot() {
			most = w
		}
		if w.perSlot() < least.perSlot() {
			least = w
		}
	}
	return most, least
}

func mean(candidates []*weighed) float64 {
	load, slots := 0.0, 0
	for _, w := range candidates {
		load += w.load
		slots += max(w.member.Slots, 1)
	}
	return load / float64(slots)
}

// choose returns the index of the busiest range whose move lowers the higher of the two loads, after splitting one
// that is too busy to move whole. It returns -1 when there is none.
func (c *Core) choose(now types.Instant, from, to *weighed) int {
	gap := (from.perSlot() - to.perSlot()) * float64(min(from.member.Slots, to.member.Slots)) * 0.6
	best, bestLoad := -1, 0.0
	for i := range c.spans {
		s := &c.spans[i]
		if s.phase != held || s.busy || c.table.Ranges[i].Owner != from.member.Owner || now.Before(s.restUntil) {
			continue
		}
		if w := c.weight(i); w > bestLoad {
			best, bestLoad = i, w
		}
	}
	for best >= 0 && bestLoad > gap {
		if c.table.Ranges[best].Size() < 2 || len(c.spans) >= maxRanges {
			return -1
		}
		c.divide(best, c.load.half(c.table.Ranges[best]))
		if second := c.weight(best + 1); second > c.weight(best) {
			best++
		}
		bestLoad = c.weight(best)
	}
	if bestLoad < gap/20 {
		return -1
	}
	return best
}

// divide splits a range and its state. Both parts keep the grant of the whole.
func (c *Core) divide(i int, at Key) {
	c.table.split(i, at)
	c.spans = append(c.spans, span{})
	copy(c.spans[i+1:], c.spans[i:])
}
