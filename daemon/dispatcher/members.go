package dispatcher

import (
	"maps"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// roster turns registrations and operators' decisions into the member list of the ownership core. It is used by the
// store-watch duty only. A process whose registration has ended stays in the list as expired until a newer process of
// its VM registers, because its leases must be taken over.
type roster struct {
	// known holds all processes that were registered and not yet replaced.
	known map[ownership.Peer]ownership.Member
	// addresses holds the last registration of each VM. The quorum group works on without registrations, which
	// all expire in a long outage of the store.
	addresses     map[types.VM]process.Peer
	ops           *process.Operations
	registrations []process.Member
}

func newRoster() *roster {
	return &roster{
		known:     make(map[ownership.Peer]ownership.Member),
		addresses: make(map[types.VM]process.Peer),
	}
}

// update applies c and reports whether the member list may have changed.
func (r *roster) update(c process.Change) bool {
	if c.Ops != nil {
		r.ops = c.Ops
	}
	if c.Members != nil {
		r.registrations = c.Members
	}
	return c.Ops != nil || c.Members != nil
}

// members returns the members for the ownership core. A replaced process is returned once more, as terminated.
func (r *roster) members() []ownership.Member {
	newest := make(map[types.VM]types.Incarnation)
	registered := make(map[ownership.Peer]bool)
	for _, m := range r.registrations {
		if m.Role != process.RoleDispatcher {
			continue
		}
		p := ownership.Peer{VM: m.VM, Incarnation: m.Incarnation}
		registered[p] = true
		newest[m.VM] = max(newest[m.VM], m.Incarnation)
		r.known[p] = ownership.Member{Peer: p, DataCentre: m.DataCentre, State: r.memberState(m)}
	}
	out := make([]ownership.Member, 0, len(r.known))
	for p, m := range r.known {
		if !registered[p] {
			m.State = ownership.MemberExpired
		}
		if newest[p.VM] > p.Incarnation {
			m.State = ownership.MemberTerminated
			delete(r.known, p)
		}
		out = append(out, m)
	}
	return out
}

func (r *roster) memberState(m process.Member) ownership.MemberState {
	if m.Leaving || r.ops.VMState(m.VM) != config.OpsIn || r.ops.DataCentreState(m.DataCentre) != config.OpsIn {
		return ownership.MemberLeaving
	}
	return ownership.MemberLive
}

// peers returns the last known addresses of the other dispatchers.
func (r *roster) peers(self types.VM) []process.Peer {
	for _, m := range r.registrations {
		if m.Role == process.RoleDispatcher && m.VM != self {
			r.addresses[m.VM] = process.Peer{VM: m.VM, Incarnation: m.Incarnation, Address: m.PeerAddress}
		}
	}
	return slices.Collect(maps.Values(r.addresses))
}

// peerMembers returns the registered dispatchers, among which the second dispatcher of a target is chosen.
func (r *roster) peerMembers() []member {
	var out []member
	for _, m := range r.registrations {
		if m.Role == process.RoleDispatcher {
			out = append(out, member{vm: m.VM, dataCentre: m.DataCentre})
		}
	}
	return out
}
