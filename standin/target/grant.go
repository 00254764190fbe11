package target

import (
	"slices"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// grants is what the target knows about who may give it orders.
type grants struct {
	base        time.Time // tokens are times since then
	incarnation types.Incarnation
	// issued is the newest token, accepted the newest that a call used.
	issued   uint64
	accepted uint64
	// highest is the highest lease epoch accepted. A crash forgets it.
	highest types.Epoch
	slots   []target.SlotRange
	except  map[types.KeyHash]bool
	hot     map[types.KeyHash]bool
	// ended is true once the grant of the highest epoch has ended.
	ended bool
	end   time.Time
}

// issue returns a token that is newer than all before.
func (g *grants) issue(now time.Time) target.GrantResponse {
	g.issued = max(g.issued+1, uint64(now.Sub(g.base)))
	return target.GrantResponse{Token: g.issued, Incarnation: g.incarnation}
}

// authorize accepts a call or returns why not. ttl counts from the issue of the token.
func (g *grants) authorize(now time.Time, a target.Fencing, ttl time.Duration) *types.Fault {
	if a.LeaseEpoch < g.highest {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", a.LeaseEpoch, g.highest)
	}
	if a.LeaseEpoch == g.highest && g.over(now) {
		return types.NewFault(types.CodeNotLeaseHolder, "the grant of lease epoch %d has ended", a.LeaseEpoch)
	}
	fresh := a.Token > g.accepted && a.Token <= g.issued && a.Incarnation == g.incarnation
	if !fresh || !now.Before(g.endOf(a.Token, ttl)) {
		return types.NewFault(types.CodeStaleToken, "token %d is missing, used, expired or of another incarnation", a.Token)
	}
	g.accepted = a.Token
	if a.LeaseEpoch > g.highest {
		g.highest = a.LeaseEpoch
		g.ended = false
		g.end = time.Time{}
	}
	return nil
}

func (g *grants) endOf(token uint64, ttl time.Duration) time.Time {
	return g.base.Add(time.Duration(token)).Add(ttl)
}

// grant replaces the slots and extends the grant.
func (g *grants) grant(now time.Time, r target.GrantRequest) *types.Fault {
	if f := g.authorize(now, r.Fencing, r.TTL); f != nil {
		return f
	}
	g.slots = slices.Clone(r.Slots)
	g.except = make(map[types.KeyHash]bool, len(r.Except))
	for _, hash := range r.Except {
		g.except[hash] = true
	}
	g.hot = make(map[types.KeyHash]bool, len(r.HotKeys))
	for _, k := range r.HotKeys {
		g.hot[k.Hash] = true
	}
	g.end = g.endOf(r.Token, r.TTL)
	return nil
}

// renew extends the grant.
func (g *grants) renew(now time.Time, r target.RenewRequest) *types.Fault {
	if r.LeaseEpoch > g.highest {
		return types.NewFault(types.CodeNotLeaseHolder, "no grant of lease epoch %d", r.LeaseEpoch)
	}
	if f := g.authorize(now, r.Fencing, r.TTL); f != nil {
		return f
	}
	g.end = g.endOf(r.Token, r.TTL)
	return nil
}

// releaseTTL bounds the age of the token of a release.
const releaseTTL = time.Minute

// release ends the grant.
func (g *grants) release(now time.Time, r target.ReleaseRequest) *types.Fault {
	if f := g.authorize(now, r.Fencing, releaseTTL); f != nil {
		return f
	}
	g.ended = true
	return nil
}

// over reports whether the grant of the highest epoch has ended. A grant that ended never returns.
func (g *grants) over(now time.Time) bool {
	if g.highest > 0 && g.expired(now) {
		g.ended = true
	}
	return g.ended
}

func (g *grants) expired(now time.Time) bool { return !now.Before(g.end) }

// check returns the fault of a request that starts now without a valid grant.
func (g *grants) check(now time.Time, keyed bool, r request) *types.Fault {
	if r.leaseEpoch < g.highest {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", r.leaseEpoch, g.highest)
	}
	if r.leaseEpoch > g.highest {
		return types.NewFault(types.CodeNotLeaseHolder, "no grant of lease epoch %d", r.leaseEpoch)
	}
	return g.holds(now, keyed, r)
}

// holds returns a fault unless the grant is valid and contains the request's key.
func (g *grants) holds(now time.Time, keyed bool, r request) *types.Fault {
	if g.highest == 0 || g.over(now) {
		return types.NewFault(types.CodeNotLeaseHolder, "grant has ended")
	}
	return g.covers(keyed, r)
}

// mayEnd returns a fault unless a request that runs may still take effect. A release waits for such requests.
func (g *grants) mayEnd(now time.Time, keyed bool, r request) *types.Fault {
	if g.expired(now) {
		return types.NewFault(types.CodeNotLeaseHolder, "grant has expired")
	}
	return g.covers(keyed, r)
}

func (g *grants) covers(keyed bool, r request) *types.Fault {
	if keyed && !g.contains(r) {
		return types.NewFault(types.CodeNotLeaseHolder, "slot %d is not in the grant", r.slot)
	}
	return nil
}

func (g *grants) contains(r request) bool {
	hash := types.HashKey(r.key)
	if g.hot[hash] {
		return true
	}
	return !g.except[hash] && inRuns(g.slots, r.slot)
}

func inRuns(runs []target.SlotRange, s types.Slot) bool {
	return slices.ContainsFunc(runs, func(r target.SlotRange) bool {
		return s >= r.Start && uint64(s) < uint64(r.Start)+uint64(r.Count)
	})
}
