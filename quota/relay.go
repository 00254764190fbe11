package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiasail.example/types"
)

const (
	// RelaysPerDataCentre is the number of VMs of a data centre that get the reports of other data centres for it. The second one
	// covers the loss of the first.
	RelaysPerDataCentre = 2
	// A relay forwards at the interval of load reports within these limits. Above 100 ms, which applies from 150 VMs on, the
	// simulated overshoot at 430 VMs with a partition rises from 1.07 to 1.12 of the bound; datagrams are full anyway then.
	minForwardInterval = 25 * time.Millisecond
	maxForwardInterval = 100 * time.Millisecond
	// standbyMargin is what a relay waits beyond one interval for another relay's batch before it forwards the report itself. It
	// covers the way within the data centre and a late timer.
	standbyMargin = 30 * time.Millisecond
	// maxHeld bounds the reports that wait at a relay.
	maxHeld = maxPeers
)

// heldReport is a report of another data centre that waits to be forwarded. dueAt is the earliest time for it.
type heldReport struct {
	report Report
	dueAt  types.Instant
}

// setRelays decides whether this VM forwards. It doesn't if all VMs of its data centre are relays, which hear everything directly.
func (c *Core) setRelays(f Fleet) {
	c.relaying = slices.Contains(f.Relays, c.settings.VM) && len(f.Neighbours)+1 > len(f.Relays)
	c.relayDelay = 0
	if len(f.Relays) > 0 {
		c.relayDelay = c.forwardInterval() + nearLatency
	}
	if !c.relaying {
		c.held = nil
	}
}

func (c *Core) forwardInterval() time.Duration {
	return min(max(c.fleet.NearInterval, minForwardInterval), maxForwardInterval)
}

// relay takes a report into account for forwarding. The relays divide the origins among them: one that isn't responsible for an
// origin forwards its report only if the responsible one hasn't within an interval, because two copies double the bytes.
func (c *Core) relay(now types.Instant, p *peer, r Report) {
	if !c.relaying {
		return
	}
	if r.Forwarded {
		c.held = slices.DeleteFunc(c.held, func(h heldReport) bool { return r.covers(h.report) })
		return
	}
	if p.near || len(c.held) >= maxHeld {
		return
	}
	h := heldReport{report: r, dueAt: now}
	if c.fleet.Relays[xxhash.Sum64String(string(r.VM))%uint64(len(c.fleet.Relays))] != c.settings.VM {
		h.dueAt = now.Add(c.forwardInterval() + standbyMargin)
	}
	h.report.Forwarded = true
	c.held = append(c.held, h)
}

// covers reports whether a report tells at least what another one does.
func (r Report) covers(other Report) bool {
	if r.VM != other.VM || r.Incarnation != other.Incarnation || r.Levels != other.Levels || r.Leaving != other.Leaving ||
		r.Next != other.Next || len(r.Counters) < len(other.Counters) {
		return false
	}
	for i, n := range other.Counters {
		if m := r.Counters[i]; m.Customer != n.Customer || m.Used < n.Used || m.Rejected < n.Rejected {
			return false
		}
	}
	return true
}

// NextForward returns the time until Forward is due, maxReportWait on a VM that doesn't forward.
func (c *Core) NextForward(now types.Instant) time.Duration {
	if !c.relaying || c.far == 0 {
		return maxReportWait
	}
	return c.forwardedAt.Add(c.forwardInterval()).Sub(now)
}

// Forward returns the reports of other data centres for the neighbours. Each is returned once.
func (c *Core) Forward(now types.Instant) []Report {
	c.forwardedAt = now
	var due []Report
	c.held = slices.DeleteFunc(c.held, func(h heldReport) bool {
		if h.dueAt > now {
			return false
		}
		due = append(due, h.report)
		return true
	})
	return due
}
