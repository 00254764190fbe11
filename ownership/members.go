package ownership

import "sequoiasail.example/types"

// members is the last reported list of dispatcher processes, which may be out of date.
type members struct {
	list []Member
	// newest holds the newest incarnation of each VM.
	newest map[types.VM]Member
	// liveSince is when each process was first reported live.
	liveSince map[Peer]types.Instant
	// declaredLost holds the data centres that the operators declared lost.
	declaredLost map[types.DataCentre]bool
}

func newMembers() members {
	return members{
		newest:       make(map[types.VM]Member),
		liveSince:    make(map[Peer]types.Instant),
		declaredLost: make(map[types.DataCentre]bool),
	}
}

// set replaces the list and records the time for processes that became live.
func (m *members) set(now types.Instant, list []Member) {
	m.list = list
	clear(m.newest)
	for _, x := range list {
		if have, ok := m.newest[x.VM]; !ok || have.Incarnation < x.Incarnation {
			m.newest[x.VM] = x
		}
	}
	for p := range m.liveSince {
		if !m.live(p) {
			delete(m.liveSince, p)
		}
	}
	for _, x := range list {
		if _, ok := m.liveSince[x.Peer]; !ok && m.live(x.Peer) {
			m.liveSince[x.Peer] = now
		}
	}
}

// state returns the state of p. A process that is not listed counts as expired.
func (m *members) state(p Peer) MemberState {
	x, ok := m.newest[p.VM]
	switch {
	case !ok:
		return MemberExpired
	case m.declaredLost[x.DataCentre], x.Incarnation > p.Incarnation:
		return MemberTerminated
	case x.Incarnation < p.Incarnation:
		return MemberExpired
	}
	return x.State
}

// live reports whether p may be assigned leases and group memberships.
func (m *members) live(p Peer) bool { return m.state(p) == MemberLive }

// dataCentre returns the data centre of a VM, empty when the VM is not listed.
func (m *members) dataCentre(vm types.VM) types.DataCentre { return m.newest[vm].DataCentre }
