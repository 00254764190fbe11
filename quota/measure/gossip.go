package measure

import (
	"time"

	"sequoiasail.example/quota"
	"sequoiasail.example/types"
)

const (
	// forwardedBytes is the size of the fixed fields of a forwarded report: name of the VM (8 characters), incarnation, flags and
	// promise.
	forwardedBytes = 26
	// maxForwardBytes is the size of a datagram of forwarded reports.
	maxForwardBytes = 1200
)

// Gossip is a VM that runs the core of package quota.
type Gossip struct {
	sim         *Sim
	index       int
	incarnation types.Incarnation
	Core        *quota.Core
	random      uniform
	// changed holds the counters for the next report to the neighbours.
	changed           map[quota.CustomerHash]quota.Counter
	nearAt, refreshAt types.Instant
	nearInterval      time.Duration
	// vms is the number of listed VMs.
	vms int
}

// NewGossip returns a VM whose process starts with the given incarnation.
func NewGossip(s *Sim, index, incarnation int) *Gossip {
	g := &Gossip{sim: s, index: index, incarnation: types.Incarnation(incarnation), random: uniform{s.source(uint64(index) + 1 + uint64(incarnation)<<32)}, changed: make(map[quota.CustomerHash]quota.Counter)}
	g.Core = quota.New(quota.Settings{
		VM: vmName(index), Incarnation: g.incarnation, Window: window, Overshoot: overshoot, Slack: slack,
	}, g.random)
	g.SetLimits()
	// VMs start at different times of their intervals.
	offset := time.Duration(g.random.intN(int(time.Second)))
	g.nearAt, g.refreshAt = s.Now().Add(offset/10), s.Now().Add(offset)
	return g
}

// SetLimits passes the customers' limits to the core.
func (g *Gossip) SetLimits() {
	limits := make(quota.Limits)
	for _, c := range g.sim.Customers {
		if c.Limit.Rate > 0 {
			limits[c.Name] = c.Limit
		}
	}
	g.Core.SetLimits(g.sim.Now(), limits)
}

// SetFleet passes a list of the first n VMs to the core.
func (g *Gossip) SetFleet(n int) {
	f := quota.Fleet{Relays: g.sim.relays(g.index, n)}
	for i := range n {
		f.VMs = append(f.VMs, vmName(i))
		if g.sim.Near(i, g.index) && i != g.index {
			f.Neighbours = append(f.Neighbours, vmName(i))
		}
	}
	g.nearInterval = 25 * time.Millisecond * time.Duration(max(1, n/30))
	f.NearInterval, f.FarInterval = g.nearInterval, quota.FarInterval(n)
	g.vms = n
	g.Core.SetFleet(g.sim.Now(), f)
}

// Arrive implements VM.
func (g *Gossip) Arrive(now types.Instant, customer int) bool {
	d := g.Core.Admit(now, g.sim.Customers[customer].Name)
	if d.Admitted {
		g.changed[d.Counter.Customer] = d.Counter
	}
	return d.Admitted
}

// Receive implements VM.
func (g *Gossip) Receive(now types.Instant, _ int, message any) {
	for _, r := range message.([]quota.Report) {
		g.Core.Heard(now, r)
	}
}

// Tick implements VM.
func (g *Gossip) Tick(now types.Instant) {
	if now >= g.nearAt && len(g.changed) > 0 {
		g.nearAt = now.Add(g.nearInterval)
		r := quota.Report{VM: vmName(g.index), Incarnation: g.incarnation}
		for _, n := range g.changed {
			r.Counters = append(r.Counters, n)
		}
		clear(g.changed)
		// The counters are part of load reports, which are sent anyway.
		g.send(r, true, false, -datagramBytes)
	}
	if g.Core.NextReport(now) <= 0 {
		r := g.Core.Report(now)
		g.send(r, false, true, 0)
	}
	if g.Core.NextForward(now) <= 0 {
		g.forward(g.Core.Forward(now))
	}
	if now >= g.refreshAt && g.Core.NextRefresh(now) <= 0 {
		for _, r := range g.Core.Refresh(now) {
			g.send(r, true, true, 0)
		}
	}
}

// send sends a report to the neighbours, to the relays of the other data centres, or to both.
func (g *Gossip) send(r quota.Report, near, far bool, extra int) {
	if near {
		g.sendNear([]quota.Report{r}, ReportBytes(r)+extra)
	}
	if !far {
		return
	}
	for dataCentre := range min(g.sim.DataCentres, g.vms) {
		if g.sim.Near(dataCentre, g.index) {
			continue
		}
		for _, to := range g.sim.relayIndexes(dataCentre, g.vms) {
			g.sim.Send(g.index, to, []quota.Report{r}, ReportBytes(r)+extra)
		}
	}
}

func (g *Gossip) sendNear(reports []quota.Report, bytes int) {
	for to := range g.sim.VMs {
		if to != g.index && g.sim.Near(to, g.index) {
			g.sim.Send(g.index, to, reports, bytes)
		}
	}
}

// forward sends forwarded reports to the neighbours, in datagrams of at most maxForwardBytes.
func (g *Gossip) forward(reports []quota.Report) {
	first, bytes := 0, datagramBytes
	for i, r := range reports {
		size := ReportBytes(r) - datagramBytes + forwardedBytes
		if i > first && bytes+size > maxForwardBytes {
			g.sendNear(reports[first:i], bytes)
			first, bytes = i, datagramBytes
		}
		bytes += size
	}
	if first < len(reports) {
		g.sendNear(reports[first:], bytes)
	}
}

// relayIndexes returns the relays of a VM's data centre in a list of the first n VMs.
func (s *Sim) relayIndexes(vm, n int) (list []int) {
	for i := vm % s.DataCentres; i < n && len(list) < quota.RelaysPerDataCentre; i += s.DataCentres {
		list = append(list, i)
	}
	return list
}

func (s *Sim) relays(vm, n int) (list []types.VM) {
	for _, i := range s.relayIndexes(vm, n) {
		list = append(list, vmName(i))
	}
	return list
}

// ReportBytes returns the size of a report in a datagram: each counter is three or four numbers, which CBOR writes in 1 to 9 bytes.
func ReportBytes(r quota.Report) int {
	n := datagramBytes
	for _, c := range r.Counters {
		n += numberBytes(uint64(c.Customer)) + numberBytes(c.Used) + numberBytes(c.Rejected)
		if r.Levels {
			n += numberBytes(uint64(max(c.Level, -c.Level)))
		}
	}
	return n
}

func numberBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	default:
		return 9
	}
}

// StartGossip adds n VMs that know each other.
func (s *Sim) StartGossip(n int) {
	for i := range n {
		s.VMs = append(s.VMs, NewGossip(s, i, 1))
	}
	for _, vm := range s.VMs {
		vm.(*Gossip).SetFleet(n)
	}
}
