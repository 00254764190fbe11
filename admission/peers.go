package admission

import (
	"slices"

	"sequoiasail.example/types"
)

// peerReport is the last report of another VM.
type peerReport struct {
	inFlight map[types.Target]int
	at       types.Instant
}

// leastFleet is assumed while the other VMs are not known yet.
const leastFleet = 4

func (c *Core) fleetSize() int { return max(len(c.vms), leastFleet) }

func (c *Core) setPeers(m Peers) {
	c.vms = m.VMs
	for vm := range c.peers {
		if !slices.Contains(m.VMs, vm) {
			delete(c.peers, vm)
		}
	}
	c.shareCold()
}

// shareCold divides the rate of cold targets. Without keys one VM, the same for all, sends all requests to a cold
// target; with keys each VM has an equal part.
func (c *Core) shareCold() {
	for _, t := range c.targets {
		s := c.services[t.Service]
		if s == nil {
			continue
		}
		t.cold.share = 1 / float64(c.fleetSize())
		if !s.Keyed {
			t.cold.share = 0
			if c.warmer(t) == types.VM(c.settings.VM) {
				t.cold.share = 1
			}
		}
	}
}

// warmer is the VM that may send requests to a cold target.
func (c *Core) warmer(t *target) types.VM {
	best, score := types.VM(""), uint64(0)
	for _, vm := range c.vms {
		if n := types.RendezvousScore(string(t.Target), string(vm)); best == "" || n > score {
			best, score = vm, n
		}
	}
	return best
}

func (c *Core) hear(now types.Instant, m PeerReport) {
	if m.VM == types.VM(c.settings.VM) {
		return
	}
	c.peers[m.VM] = peerReport{inFlight: m.InFlight, at: now}
	for _, s := range m.Samples {
		if t := c.targets[s.Target]; t != nil {
			t.observe(now, s)
		}
	}
	c.countPeers(now)
	for _, s := range c.services {
		c.serve(now, s)
	}
}

// countPeers adds up the requests of the other VMs. Reports that are too old count no longer.
func (c *Core) countPeers(now types.Instant) {
	for _, t := range c.targets {
		t.peers = 0
	}
	for vm, p := range c.peers {
		if now.Sub(p.at) > peerLife {
			delete(c.peers, vm)
			continue
		}
		for name, n := range p.inFlight {
			if t := c.targets[name]; t != nil {
				t.peers += n
			}
		}
	}
	c.shareCold()
}

// Changed reports whether Report has something new.
func (c *Core) Changed() bool { return len(c.changed) > 0 || len(c.samples) > 0 }

// Report returns this VM's requests under way and what it has observed since the last call.
func (c *Core) Report() PeerReport {
	r := PeerReport{VM: types.VM(c.settings.VM), InFlight: make(map[types.Target]int), Samples: c.samples}
	for name, t := range c.targets {
		if t.own > 0 {
			r.InFlight[name] = t.own
		}
	}
	clear(c.changed)
	c.samples = nil
	return r
}
