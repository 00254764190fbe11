package edge

import (
	"os"

	"sequoiasail.example/platform"
	"sequoiasail.example/settings"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// Descriptors that the VM needs for its own connections, whatever it serves.
const (
	// ownDescriptors is for the listeners, the store and the runtime, of which about 20 are open in operation, and readyConnections.
	ownDescriptors = 40
	// readyConnections is the number of those that readiness checks and readers of metrics may use.
	readyConnections = 16
	// minNeighbourDescriptors is for questions by and to other VMs.
	minNeighbourDescriptors = 16
	neighbourShare          = 32
	// minTargetDescriptors is a connection for each sender and a few that are kept.
	minTargetDescriptors = senderCount + 16
	targetShare          = 4
	minClientDescriptors = 32
)

// descriptorShares divides the descriptors for sockets among their purposes. A share of 0 has no limit.
type descriptorShares struct{ own, neighbours, targets, clients int }

// mirrorConnections returns how many connections other VMs may have to this one, 0 for no limit. The other quarter of the neighbours'
// share is for questions to them.
func (d descriptorShares) mirrorConnections() int { return d.neighbours * 3 / 4 }

// divideDescriptors returns the shares of a number of descriptors, 0 for no limit. It fails if they don't suffice for the VM's own
// connections.
func divideDescriptors(sockets int) (d descriptorShares, err error) {
	if sockets == 0 {
		return d, nil
	}
	d.own = ownDescriptors
	d.neighbours = minNeighbourDescriptors + sockets/neighbourShare
	left := max(0, sockets-d.own-d.neighbours-minTargetDescriptors)
	d.targets = minTargetDescriptors + left/targetShare
	d.clients = sockets - d.own - d.neighbours - d.targets
	if d.clients < minClientDescriptors {
		return d, types.NewFault(types.CodeBadSettings,
			"%d descriptors besides those of files do not suffice: %d for this VM, %d for other VMs, %d for targets and %d for callers",
			sockets, d.own, d.neighbours, d.targets, minClientDescriptors)
	}
	return d, nil
}

// checkDescriptors returns the fault of settings with too few descriptors as settings.Problems.
func checkDescriptors(s platform.Settings) error {
	if _, err := divideDescriptors(s.Sockets); err != nil {
		var p settings.Problems
		p.Add(types.CodeBadSettings, "limits.max_fds", "%s", err.Error())
		return p
	}
	return nil
}

// idleTargetConnections returns the budget of the idle connections to targets: their share without a connection for each sender.
func (e *Edge) idleTargetConnections() *forward.Budget {
	if e.descriptors.targets == 0 {
		return nil
	}
	idle := forward.NewBudget(int64(e.descriptors.targets - senderCount))
	e.metrics.Gauge("sail_target_connections_idle_left", func() float64 { return float64(idle.Left()) })
	return idle
}

// addDescriptorMetrics adds the size of each share and the use of those that the daemon bounds.
func (e *Edge) addDescriptorMetrics() {
	for name, n := range map[string]int{
		"own": e.descriptors.own, "neighbours": e.descriptors.neighbours, "targets": e.descriptors.targets, "callers": e.server.MaxConnections,
	} {
		e.metrics.Gauge(`sail_descriptors_limit{share="`+name+`"}`, func() float64 { return float64(n) })
	}
	e.metrics.Gauge("sail_descriptors_open", func() float64 {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			return 0
		}
		return float64(len(list))
	})
}
