package admission

import (
	"fmt"
	"time"

	"sequoiasail.example/types"
)

// explain describes a target's load as this VM knows it.
func (t *target) explain(now types.Instant) string {
	return fmt.Sprintf("own %d peers %d others %.1f of %d slots, slowness %.1f seen %s ago, failures %.2f, expected %s",
		t.own, t.peers, t.others(now), t.Slots, t.slowness, now.Sub(t.slowAt).Round(time.Millisecond), t.failures,
		t.expected(now).Round(time.Millisecond))
}

// reason describes what a refusal was decided by.
func (c *Core) reason(now types.Instant, f *flight) string {
	s := f.service
	switch {
	case s == nil:
		return "service not known"
	case !s.Keyed:
		return c.reasonAny(now, s)
	case !f.keyed:
		return "no key"
	}
	i := s.owners.Index(f.key)
	if i < 0 {
		return fmt.Sprintf("no owners of %s known", s.Name)
	}
	o := s.owners.Ranges[i].Owner
	t := c.targets[o.Target]
	text := fmt.Sprintf("key %d of %s owned by %s life %d, table before fence %d", f.key, s.Name, o.Target, o.Life, s.owners.NextFence)
	switch {
	case t == nil:
		return text + ", target not registered"
	case t.Life != o.Life:
		return fmt.Sprintf("%s, target registered with life %d", text, t.Life)
	case s.moves(now, f.key):
		return text + ", key moves"
	}
	return fmt.Sprintf("%s, leaving %v, unreachable %v, %s", text, t.closingAt != 0, now.Before(t.unreachable), t.explain(now))
}

// reasonAny counts the targets of a service without keys by what keeps requests from them.
func (c *Core) reasonAny(now types.Instant, s *service) string {
	leaving, unreachable, cold := 0, 0, 0
	for _, t := range s.targets {
		switch {
		case t.closingAt != 0:
			leaving++
		case now.Before(t.unreachable):
			unreachable++
		case now.Before(t.ColdUntil):
			cold++
		}
	}
	return fmt.Sprintf("%d targets of %s, %d leaving, %d unreachable, %d cold", len(s.targets), s.Name, leaving, unreachable, cold)
}
