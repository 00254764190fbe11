// Package fleettest starts small fleets of real gateways and dispatchers inside the test process, on loopback with
// stand-in targets and a stand-in store, and injects faults into them.
//
// A test waits for a condition until the test's deadline and then checks invariants, so that its result does not depend on
// the speed of the machine. The environment variable FLEETTEST_LOGS names a directory for the logs of all processes.
package fleettest

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
