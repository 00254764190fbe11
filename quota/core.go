package quota

import (
	"maps"
	"slices"
	"time"

	"sequoiasail.example/types"
)

const (
	// settleTime is how long a VM that starts uses a small share only, unless it learns the levels from others earlier: the
	// time in which other VMs learn of it and begin to report to it.
	settleTime = 2200 * time.Millisecond
	// unknownFleetShare is the share of a VM that knows no list of VMs.
	unknownFleetShare = 0.01
	// minorityFactor multiplies the share of a VM that has heard less than half of the fleet for minorityTime, because the others
	// use the shares of its side then. Together with them the sum stays below the platform's overshoot of 10 %.
	minorityFactor = 0.1
)

// Core decides about the requests of customers at one VM. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   Random
	fleet    Fleet
	delay    blindness

	// buckets holds all customers that ever had a limit, so that their counters never start again. byName and byHash index it.
	buckets []*bucket
	byName  map[types.Customer]*bucket
	byHash  map[CustomerHash]*bucket
	limited int

	peers map[types.VM]*peer
	near  map[types.VM]bool
	// startedAt is when the first limits became known. fleetKnown is true once there has been a list of VMs.
	startedAt types.Instant
	started   bool
	// configured is true once there has been a configuration, with or without limits.
	configured bool
	fleetKnown bool
	sweptAt    types.Instant
	// halfHeardAt is when at least half of the fleet was last heard, silent the number of silent VMs, heard that of the others.
	halfHeardAt   types.Instant
	silent, heard int
	// far is the number of VMs in other data centres.
	far      int
	minority bool
	// nearLimit is true while a customer is near its limit.
	nearLimit bool

	// urgent is true if an admission since the last report should soon be known by the others, promised if the last report said
	// that the next one comes within one interval.
	urgent, promised bool
	// reportedAt and refreshedAt are when Report and Refresh were last called.
	reportedAt, refreshedAt types.Instant
	// refreshPart is the part of the counters that the next complete report has.
	refreshPart int
	leaving     bool

	// relaying is true if this VM forwards reports to its neighbours, held has those that wait, forwardedAt is when Forward was
	// last called. relayDelay is what a relay adds to the way of a report.
	relaying    bool
	held        []heldReport
	forwardedAt types.Instant
	relayDelay  time.Duration
}

// New returns a core without limits, which admits everything.
func New(s Settings, random Random) *Core {
	c := &Core{
		settings: s, random: random, byName: make(map[types.Customer]*bucket), byHash: make(map[CustomerHash]*bucket),
		peers: make(map[types.VM]*peer), near: make(map[types.VM]bool),
	}
	c.SetFleet(0, Fleet{})
	c.fleetKnown = false
	// VMs that start together begin with different parts, so that a further one learns all levels soon.
	c.refreshPart = int(random.Float64() * RefreshParts)
	return c
}

// Limited reports whether any customer has a limit. Without one, no reports are needed.
func (c *Core) Limited() bool { return c.limited > 0 }

// SetLimits replaces the limits, and is also called without any. A changed limit takes effect at once. A customer that was not in
// the configuration before starts with a full bucket; at the start of the VM all buckets are empty, because the VM doesn't know
// what the others have admitted.
func (c *Core) SetLimits(now types.Instant, limits Limits) {
	first := !c.configured
	c.configured = true
	if !c.started && len(limits) > 0 {
		c.started, c.startedAt, c.halfHeardAt = true, now, now
		if !first {
			// The configuration before had no limits: nobody has used any.
			c.startedAt = now.Add(-settleTime)
		}
		for _, p := range c.peers {
			p.heardAt = max(p.heardAt, now)
		}
	}
	for name, b := range c.byName {
		if _, ok := limits[name]; !ok && b.limited {
			b.limited = false
		}
	}
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		b, known := c.byName[name]
		if !known {
			b = c.addBucket(now, name, !first && c.settledByTime(now))
		}
		b.refill(now, c.share(b, now))
		b.limit, b.limited = limits[name], true
		b.setCapacity(c.settings, c.delay)
		if !known && b.settled {
			b.level = b.capacity
		}
		b.refill(now, c.share(b, now))
	}
	c.limited = len(limits)
}

// addBucket adds the state of a customer.
func (c *Core) addBucket(now types.Instant, name types.Customer, settled bool) *bucket {
	b := &bucket{name: name, hash: HashOf(name), index: len(c.buckets), refilledAt: now, settled: settled}
	c.buckets = append(c.buckets, b)
	c.byName[name] = b
	if c.byHash[b.hash] == nil {
		c.byHash[b.hash] = b
	}
	for _, p := range c.peers {
		// The customer is new at all VMs: what a VM that was heard before reports first is what it has used since.
		p.counters = append(p.counters, peerCounter{known: settled && p.heard})
		if p.silent && !p.released {
			c.freeze(now, p, b)
		}
	}
	return b
}

// Admit decides whether a request of a customer is within its limit. A customer without a limit is always admitted.
func (c *Core) Admit(now types.Instant, name types.Customer) Decision {
	b := c.byName[name]
	if b == nil || !b.limited {
		return Decision{Admitted: true}
	}
	c.sweep(now)
	share := c.share(b, now)
	b.refill(now, share)
	b.changed = true
	b.own.add(now, 1, demandTime)
	if !b.mayAdmit(now, c.delay, c.random) {
		b.rejected++
		b.rejections.add(now, 1, demandTime)
		c.urgent, b.nearLimitAt = true, now
		return Decision{Counter: b.counter(), RetryAfter: b.retryAfter(now, share, c.random)}
	}
	b.take(1, c.settings.Window)
	b.unreported++
	if b.urgent(now) {
		c.urgent, b.nearLimitAt = true, now
	}
	b.spent.add(now, 1, shareTime)
	b.total.add(now, 1, shareTime)
	if b.returned > 0 {
		b.returned--
	} else {
		b.used++
	}
	return Decision{Admitted: true, Counter: b.counter()}
}

// Refund returns the token of a request that was admitted and has not run. The next admission uses it, without being reported: so
// the counters only rise, and others learn of the token only by an admission that they don't see.
func (c *Core) Refund(now types.Instant, name types.Customer) {
	b := c.byName[name]
	if b == nil || !b.limited || b.returned >= b.used {
		return
	}
	b.returned++
	b.level++
	b.refill(now, c.share(b, now))
}

// share returns the fraction of a customer's limit that this VM's bucket is refilled with.
func (c *Core) share(b *bucket, now types.Instant) float64 {
	s := max(1-b.frozen, 0)
	if c.minority {
		s *= minorityFactor
	}
	if b.settled || c.settledByTime(now) {
		b.settled = true
		return s
	}
	if !c.fleetKnown {
		return s * unknownFleetShare
	}
	return s / float64(c.size())
}

// settledByTime reports whether the VM has been up and has known the fleet for settleTime.
func (c *Core) settledByTime(now types.Instant) bool {
	return c.started && c.fleetKnown && now.Sub(c.startedAt) >= settleTime
}

// size returns the number of VMs, this one included.
func (c *Core) size() int { return len(c.peers) + 1 }

// Silent returns the number of VMs that are not heard and whose shares are kept for them. Minority reports whether this VM uses
// a small fraction of the limits, because it has heard less than half of the fleet for long.
func (c *Core) Silent() int    { return c.silent }
func (c *Core) Minority() bool { return c.minority }

// Size returns the number of known VMs, this one included.
func (c *Core) Size() int { return c.size() }
