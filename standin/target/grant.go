package target

import (
	"slices"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// grants is what the target knows about who may give it orders.
type grants struct {
	base time.Time // times in tokens count from here
	// highest is the highest lease epoch seen. A crash forgets it.
	highest types.Epoch
	slots   []target.SlotRun
	hot     map[types.KeyHash]bool // true when owned, false when owned elsewhere
	// started is false until the grant has a time to live.
	started bool
	end     time.Time
}

// grant replaces the slots. A lower epoch is refused, and so is an expired grant of the same epoch.
func (g *grants) grant(now time.Time, r target.GrantRequest) *types.Fault {
	if r.LeaseEpoch < g.highest {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", r.LeaseEpoch, g.highest)
	}
	if r.LeaseEpoch > g.highest {
		g.highest = r.LeaseEpoch
		g.started = false
	}
	if g.expired(now) {
		return types.NewFault(types.CodeNotHolder, "grant of lease epoch %d has expired", r.LeaseEpoch)
	}
	g.slots = slices.Clone(r.Slots)
	g.hot = make(map[types.KeyHash]bool, len(r.HotKeys))
	for _, k := range r.HotKeys {
		g.hot[k.Hash] = k.Owned
	}
	if r.TTL > 0 {
		g.extend(now.Add(r.TTL))
	}
	return nil
}

// renew extends the grant by r.TTL from the issue of the token.
func (g *grants) renew(now time.Time, incarnation types.Incarnation, r target.RenewRequest) *types.Fault {
	if r.LeaseEpoch < g.highest {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", r.LeaseEpoch, g.highest)
	}
	t, ok := parseToken(r.Token)
	if !ok || t.incarnation != incarnation || t.epoch != r.LeaseEpoch || r.LeaseEpoch != g.highest {
		return types.NewFault(types.CodeNotHolder, "token was not issued under lease epoch %d", r.LeaseEpoch)
	}
	end := g.base.Add(t.issued).Add(r.TTL)
	if g.expired(now) || !now.Before(end) {
		return types.NewFault(types.CodeNotHolder, "grant of lease epoch %d has expired", r.LeaseEpoch)
	}
	g.extend(end)
	return nil
}

// extend never shortens a grant: renewals may arrive out of order.
func (g *grants) extend(end time.Time) {
	if !g.started || end.After(g.end) {
		g.end = end
	}
	g.started = true
}

func (g *grants) expired(now time.Time) bool { return g.started && !now.Before(g.end) }

// release takes slots and hot keys from the grant.
func (g *grants) release(r target.ReleaseRequest) *types.Fault {
	if r.LeaseEpoch < g.highest {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", r.LeaseEpoch, g.highest)
	}
	for _, run := range r.Slots {
		g.slots = subtract(g.slots, run)
	}
	for _, hash := range r.HotKeys {
		g.hot[hash] = false
	}
	return nil
}

// subtract returns runs without the slots of cut.
func subtract(runs []target.SlotRun, cut target.SlotRun) []target.SlotRun {
	left := make([]target.SlotRun, 0, len(runs)+1)
	first, last := uint64(cut.Start), uint64(cut.Start)+uint64(cut.Count)
	for _, r := range runs {
		start, end := uint64(r.Start), uint64(r.Start)+uint64(r.Count)
		left = appendRun(left, start, min(end, first), r.Epoch)
		left = appendRun(left, max(start, last), end, r.Epoch)
	}
	return left
}

func appendRun(runs []target.SlotRun, start, end uint64, epoch types.Epoch) []target.SlotRun {
	if start >= end {
		return runs
	}
	return append(runs, target.SlotRun{Start: types.Slot(start), Count: uint32(end - start), Epoch: epoch})
}

// check returns the fault of a request that starts now without a valid grant.
func (g *grants) check(now time.Time, keyed bool, r request) *types.Fault {
	if r.leaseEpoch < g.highest {
		return types.NewFault(types.CodeStaleEpoch, "lease epoch %d is below %d", r.leaseEpoch, g.highest)
	}
	if r.leaseEpoch > g.highest {
		return types.NewFault(types.CodeNotHolder, "no grant of lease epoch %d", r.leaseEpoch)
	}
	return g.holds(now, keyed, r)
}

// holds returns a fault unless the grant is valid and contains the request's key.
func (g *grants) holds(now time.Time, keyed bool, r request) *types.Fault {
	if !g.started || g.expired(now) {
		return types.NewFault(types.CodeNotHolder, "grant has expired")
	}
	if keyed && !g.contains(r) {
		return types.NewFault(types.CodeNotHolder, "slot %d is not in the grant", r.slot)
	}
	return nil
}

func (g *grants) contains(r request) bool {
	if owned, ok := g.hot[types.HashKey(r.key)]; ok {
		return owned
	}
	return inRuns(g.slots, r.slot)
}

func inRuns(runs []target.SlotRun, s types.Slot) bool {
	return slices.ContainsFunc(runs, func(r target.SlotRun) bool {
		return s >= r.Start && uint64(s) < uint64(r.Start)+uint64(r.Count)
	})
}
