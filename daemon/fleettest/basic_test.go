package fleettest

import "testing"

// Guards against a fleet that does not come up, or that answers requests with the answers of others.
func TestFleetServesEveryKey(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	f.awaitServed(f.vms...)
	replies := l.stop()
	f.True(len(replies) > 0)
	f.audit(replies)
}
