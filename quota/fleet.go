package quota

import (
	"time"

	"sequoiasail.example/types"
)

const (
	// silentTime is after how long without a report an idle VM is silent. It covers one lost complete report.
	silentTime = 2500 * time.Millisecond
	// A VM that has promised a report, or that has admitted activeRate requests a second and so has something to report in each
	// interval, is silent after missedIntervals, one less while a customer is near its limit: until then both sides of a partition spend the whole limit.
	activeRate      = 5.0
	missedIntervals = 3
	silenceMargin   = 100 * time.Millisecond
	// releaseTime is when the share of a VM that is not heard is released, if this VM hears most of the fleet. minorityTime is
	// earlier by more than silentTime, so that the silent VMs have stopped using their shares.
	releaseTime  = 30 * time.Second
	minorityTime = 26 * time.Second
	// idleShare is the part of a limit that is divided equally, for VMs without recent requests.
	idleShare = 0.1
	// unknownRate is added to the admissions of a customer and divided equally when shares are computed. Without it, the shares of a
	// customer with few known requests are so uncertain that the silent VMs may get all: some customers at ten requests a second lost
	// a third of their requests when a partition began 3 s after the start.
	unknownRate = 2.0
	// sweepInterval is how often VMs are checked for silence at most.
	sweepInterval = 50 * time.Millisecond
	// maxPeers bounds the VMs that are kept, maxIncrease the requests between two reports. More is no report of a VM.
	maxPeers = 4096
	// firstRequests is the number of requests up to which the first counter of a VM counts as used since it started. A higher one
	// may be old.
	firstRequests = 4
	maxIncrease   = 1_000_000
)

// peer is another VM.
type peer struct {
	incarnation types.Incarnation
	listed      bool
	near        bool
	leaving     bool
	// heard is true once there has been a report, heardAt is when the last one arrived, or when the VM was listed.
	heard   bool
	heardAt types.Instant
	silent  bool
	// released is true once nothing is kept any more for a silent VM.
	released bool
	// spent is the rate of all admissions.
	spent decayed
	// promise is the time within which the VM has promised its next report, 0 for none.
	promise time.Duration
	// counters holds one entry for each bucket.
	counters []peerCounter
}

// peerCounter is what is known of a customer's requests at another VM.
type peerCounter struct {
	used, rejected uint64
	// known is true if used is known: the increase to the next counter has then been admitted since.
	known bool
	spent decayed
	// frozen is the share that is kept for the VM while it is silent. kept holds the tokens that were set aside for it.
	frozen float64
	kept   float64
}

// SetFleet replaces the list of VMs. A listed VM that is never heard counts as silent after silentTime. A VM that reports without
// being listed is kept until it is silent for releaseTime.
func (c *Core) SetFleet(now types.Instant, f Fleet) {
	c.fleet = f
	c.fleetKnown = true
	c.near = make(map[types.VM]bool, len(f.Neighbours))
	for _, vm := range f.Neighbours {
		c.near[vm] = true
	}
	for _, p := range c.peers {
		p.listed = false
	}
	for _, vm := range f.VMs {
		if vm == c.settings.VM {
			continue
		}
		if p := c.addPeer(now, vm); p != nil {
			p.listed = true
		}
	}
	for vm, p := range c.peers {
		p.near = c.near[vm]
		if !p.listed && (!p.heard || p.leaving) {
			c.release(now, p)
			delete(c.peers, vm)
		}
	}
	c.setRelays(f)
	c.delay = blindness{
		near: (max(f.NearInterval, 0) + nearLatency).Seconds(),
		// A report waits half an interval at a relay on average.
		far: (max(f.FarInterval, 0) + farLatency + c.relayDelay/2).Seconds(),
	}
	for _, b := range c.buckets {
		if b.limited {
			b.setCapacity(c.settings, c.delay)
		}
	}
}

// addPeer returns the state of another VM, or nil if there are too many.
func (c *Core) addPeer(now types.Instant, vm types.VM) *peer {
	if p := c.peers[vm]; p != nil {
		return p
	}
	if len(c.peers) >= maxPeers {
		return nil
	}
	p := &peer{heardAt: now, near: c.near[vm], counters: make([]peerCounter, len(c.buckets))}
	c.peers[vm] = p
	return p
}

