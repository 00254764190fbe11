package check

import (
	"fmt"
	"time"

	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/types"
)

// possession is a run of keys that a life holds.
type possession struct {
	from, to keyspace.Key
	until    time.Time
}

// overlap is a run of keys that two lives hold since a time.
type overlap struct {
	first, second life
	from, to      keyspace.Key
	since         time.Time
	ran           [2]bool
}

// token is the highest fence with which a key was taken.
type token struct {
	fence types.Epoch
	owner life
}

// owners tracks which lives hold which keys.
type owners struct {
	held     map[life][]possession
	overlaps []overlap
	tokens   []token
	broken   []string
}

func newOwners() owners {
	return owners{held: make(map[life][]possession), tokens: make([]token, keyspace.Keys)}
}

// hold records a grant and returns what it breaks. A grant that was held up on its way breaks nothing.
func (o *owners) hold(l life, e standin.KeysGranted, late bool) []string {
	o.expire(e.At)
	var broken []string
	if !late {
		broken = o.checkToken(l, e)
	}
	o.cut(l, e.From, e.To)
	for other, list := range o.held {
		for _, p := range list {
			if other == l || late || !p.until.After(e.At) || p.from > e.To || p.to < e.From || o.known(other, l, p) {
				continue
			}
			o.overlaps = append(o.overlaps, overlap{
				first: other, second: l, from: max(p.from, e.From), to: min(p.to, e.To), since: e.At,
			})
		}
	}
	o.held[l] = append(o.held[l], possession{from: e.From, to: e.To, until: e.Until})
	broken = append(broken, o.broken...)
	o.broken = nil
	return broken
}

// checkToken requires the fence to be above all with which other lives have had the keys.
func (o *owners) checkToken(l life, e standin.KeysGranted) []string {
	for k := int(e.From); k <= int(e.To); k++ {
		t := &o.tokens[k]
		if t.owner != l && t.fence >= e.Fence {
			return []string{fmt.Sprintf("%s took key %d with fence %d, %s had %d", l.target, k, e.Fence, t.owner.target, t.fence)}
		}
		if e.Fence > t.fence {
			*t = token{fence: e.Fence, owner: l}
		}
	}
	return nil
}

func (o *owners) known(a, b life, p possession) bool {
	for _, v := range o.overlaps {
		if (v.first == a && v.second == b || v.first == b && v.second == a) && v.from <= p.to && p.from <= v.to {
			return true
		}
	}
	return false
}

// cut removes keys from what a life holds.
func (o *owners) cut(l life, from, to keyspace.Key) {
	var rest []possession
	for _, p := range o.held[l] {
		if p.from > to || p.to < from {
			rest = append(rest, p)
			continue
		}
		if p.from < from {
			rest = append(rest, possession{p.from, from - 1, p.until})
		}
		if p.to > to {
			rest = append(rest, possession{to + 1, p.to, p.until})
		}
	}
	o.held[l] = rest
}

// release ends the holds of a life on some keys.
func (o *owners) release(l life, from, to keyspace.Key, at time.Time) {
	o.settle(at)
	o.cut(l, from, to)
	o.settle(at)
}

// end ends all holds of a life.
func (o *owners) end(l life, at time.Time) {
	o.settle(at)
	delete(o.held, l)
	o.settle(at)
}

// run notes that a life has begun a request for a key.
func (o *owners) run(l life, k keyspace.Key) {
	for i := range o.overlaps {
		v := &o.overlaps[i]
		if k < v.from || k > v.to {
			continue
		}
		v.ran[0] = v.ran[0] || v.first == l
		v.ran[1] = v.ran[1] || v.second == l
	}
}

// expire ends the holds that have run out.
func (o *owners) expire(now time.Time) {
	o.settle(now)
	for l, list := range o.held {
		rest := list[:0]
		for _, p := range list {
			if p.until.After(now) {
				rest = append(rest, p)
			}
		}
		o.held[l] = rest
	}
	o.settle(now)
}

// settle judges the overlaps that are over, and those that last too long.
func (o *owners) settle(now time.Time) {
	rest := o.overlaps[:0]
	for _, v := range o.overlaps {
		end := now
		for _, until := range []time.Time{o.heldUntil(v.first, v), o.heldUntil(v.second, v)} {
			if until.Before(end) {
				end = until
			}
		}
		both := v.ran[0] && v.ran[1]
		switch {
		case both || end.Sub(v.since) > SharedTime:
			o.broken = append(o.broken, fmt.Sprintf("%s and %s both held keys %d-%d for %v, both ran requests: %v",
				v.first.target, v.second.target, v.from, v.to, end.Sub(v.since), both))
		case !end.Before(now):
			rest = append(rest, v)
		}
	}
	o.overlaps = rest
}

// heldUntil returns until when a life holds keys of an overlap, or the zero time.
func (o *owners) heldUntil(l life, v overlap) (until time.Time) {
	for _, p := range o.held[l] {
		if p.from <= v.to && v.from <= p.to && p.until.After(until) {
			until = p.until
		}
	}
	return until
}

// finish returns what is broken at the end.
func (o *owners) finish(now time.Time) []string {
	o.expire(now)
	return o.broken
}
