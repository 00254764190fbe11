package target

import (
	"slices"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// grantState is the newest grant that the target has accepted, and the tokens that it has issued. A grant permits one
// lease epoch to send requests for some slots until it expires.
type grantState struct {
	base        time.Time // tokens count nanoseconds from here
	incarnation types.Incarnation
	// issuedToken is the newest token issued, acceptedToken the newest one that a call used.
	issuedToken   uint64
	acceptedToken uint64
	// highestEpoch is the highest lease epoch accepted. A crash resets it.
	highestEpoch types.Epoch
	// slots are the hash slots of the grant. Keys in except are not part of it, keys in hot are, whatever their slot.
	slots  []target.SlotRange
	except map[types.KeyHash]bool
	hot    map[types.KeyHash]bool
	// ended is true once the grant of highestEpoch has ended.
	ended  bool
	expiry time.Time
}

// issueToken returns a token that is newer than all issued before.
func (g *grantState) issueToken(now time.Time) target.GrantResponse {
	g.issuedToken = max(g.issuedToken+1, uint64(now.Sub(g.base)))
	return target.GrantResponse{Token: g.issuedToken, Incarnation: g.incarnation}
}

// authorize accepts a call or returns the reason to refuse it. ttl counts from the issue of the token.
func (g *grantState) authorize(now time.Time, a target.Fencing, ttl time.Duration) *types.Fault {
	if a.LeaseEpoch < g.highestEpoch {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", a.LeaseEpoch, g.highestEpoch)
	}
	if a.LeaseEpoch == g.highestEpoch && g.hasEnded(now) {
		return types.NewFault(types.CodeNotLeaseHolder, "the grant of lease epoch %d has ended", a.LeaseEpoch)
	}
	tokenValid := a.Token > g.acceptedToken && a.Token <= g.issuedToken && a.Incarnation == g.incarnation
	if !tokenValid || !now.Before(g.expiryOf(a.Token, ttl)) {
		return types.NewFault(types.CodeStaleToken, "token %d is missing, used, expired or of another incarnation", a.Token)
	}
	g.acceptedToken = a.Token
	if a.LeaseEpoch > g.highestEpoch {
		g.highestEpoch = a.LeaseEpoch
		g.ended = false
		g.expiry = time.Time{}
	}
	return nil
}

// expiryOf returns the end of a grant whose ttl counts from the issue of a token.
func (g *grantState) expiryOf(token uint64, ttl time.Duration) time.Time {
	return g.base.Add(time.Duration(token)).Add(ttl)
}

// grant replaces the slots and sets a new expiry.
func (g *grantState) grant(now time.Time, r target.GrantRequest) *types.Fault {
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
	g.expiry = g.expiryOf(r.Token, r.TTL)
	return nil
}

// renew sets a new expiry and keeps the slots.
func (g *grantState) renew(now time.Time, r target.RenewRequest) *types.Fault {
	if r.LeaseEpoch > g.highestEpoch {
		return types.NewFault(types.CodeNotLeaseHolder, "no grant of lease epoch %d", r.LeaseEpoch)
	}
	if f := g.authorize(now, r.Fencing, r.TTL); f != nil {
		return f
	}
	g.expiry = g.expiryOf(r.Token, r.TTL)
	return nil
}

// releaseTTL bounds the age of the token of a release.
const releaseTTL = time.Minute

// release ends the grant.
func (g *grantState) release(now time.Time, r target.ReleaseRequest) *types.Fault {
	if f := g.authorize(now, r.Fencing, releaseTTL); f != nil {
		return f
	}
	g.ended = true
	return nil
}

// hasEnded reports whether the grant of highestEpoch was released or has expired. A grant that has ended is never valid
// again.
func (g *grantState) hasEnded(now time.Time) bool {
	if g.highestEpoch > 0 && g.expired(now) {
		g.ended = true
	}
	return g.ended
}

func (g *grantState) expired(now time.Time) bool { return !now.Before(g.expiry) }

// checkStart returns a fault unless a request that starts now has a valid grant.
func (g *grantState) checkStart(now time.Time, keyed bool, r request) *types.Fault {
	if r.leaseEpoch < g.highestEpoch {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", r.leaseEpoch, g.highestEpoch)
	}
	if r.leaseEpoch > g.highestEpoch {
		return types.NewFault(types.CodeNotLeaseHolder, "no grant of lease epoch %d", r.leaseEpoch)
	}
	return g.checkHeld(now, keyed, r)
}

// checkHeld returns a fault unless the grant is valid and contains the request's key.
func (g *grantState) checkHeld(now time.Time, keyed bool, r request) *types.Fault {
	if g.highestEpoch == 0 || g.hasEnded(now) {
		return types.NewFault(types.CodeNotLeaseHolder, "grant has ended")
	}
	return g.checkSlot(keyed, r)
}

// checkCompletion returns a fault unless a running request may still take effect. It accepts a released grant until its
// expiry, because a release waits for the running requests.
func (g *grantState) checkCompletion(now time.Time, keyed bool, r request) *types.Fault {
	if g.expired(now) {
		return types.NewFault(types.CodeNotLeaseHolder, "grant has expired")
	}
	return g.checkSlot(keyed, r)
}

func (g *grantState) checkSlot(keyed bool, r request) *types.Fault {
	if keyed && !g.contains(r) {
		return types.NewFault(types.CodeNotLeaseHolder, "slot %d is not in the grant", r.slot)
	}
	return nil
}

// contains reports whether the key of a request is part of the grant.
func (g *grantState) contains(r request) bool {
	hash := types.HashKey(r.key)
	if g.hot[hash] {
		return true
	}
	return !g.except[hash] && inRanges(g.slots, r.slot)
}

func inRanges(ranges []target.SlotRange, s types.Slot) bool {
	return slices.ContainsFunc(ranges, func(r target.SlotRange) bool {
		return s >= r.Start && uint64(s) < uint64(r.Start)+uint64(r.Count)
	})
}
