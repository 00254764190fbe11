package admission

import (
	"slices"

	"sequoiasail.example/types"
)

// peerReport is the last report of another VM.
type peerReport struct {
	inFlight   map[types.Target]int
	waiting    map[types.Target]int
	receivedAt types.Instant
}

// minFleetSize is the fleet size that is assumed until the other VMs are known.
const minFleetSize = 4

func (c *Core) fleetSize() int { return max(c.neighbours.scale(len(c.vms)), minFleetSize) }

func (c *Core) setPeers(now types.Instant, m Peers) {
	if c.isStarting(now) {
		for _, vm := range m.Neighbours {
			if _, reported := c.peerRequests[vm]; !reported && !slices.Contains(c.neighbours.listed, vm) {
				c.awaitedNeighbours[vm] = now
			}
		}
	}
	c.vms, c.reportInterval = m.VMs, m.ReportInterval
	c.neighbours.setListed(now, m.Neighbours)
	for vm := range c.peerRequests {
		if !slices.Contains(m.VMs, vm) && !slices.Contains(c.neighbours.living, vm) {
			c.dropPeerReport(vm)
		}
	}
	for vm := range c.awaitedNeighbours {
		if !slices.Contains(m.Neighbours, vm) {
			delete(c.awaitedNeighbours, vm)
		}
	}
}

// isStarting reports whether this VM has started less than coldStartDelay ago.
func (c *Core) isStarting(now types.Instant) bool { return now.Before(c.startedAt.Add(coldStartDelay)) }

// recordHeard notes that a neighbour reports to this VM. A neighbour reports only to the VMs that it knows, so that its requests
// before its first report are unknown here.
func (c *Core) recordHeard(now types.Instant, vm types.VM) {
	_, awaited := c.awaitedNeighbours[vm]
	_, reported := c.peerRequests[vm]
	if awaited || (!reported && c.isStarting(now)) {
		c.reportsCompleteAt = now.Add(coldWindow)
	}
	delete(c.awaitedNeighbours, vm)
	c.noteMajority(now)
	c.neighbours.hear(now, vm)
}

// noteMajority reports whether this VM hears most of its neighbours. While it does not, it may not know what they send.
func (c *Core) noteMajority(now types.Instant) bool {
	c.neighbours.expire(now)
	if c.neighbours.hearsMajority(now) {
		return true
	}
	c.reportsCompleteAt = now.Add(coldWindow)
	return false
}

// knowsColdSends reports whether this VM knows the requests that its neighbours have sent within coldWindow. Neighbours that
// start later wait for the reports of this one. A neighbour that has been listed for silentNeighbourDelay without a report is
// taken as down or cut off.
func (c *Core) knowsColdSends(now types.Instant) bool {
	if !c.noteMajority(now) || c.isStarting(now) || now.Before(c.reportsCompleteAt) {
		return false
	}
	for _, listedAt := range c.awaitedNeighbours {
		if now.Before(listedAt.Add(silentNeighbourDelay)) {
			return false
		}
	}
	return true
}

func (c *Core) applyPeerReport(now types.Instant, m PeerReport) {
	if m.VM == types.VM(c.settings.VM) {
		return
	}
	m = m.WithinLimits()
	c.recordHeard(now, m.VM)
	c.recordPeerSends(now, m)
	for _, s := range m.Samples {
		if t := c.targets[s.Target]; t != nil {
			t.applySample(now, s)
			c.noteSample(now, t, s, s.Load >= 0, 0)
		}
	}
	// The samples were taken while the requests of the former report were in flight.
	c.dropPeerReport(m.VM)
	c.peerRequests[m.VM] = peerReport{inFlight: m.InFlight, waiting: m.Waiting, receivedAt: now}
	c.countPeerReport(c.peerRequests[m.VM], 1)
	c.expirePeerReports(now)
	for _, s := range c.services {
		c.sendWaiting(now, s)
	}
}

// recordPeerSends records what another VM has sent since its last report: the increase of its requests in flight, and
// the requests that were answered.
func (c *Core) recordPeerSends(now types.Instant, m PeerReport) {
	sent := make(map[types.Target]int)
	for name, n := range m.InFlight {
		sent[name] += n
	}
	for name, n := range c.peerRequests[m.VM].inFlight {
		sent[name] -= n
	}
	for _, s := range m.Samples {
		sent[s.Target]++
	}
	for name, n := range sent {
		if t := c.knownTarget(name); t != nil && n > 0 {
			t.dataCentreSends.add(now, n)
			if s := c.services[t.Service]; s != nil {
				s.neighbourRate.add(now, n)
			}
		}
	}
}

// countPeerReport adds the requests of a report to those of their targets; sign -1 takes them away.
func (c *Core) countPeerReport(p peerReport, sign int) {
	for name, n := range p.inFlight {
		if t := c.targets[name]; t != nil {
			t.peerRequests += sign * n
		}
	}
	for name, n := range p.waiting {
		if t := c.targets[name]; t != nil {
			t.peerWaiting += sign * n
		}
	}
}

// dropPeerReport forgets the report of a VM.
func (c *Core) dropPeerReport(vm types.VM) {
	c.countPeerReport(c.peerRequests[vm], -1)
	delete(c.peerRequests, vm)
}

// expirePeerReports discards reports older than peerReportTTL.
func (c *Core) expirePeerReports(now types.Instant) {
	for vm, p := range c.peerRequests {
		if now.Sub(p.receivedAt) > peerReportTTL {
			c.dropPeerReport(vm)
		}
	}
}

// sumPeerReports adds up the requests of the other VMs for each target, after a change of the targets.
func (c *Core) sumPeerReports(now types.Instant) {
	c.expirePeerReports(now)
	for _, t := range c.targets {
		t.peerRequests, t.peerWaiting = 0, 0
	}
	for _, p := range c.peerRequests {
		c.countPeerReport(p, 1)
	}
}

// ReportPending reports whether the next Report has something new.
func (c *Core) ReportPending() bool { return len(c.changedTargets) > 0 || len(c.samples) > 0 }

// waitingByOwner counts the requests that wait for each owner of keys.
func (c *Core) waitingByOwner() map[types.Target]int {
	n := make(map[types.Target]int)
	for _, s := range c.services {
		if !s.Keyed {
			continue
		}
		for _, req := range s.waiting {
			n[s.ownerOf(req.key)]++
		}
	}
	return n
}

// Report returns this VM's requests in flight, those that wait for owners of keys, and its observations since the last
// call.
func (c *Core) Report() PeerReport {
	r := PeerReport{VM: types.VM(c.settings.VM), InFlight: make(map[types.Target]int), Samples: c.samples}
	for name, t := range c.targets {
		if t.ownInFlight > 0 {
			r.InFlight[name] = t.ownInFlight
		}
	}
	r.Waiting = c.waitingByOwner()
	clear(c.changedTargets)
	c.samples = nil
	return r
}
