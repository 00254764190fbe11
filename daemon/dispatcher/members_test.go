package dispatcher

import (
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

func statesOf(r *roster) map[ownership.Peer]ownership.MemberState {
	out := map[ownership.Peer]ownership.MemberState{}
	for _, m := range r.members() {
		out[m.Peer] = m.State
	}
	return out
}

func registered(list ...process.Member) process.Change { return process.Change{Members: list} }

// Guards against dropping a process from the member list when its registration expires: its leases would not be taken
// over.
func TestProcessWithExpiredRegistrationStaysListed(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	first := ownership.Peer{VM: testVM, Incarnation: 1}
	r.update(registered(testMember(testVM, 1), testMember(nextVM, 1)))
	is.Equal(statesOf(r)[first], ownership.MemberLive)
	r.update(registered(testMember(nextVM, 1)))
	is.Equal(statesOf(r)[first], ownership.MemberExpired)
	is.Equal(statesOf(r)[first], ownership.MemberExpired) // reading the states does not change them
	r.update(registered(testMember(testVM, 1), testMember(nextVM, 1)))
	is.Equal(statesOf(r)[first], ownership.MemberLive)
}

// Guards against waiting for the permit of a process that no longer runs, because its VM runs a newer one.
func TestReplacedIncarnationIsTerminated(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	old, newer := ownership.Peer{VM: testVM, Incarnation: 1}, ownership.Peer{VM: testVM, Incarnation: 2}
	r.update(registered(testMember(testVM, 1)))
	r.members()
	r.update(registered(testMember(testVM, 2)))
	states := statesOf(r)
	is.Equal(states[old], ownership.MemberTerminated)
	is.Equal(states[newer], ownership.MemberLive)
	_, known := statesOf(r)[old]
	is.True(!known) // a terminated process is reported once
}

// Guards against assigning leases to a process that is stopping or that operators have taken out of service.
func TestLeavingProcesses(t *testing.T) {
	stopping := testMember(testVM, 1)
	stopping.Leaving = true
	for name, c := range map[string]process.Change{
		"planned stop": registered(stopping),
		"VM taken out": {
			Members: []process.Member{testMember(testVM, 1)},
			Ops:     &process.Operations{VMs: map[types.VM]config.OpsState{testVM: config.OpsOut}},
		},
		"data centre taken out": {
			Members: []process.Member{testMember(testVM, 1)},
			Ops:     &process.Operations{DataCentres: map[types.DataCentre]config.OpsState{testCentre: config.OpsOut}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			is.True(r.update(c))
			is.Equal(statesOf(r)[ownership.Peer{VM: testVM, Incarnation: 1}], ownership.MemberLeaving)
			is.True(r.update(process.Change{Ops: &process.Operations{}})) // put back into service
			if name != "planned stop" {
				is.Equal(statesOf(r)[ownership.Peer{VM: testVM, Incarnation: 1}], ownership.MemberLive)
			}
		})
	}
}

// Guards against closing the links of the quorum group when all registrations expire in an outage of the store.
func TestLinksSurviveRegistrations(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	gateway := testMember("dc-a-vm3", 1)
	gateway.Role = process.RoleGateway
	r.update(registered(testMember(testVM, 1), testMember(nextVM, 1), gateway))
	is.Equal(len(r.peers(testVM)), 1) // neither itself nor gateways
	r.update(registered())
	peers := r.peers(testVM)
	is.Equal(len(peers), 1)
	is.Equal(peers[0].VM, nextVM)
	is.True(!r.update(process.Change{}))
}
