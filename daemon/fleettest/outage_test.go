package fleettest

import (
	"testing"

	standinstore "sequoiasail.example/standin/store"
)

// Guards against keys that are not served or move to another target because the store is unavailable.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t)
	owners, leases := f.owners(), f.leases()
	f.storeFaults(standinstore.Faults{Down: true})
	// The grants at the targets last 700 ms, and the permit from the last answer of the store 500 ms. A fleet that cannot
	// renew them serves nothing in these three rounds of all keys, each after a pause of a whole grant.
	l := f.startLoad(f.vms...)
	for range 3 {
		f.waitGrantTTL()
		f.awaitServed(f.vms...)
	}
	replies := l.stop()
	f.storeFaults(standinstore.Faults{})
	f.Equal(f.owners(), owners)
	f.Equal(f.leases(), leases)
	f.awaitServed(f.vms...)
	f.audit(replies)
}

// Guards against writes that are applied twice, and against a fleet that makes no progress, after answers of the store were
// lost.
func TestLostStoreAnswers(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	const lostAnswers = 3
	f.storeFaults(standinstore.Faults{LoseAnswers: lostAnswers})
	crashed := f.leaseHolder()
	crashed.dispatcher.abort() // makes other processes write to the store while answers are lost
	f.eventually("the leases moved", func() bool {
		for _, lease := range f.leases() {
			if lease.Holder.VM == crashed.name {
				return false
			}
		}
		return true
	})
	f.awaitServed(f.vms...)
	f.audit(l.stop())
}

// Guards against a gateway that cannot serve because it started while the store was unavailable.
func TestGatewayStartsDuringOutage(t *testing.T) {
	f := startFleet(t)
	restarted := f.vms[len(f.vms)-1]
	f.NoErr(restarted.gateway.stop())
	f.storeFaults(standinstore.Faults{Down: true})
	restarted.gateway.start()
	f.awaitServed(restarted)
	f.storeFaults(standinstore.Faults{})
	f.awaitServed(restarted)
	f.audit(nil)
}
