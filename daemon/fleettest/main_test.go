// Package fleettest starts small fleets of real gateways and dispatchers inside the test process, on loopback with
// stand-in targets and a stand-in store, and makes their parts fail.
//
// A test waits for a condition until its own deadline and then checks invariants, so its verdict does not depend on how
// fast the machine is. FLEETTEST_LOGS names a directory for the logs of all processes.
package fleettest

import (
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
