package placement

import (
	"cmp"
	"slices"
	"strings"

	"sequoiasail.example/types"
)

func (c *Core) installDispatchers(m *Dispatchers) {
	c.listNumber++
	c.dispatchers = append(c.dispatchers[:0], m.Rows...)
	slices.SortFunc(c.dispatchers, func(a, b Dispatcher) int { return cmp.Compare(a.VM, b.VM) })
}

func (s *service) installLeases(m *Leases) {
	for _, r := range m.Rows {
		i := s.intern(r.Target)
		if i == NoOwner {
			continue
		}
		t := &s.targets[i]
		if t.vm != r.VM {
			t.vm = r.VM
			t.leaseSet = 0
		}
	}
}

// dispatcherState returns the state of the dispatcher on vm. One that is not listed is lost.
func (c *Core) dispatcherState(vm types.VM) State {
	i, found := slices.BinarySearchFunc(c.dispatchers, vm, func(d Dispatcher, vm types.VM) int {
		return strings.Compare(string(d.VM), string(vm))
	})
	if !found {
		return StateLost
	}
	return c.dispatchers[i].State
}

// PreferredDispatcher returns the first live dispatcher of the data centre by rendezvous hashing. Each VM that joins
// or leaves changes the choice for one target in n only.
func PreferredDispatcher(target types.TargetID, centre types.DataCentre, all []Dispatcher) (types.VM, bool) {
	var best types.VM
	var bestScore uint64
	found := false
	key := target.String()
	for _, d := range all {
		if d.State.leaving() || d.DataCentre != centre {
			continue
		}
		score := types.RendezvousScore(key, string(d.VM))
		if !found || score > bestScore {
			best, bestScore, found = d.VM, score, true
		}
	}
	return best, found
}

// planLeases proposes dispatchers for targets whose dispatcher is lost, leaving or not the preferred one. Changes for
// targets that are served are bounded.
func (c *Core) planLeases(now types.Instant, s *service, out []Action) []Action {
	budget := MaxLeaseMoves
	for i := range s.targets {
		t := &s.targets[i]
		if t.state == StateLost || (t.leaseSet != 0 && now.Sub(t.leaseSet) < MoveTimeout) {
			continue
		}
		reason := c.leaseReason(t.vm)
		if reason != ReasonLost && budget == 0 {
			continue
		}
		vm := c.preferred(s, t)
		if vm == "" || vm == t.vm {
			continue
		}
		if reason != ReasonLost {
			budget--
		}
		t.leaseSet = now
		out = append(out, Action{
			Kind: ActionMoveLease, Service: s.name, Target: t.name, FromVM: t.vm, ToVM: vm, Reason: reason,
		})
	}
	return out
}

// preferred returns the target's first dispatcher, or "" if its data centre has none. The hashes are computed once for
// each list of dispatchers.
func (c *Core) preferred(s *service, t *target) types.VM {
	if t.preferredFor != c.listNumber {
		t.preferredFor = c.listNumber
		t.preferred, _ = PreferredDispatcher(types.TargetID{Service: s.name, Target: t.name}, t.centre, c.dispatchers)
	}
	return t.preferred
}

func (c *Core) leaseReason(vm types.VM) Reason {
	if vm == "" {
		return ReasonFree
	}
	switch c.dispatcherState(vm) {
	case StateLost:
		return ReasonLost
	case StateDraining:
		return ReasonDraining
	}
	return ReasonPreferred
}