// Heard takes the report of another VM.
func (c *Core) Heard(now types.Instant, r Report) {
	if r.VM == c.settings.VM || r.VM == "" {
		return
	}
	p := c.addPeer(now, r.VM)
	if p == nil || r.Incarnation < p.incarnation {
		return
	}
	switch {
	case p.heard && r.Incarnation > p.incarnation:
		// The process has restarted: its counters begin at zero, and nothing is kept for the former one.
		c.release(now, p)
		known := now.Sub(p.heardAt) < releaseTime
		for i := range p.counters {
			p.counters[i] = peerCounter{known: known, spent: p.counters[i].spent}
		}
	case p.silent:
		c.resume(now, p)
	}
	if r.Incarnation > p.incarnation {
		p.leaving = false
	}
	c.relay(now, p, r)
	// The reports with the load of a VM don't tell that it leaves, and a forwarded report may arrive after a later direct one.
	p.incarnation, p.heard, p.heardAt, p.leaving = r.Incarnation, true, now, p.leaving || r.Leaving
	p.promise = min(max(r.Next, 0), silentTime)
	for _, counter := range r.Counters {
		if b := c.byHash[counter.Customer]; b != nil && b.limited {
			c.count(now, p, b, counter)
			if r.Levels && !b.settled {
				c.adoptLevel(now, b, counter.Level)
			}
		}
	}
}

// count takes a counter of another VM. An older one than the last is ignored.
func (c *Core) count(now types.Instant, p *peer, b *bucket, n Counter) {
	k := &p.counters[b.index]
	if n.Used < k.used || n.Rejected < k.rejected || (k.known && (n.Used-k.used > maxIncrease || n.Rejected-k.rejected > maxIncrease)) {
		return
	}
	used, rejected := float64(n.Used-k.used), float64(n.Rejected-k.rejected)
	first := !k.known && !(b.settled && n.Used <= firstRequests)
	k.used, k.rejected, k.known = n.Used, n.Rejected, true
	if first || (used == 0 && rejected == 0 && k.kept == 0) {
		return
	}
	b.refill(now, c.share(b, now))
	b.level += k.kept
	k.kept = 0
	b.take(used, c.settings.Window)
	demand := &b.far
	if p.near {
		demand = &b.near
	}
	demand.add(now, used+rejected, demandTime)
	k.spent.add(now, used, shareTime)
	p.spent.add(now, used, shareTime)
	b.total.add(now, used, shareTime)
}

// adoptLevel lets a VM that starts continue from the level of another one.
func (c *Core) adoptLevel(now types.Instant, b *bucket, level int64) {
	b.settled = true
	b.refilledAt = now
	b.level = max(min(float64(level), b.capacity), -b.limit.Rate*c.settings.Window.Seconds()-1)
}

// sweep looks for VMs that have become silent, and for those that have been silent for long.
func (c *Core) sweep(now types.Instant) {
	if now.Sub(c.sweptAt) < sweepInterval || !c.started {
		return
	}
	c.sweptAt = now
	var fresh []*peer
	c.heard, c.silent, c.far = 0, 0, 0
	for _, p := range c.peers {
		if !p.near {
			c.far++
		}
		switch {
		case p.silent:
			c.silent++
		case now.Sub(p.heardAt) >= c.silenceOf(p):
			p.silent = true
			c.silent++
			if p.leaving {
				p.released = true
			} else {
				fresh = append(fresh, p)
			}
		default:
			c.heard++
		}
	}
	if 2*(c.heard+1) >= c.size() {
		c.halfHeardAt = now
	}
	c.minority = now.Sub(c.halfHeardAt) >= minorityTime
	c.freezeAll(now, fresh)
	c.expire(now)
	c.estimateLate(now)
}

// estimateLate estimates what VMs whose reports are late may have admitted of the customers that are near their limits: their shares
// of what there was when they were last heard, and of what came since. It covers the time until such a VM counts as silent.
func (c *Core) estimateLate(now types.Instant) {
	c.nearLimit = false
	for _, b := range c.buckets {
		b.late = 0
		if !b.limited {
			continue
		}
		b.refill(now, c.share(b, now))
		b.remember(now)
		if b.nearLimitAt == 0 || now.Sub(b.nearLimitAt) > nearLimitTime {
			continue
		}
		c.nearLimit = true
		for _, p := range c.peers {
			if since := now.Sub(p.heardAt); !p.near && !p.silent && c.isActive(p) && since > c.lateAfter(p) {
				before := b.stateAt(p.heardAt)
				share := c.shareOf(p, b, before)
				b.late += share*max(0, before.level) + b.refilled(share, now, p.heardAt, before)
			}
		}
	}
}

