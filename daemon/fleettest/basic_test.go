package fleettest

import "testing"

// Guards against a fleet that does not start, and against answers that belong to other requests.
func TestFleetServesEveryKey(t *testing.T) {
	f := startFleet(t)
	l := f.startLoad(f.vms...)
	f.awaitServed(f.vms...)
	replies := l.stop()
	f.True(len(replies) > 0)
	f.audit(replies)
}
