package admission

import (
	"fmt"
	"time"

	"sequoiasail.example/types"
)

// describeLoad describes a target's load as known to this VM, for the log.
func (c *Core) describeLoad(now types.Instant, t *target) string {
	text := fmt.Sprintf("own %d peers %d others %.1f of %d slots, slowness %.1f seen %s ago, failures %.2f, expected %s",
		t.ownInFlight, t.peerRequests, t.estimateRemote(now), t.Slots, t.slowness, now.Sub(t.slownessAt).Round(time.Millisecond), t.failureRate,
		t.expectedTime(now).Round(time.Millisecond))
	if s := c.services[t.Service]; s != nil && now.Before(t.ColdUntil) {
		text += fmt.Sprintf(", cold for %s, %d of %d requests of this data centre sent within %s, %d of %d neighbours report",
			t.ColdUntil.Sub(now).Round(time.Millisecond), t.dataCentreSends.count(now), c.coldAllowance(now, s), coldWindow,
			c.neighbours.reporting(now), len(c.neighbours.living))
	}
	return text
}

// refusalReason describes the state that led to a refusal, for the log.
func (c *Core) refusalReason(now types.Instant, req *request) string {
	s := req.service
	switch {
	case s == nil:
		return "service not known"
	case !c.mayStart(now, req):
		return "may outlive the stop of this VM"
	case !s.Keyed:
		return c.unkeyedRefusalReason(now, s)
	case !req.keyed:
		return "no key"
	}
	i := s.owners.Index(req.key)
	if i < 0 {
		return fmt.Sprintf("no owners of %s known", s.Name)
	}
	o := s.owners.Ranges[i].Owner
	t := c.targets[o.Target]
	text := fmt.Sprintf("key %d of %s owned by %s life %d, table before fence %d", req.key, s.Name, o.Target, o.Incarnation, s.owners.NextFence)
	switch {
	case t == nil:
		return text + ", target not registered"
	case t.Incarnation != o.Incarnation:
		return fmt.Sprintf("%s, target registered with life %d", text, t.Incarnation)
	case s.isMoving(now, req.key):
		return text + ", key moves"
	}
	return fmt.Sprintf("%s, leaving %v, unreachable %v, %s", text, t.leavingSince != 0, now.Before(t.unreachable), c.describeLoad(now, t))
}

// unkeyedRefusalReason counts the targets of a service without keys by why they get no requests.
func (c *Core) unkeyedRefusalReason(now types.Instant, s *service) string {
	leaving, unreachable, cold := 0, 0, 0
	for _, t := range s.targets {
		switch {
		case t.leavingSince != 0:
			leaving++
		case now.Before(t.unreachable):
			unreachable++
		case now.Before(t.ColdUntil):
			cold++
		}
	}
	return fmt.Sprintf("%d targets of %s, %d leaving, %d unreachable, %d cold", len(s.targets), s.Name, leaving, unreachable, cold)
}