// isActive reports whether the next report of a VM is expected within a few intervals.
func (c *Core) isActive(p *peer) bool {
	return p.promise > 0 || p.spent.when(p.heardAt, shareTime) >= activeRate
}

// lateAfter returns when a report of a VM in another data centre is late.
func (c *Core) lateAfter(p *peer) time.Duration {
	if p.promise > 0 {
		return p.promise + farLatency + c.relayDelay
	}
	return calmFactor*c.fleet.FarInterval + farLatency + c.relayDelay
}

// silenceOf returns after how long without a report a VM is silent.
func (c *Core) silenceOf(p *peer) time.Duration {
	long := max(silentTime, 5*RefreshEvery(c.size())/2)
	if p.near {
		return long
	}
	if p.promise > 0 {
		return min(long, missedIntervals*p.promise+silenceMargin+c.relayDelay)
	}
	if c.isActive(p) {
		missed := missedIntervals
		if c.nearLimit {
			missed--
		}
		return min(long, time.Duration(missed)*calmFactor*c.fleet.FarInterval+silenceMargin+c.relayDelay)
	}
	return long
}

// expire releases the shares of VMs that have been silent for releaseTime. Only a VM that hears more than half of the fleet may do
// that; see docs/design/quota.md. It forgets VMs for which nothing is kept and that are not listed.
func (c *Core) expire(now types.Instant) {
	if c.silent == 0 {
		return
	}
	majority := 2*(c.heard+1) > c.size()
	for vm, p := range c.peers {
		if p.silent && !p.released && majority && now.Sub(p.heardAt) >= releaseTime {
			c.release(now, p)
			p.silent, p.released = true, true
		}
		if p.released && !p.listed {
			delete(c.peers, vm)
		}
	}
}

// freezeAll keeps the shares of VMs that have just become silent.
func (c *Core) freezeAll(now types.Instant, fresh []*peer) {
	for _, p := range fresh {
		for _, b := range c.buckets {
			c.freeze(now, p, b)
		}
	}
}

// shareOf returns the share of another VM in the admissions of a customer, as of its last report.
func (c *Core) shareOf(p *peer, b *bucket, then snapshot) float64 {
	equal := 1 / float64(c.size())
	if !p.heard {
		return equal
	}
	spent := p.counters[b.index].spent.when(p.heardAt, shareTime)
	return (1-idleShare)*min(1, (spent+unknownRate*equal)/(then.total+unknownRate)) + idleShare*equal
}

// freeze keeps the share of one customer for a silent VM. The tokens that it may have used since its last report are taken from the
// level, and its part of the former level is set aside for it.
func (c *Core) freeze(now types.Instant, p *peer, b *bucket) {
	before := b.stateAt(p.heardAt)
	share := min(c.shareOf(p, b, before), max(0, 1-b.frozen))
	b.refill(now, c.share(b, now))
	aside := max(0, before.level) * share
	b.level -= aside + b.refilled(share, now, p.heardAt, before)
	b.frozen += share
	k := &p.counters[b.index]
	k.frozen, k.kept = share, aside
}

// resume gives a VM that is heard again its part back. What it has used meanwhile is counted with its next counter, together with
// what was kept for it, because the share covers it.
func (c *Core) resume(now types.Instant, p *peer) {
	for _, b := range c.buckets {
		k := &p.counters[b.index]
		if k.frozen > 0 {
			k.kept += b.limit.Rate * k.frozen * now.Sub(p.heardAt).Seconds()
		}
	}
	c.unfreeze(now, p)
}

// release ends the share of a silent VM and what was kept for it.
func (c *Core) release(now types.Instant, p *peer) {
	for i := range p.counters {
		p.counters[i].kept = 0
	}
	c.unfreeze(now, p)
}

func (c *Core) unfreeze(now types.Instant, p *peer) {
	p.silent, p.released = false, false
	for _, b := range c.buckets {
		k := &p.counters[b.index]
		if k.frozen > 0 {
			b.refill(now, c.share(b, now))
			b.frozen = max(0, b.frozen-k.frozen)
			k.frozen = 0
		}
	}
}
