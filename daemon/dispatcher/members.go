package dispatcher

import (
	"maps"
	"slices"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// roster turns registrations and operators' decisions into the member list of the ownership core. It is owned by the
// watch duty. A process that was registered once stays in the list as lost until a newer one of its VM registers,
// because its leases must be taken over.
type roster struct {
	known map[ownership.Peer]ownership.Member
	// addresses holds the last registration of each VM. The quorum group goes on without registrations, which all lapse
	// in a long outage of the store.
	addresses map[types.VM]process.Peer
	ops       *process.Operations
	list      []process.Member
}

func newRoster() *roster {
	return &roster{
		known:     make(map[ownership.Peer]ownership.Member),
		addresses: make(map[types.VM]process.Peer),
	}
}

// update applies c and reports whether the list may have changed.
func (r *roster) update(c process.Change) bool {
	if c.Ops != nil {
		r.ops = c.Ops
	}
	if c.Members != nil {
		r.list = c.Members
	}
	return c.Ops != nil || c.Members != nil
}

// members returns the list for the ownership core.
func (r *roster) members() []ownership.Member {
	newest := make(map[types.VM]types.Incarnation)
	registered := make(map[ownership.Peer]bool)
	for _, m := range r.list {
		if m.Role != process.RoleDispatcher {
			continue
		}
		p := ownership.Peer{VM: m.VM, Incarnation: m.Incarnation}
		registered[p] = true
		newest[m.VM] = max(newest[m.VM], m.Incarnation)
		r.known[p] = ownership.Member{Peer: p, DataCentre: m.DataCentre, State: r.stateOf(m)}
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

func (r *roster) stateOf(m process.Member) ownership.MemberState {
	if m.Leaving || r.ops.VMState(m.VM) != config.OpsIn || r.ops.DataCentreState(m.DataCentre) != config.OpsIn {
		return ownership.MemberLeaving
	}
	return ownership.MemberLive
}

// peers returns the other dispatchers to keep links to.
func (r *roster) peers(self types.VM) []process.Peer {
	for _, m := range r.list {
		if m.Role == process.RoleDispatcher && m.VM != self {
			r.addresses[m.VM] = process.Peer{VM: m.VM, Incarnation: m.Incarnation, Address: m.PeerAddress}
		}
	}
	return slices.Collect(maps.Values(r.addresses))
}

// rows returns the members for the choice of a second dispatcher.
func (r *roster) rows() []member {
	var out []member
	for _, m := range r.list {
		if m.Role == process.RoleDispatcher {
			out = append(out, member{vm: m.VM, dataCentre: m.DataCentre})
		}
	}
	return out
}
