package admission

import (
	"testing"
	"time"

	"sequoiasail.example/catalog"
	"sequoiasail.example/keyspace"
	"sequoiasail.example/types"
)

// newOrderFleet returns a fleet that sends orders of 610 ms to targets without keys, which differ in speed and are three times
// slower for a fifth of the time.
func newOrderFleet(vms, targets int, reportInterval time.Duration) *fleetSimulation {
	s := newFleetSimulation(vms, targets)
	s.route = &catalog.Route{
		Name: "orders", Timeout: 5 * time.Second, LatencyObjective: 1500 * time.Millisecond, Priority: 1, MaxAttempts: 2,
		Backends: []catalog.WeightedService{{Service: "orders", Weight: 1}},
	}
	s.workTime, s.reportInterval, s.deadline = 610*time.Millisecond, reportInterval, 10*time.Second
	s.speedChange = func() {
		for i, t := range s.targets {
			t.slowness = []float64{0.6, 1, 1.4}[i%3]
			if s.random.IntN(5) == 0 {
				t.slowness *= 3
			}
		}
	}
	var listings []catalog.Listing
	for i := range targets {
		l := listing("orders", string(simName(i)), []string{"a", "b", "c"}[i%3])
		l.Slots = simTargetSlots
		listings = append(listings, l)
	}
	for i, c := range s.cores {
		s.step(c, Services{Services: map[types.Service]catalog.Service{"orders": {Name: "orders", MaxConnections: 580}}})
		s.step(c, Targets{Targets: listings})
		peers := Peers{ReportInterval: reportInterval}
		for k, o := range s.cores {
			peers.VMs = append(peers.VMs, types.VM(o.settings.VM))
			if k != i && k%3 == i%3 {
				peers.Neighbours = append(peers.Neighbours, types.VM(o.settings.VM))
			}
		}
		s.step(c, peers)
	}
	return s
}

// shareInTime logs the outcomes and returns the share of the ended requests that were answered in time.
func (s *fleetSimulation) shareInTime(t *testing.T) float64 {
	t.Helper()
	t.Logf("%d arrived, %d in time, %d late, %d refused, %d rejected by targets", s.arrived, s.inTime, s.late, s.refused, s.rejected)
	return float64(s.inTime) / float64(s.inTime+s.late+s.refused)
}

// Guards against VMs of a large fleet that all choose the same targets between two reports of each other, so that requests queue
// there while other targets are idle. Reproduces steam-order of zcsp-brana-large at a smaller scale: less than half of the slots
// are needed, and reports come every 150 ms.
func TestVMsDoNotChooseAlikeBetweenReports(t *testing.T) {
	s := newOrderFleet(117, 108, 150*time.Millisecond)
	s.run(12*time.Second, 0.42*108*simTargetSlots/(0.61*1.4), func() keyspace.Key { return 0 })
	// With reports every 5 ms the share is 0.89: some targets are too slow for any request.
	if share := s.shareInTime(t); share < 0.85 {
		t.Errorf("%.3f of the requests were answered in time", share)
	}
}

// Guards against a small fleet that gives up the fastest target although it knows of all requests: reports come within 25 ms.
func TestSmallFleetChoosesTheFastestTarget(t *testing.T) {
	s := newOrderFleet(9, 8, 25*time.Millisecond)
	s.run(20*time.Second, 0.3*8*simTargetSlots/(0.61*1.4), func() keyspace.Key { return 0 })
	if share := s.shareInTime(t); share < 0.85 {
		t.Errorf("%.3f of the requests were answered in time", share)
	}
}
