package fleettest

import (
	"testing"

	standinstore "sequoiasail.example/standin/store"
)

// Guards against keys that stop being served, or move, because the store does not answer.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t)
	owners, leases := f.owners(), f.leases()
	f.storeFaults(standinstore.Faults{Down: true})
	// The grants at the targets last 700 ms, and the permit from the last answer of the store 500 ms. A fleet that
	// lives on these serves nothing after three rounds of all keys with a pause of a whole grant before each.
	l := f.startLoad(f.vms...)
	for range 3 {
		f.pauseForGrant()
		f.awaitServed(f.vms...)
	}
	replies := l.stop()
	f.storeFaults(standinstore.Faults{})
	f.Equal(f.owners(), owners)
	f.Equal(f.leases(), leases)
	f.awaitServed(f.vms...)
	f.audit(replies)
}

// Guards against a write that is repeated, or a fleet that stands still, because the answer of the store was lost.
func TestLostAnswersOfTheStore(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	const lostAnswers = 3
	f.storeFaults(standinstore.Faults{LoseAnswers: lostAnswers})
	lost := f.holder()
	lost.dispatcher.abort() // what follows is written while answers are lost
	f.eventually("the leases moved", func() bool {
		for _, lease := range f.leases() {
			if lease.Holder.VM == lost.name {
				return false
			}
		}
		return true
	})
	f.awaitServed(f.vms...)
	f.audit(l.stop())
}

// Guards against a gateway that cannot serve because it started while the store was down.
func TestGatewayStartsDuringOutage(t *testing.T) {
	f := startFleet(t)
	late := f.vms[len(f.vms)-1]
	f.NoErr(late.gateway.stop())
	f.storeFaults(standinstore.Faults{Down: true})
	late.gateway.start()
	f.awaitServed(late)
	f.storeFaults(standinstore.Faults{})
	f.awaitServed(late)
	f.audit(nil)
}
