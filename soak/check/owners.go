package check

import (
	"fmt"
	"time"

	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/types"
)

// heldRange is a range of keys that an incarnation of a target holds until a time.
type heldRange struct {
	from, to keyspace.Key
	until    time.Time
}

// overlap is a range of keys that two incarnations hold at the same time, from since on. ran records for each of the two
// whether it has run a request for one of the keys.
type overlap struct {
	first, second incarnation
	from, to      keyspace.Key
	since         time.Time
	ran           [2]bool
}

// highestFence is the highest fence with which a key was granted, and the incarnation that got it.
type highestFence struct {
	fence types.Epoch
	owner incarnation
}

// ownership tracks which incarnations hold which keys, and finds keys with two owners.
type ownership struct {
	held     map[incarnation][]heldRange
	overlaps []overlap
	// fences is indexed by key.
	fences []highestFence
	// violations holds those that recordGrant or finish returns next.
	violations []string
}

func newOwnership() ownership {
	return ownership{held: make(map[incarnation][]heldRange), fences: make([]highestFence, keyspace.Keys)}
}

// recordGrant records a grant and returns the violations. A grant that a fault may have delayed is recorded without checks.
func (o *ownership) recordGrant(inc incarnation, e standin.KeysGranted, delayed bool) []string {
	o.expire(e.At)
	var violations []string
	if !delayed {
		violations = o.checkFence(inc, e)
	}
	o.removeKeys(inc, e.From, e.To)
	for other, list := range o.held {
		for _, h := range list {
			if other == inc || delayed || !h.until.After(e.At) || h.from > e.To || h.to < e.From || o.hasOverlap(other, inc, h) {
				continue
			}
			o.overlaps = append(o.overlaps, overlap{
				first: other, second: inc, from: max(h.from, e.From), to: min(h.to, e.To), since: e.At,
			})
		}
	}
	o.held[inc] = append(o.held[inc], heldRange{from: e.From, to: e.To, until: e.Until})
	violations = append(violations, o.violations...)
	o.violations = nil
	return violations
}

// checkFence requires the fence to be higher than every fence with which another incarnation held one of the keys.
func (o *ownership) checkFence(inc incarnation, e standin.KeysGranted) []string {
	for k := int(e.From); k <= int(e.To); k++ {
		highest := &o.fences[k]
		if highest.owner != inc && highest.fence >= e.Fence {
			return []string{fmt.Sprintf("%s got key %d with fence %d, %s had held it with fence %d", inc.target, k, e.Fence, highest.owner.target, highest.fence)}
		}
		if e.Fence > highest.fence {
			*highest = highestFence{fence: e.Fence, owner: inc}
		}
	}
	return nil
}

// hasOverlap reports whether an overlap of two incarnations within a range is already recorded.
func (o *ownership) hasOverlap(a, b incarnation, h heldRange) bool {
	for _, ov := range o.overlaps {
		if (ov.first == a && ov.second == b || ov.first == b && ov.second == a) && ov.from <= h.to && h.from <= ov.to {
			return true
		}
	}
	return false
}

// removeKeys removes a range of keys from what an incarnation holds.
func (o *ownership) removeKeys(inc incarnation, from, to keyspace.Key) {
	var remaining []heldRange
	for _, h := range o.held[inc] {
		if h.from > to || h.to < from {
			remaining = append(remaining, h)
			continue
		}
		if h.from < from {
			remaining = append(remaining, heldRange{h.from, from - 1, h.until})
		}
		if h.to > to {
			remaining = append(remaining, heldRange{to + 1, h.to, h.until})
		}
	}
	o.held[inc] = remaining
}

// release ends the grants of an incarnation for a range of keys.
func (o *ownership) release(inc incarnation, from, to keyspace.Key, at time.Time) {
	o.checkOverlaps(at)
	o.removeKeys(inc, from, to)
	o.checkOverlaps(at)
}

// recordEnd ends all grants of an incarnation that has ended.
func (o *ownership) recordEnd(inc incarnation, at time.Time) {
	o.checkOverlaps(at)
	delete(o.held, inc)
	o.checkOverlaps(at)
}

// recordRun records that an incarnation has run a request for a key.
func (o *ownership) recordRun(inc incarnation, k keyspace.Key) {
	for i := range o.overlaps {
		ov := &o.overlaps[i]
		if k < ov.from || k > ov.to {
			continue
		}
		ov.ran[0] = ov.ran[0] || ov.first == inc
		ov.ran[1] = ov.ran[1] || ov.second == inc
	}
}

// expire ends the grants that have expired.
func (o *ownership) expire(now time.Time) {
	o.checkOverlaps(now)
	for inc, list := range o.held {
		remaining := list[:0]
		for _, h := range list {
			if h.until.After(now) {
				remaining = append(remaining, h)
			}
		}
		o.held[inc] = remaining
	}
	o.checkOverlaps(now)
}

// checkOverlaps reports the overlaps that last longer than OverlapTime or in which both incarnations ran requests, and
// removes those and the ones that are over.
func (o *ownership) checkOverlaps(now time.Time) {
	remaining := o.overlaps[:0]
	for _, ov := range o.overlaps {
		end := now
		for _, until := range []time.Time{o.heldUntil(ov.first, ov), o.heldUntil(ov.second, ov)} {
			if until.Before(end) {
				end = until
			}
		}
		bothRan := ov.ran[0] && ov.ran[1]
		switch {
		case bothRan || end.Sub(ov.since) > OverlapTime:
			o.violations = append(o.violations, fmt.Sprintf("%s and %s both held keys %d-%d for %v, both ran requests: %v",
				ov.first.target, ov.second.target, ov.from, ov.to, end.Sub(ov.since), bothRan))
		case !end.Before(now):
			remaining = append(remaining, ov)
		}
	}
	o.overlaps = remaining
}

// heldUntil returns until when an incarnation holds keys of an overlap, or the zero time if it holds none.
func (o *ownership) heldUntil(inc incarnation, ov overlap) (until time.Time) {
	for _, h := range o.held[inc] {
		if h.from <= ov.to && ov.from <= h.to && h.until.After(until) {
			until = h.until
		}
	}
	return until
}

// finish returns the violations found at the end of the run.
func (o *ownership) finish(now time.Time) []string {
	o.expire(now)
	return o.violations
}
