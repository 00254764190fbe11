package ownership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// faultInjector injects random faults into a sim. The sim checks that no two targets own a slot, that no two
// dispatchers may send to one target and that every row written to the store is a valid successor of the stored row;
// endFaults checks that all slots are served once the faults have ended.
type faultInjector struct {
	t *rapid.T
	s *sim
}

func (c faultInjector) duration(label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 4000).Draw(c.t, label)) * time.Millisecond
}

func (c faultInjector) process() *process {
	return c.s.processes[rapid.IntRange(0, len(c.s.processes)-1).Draw(c.t, "vm")]
}

func (c faultInjector) target() *fakeTarget {
	targets := c.s.cfg.Services[0].Targets
	t := targets[rapid.IntRange(0, len(targets)-1).Draw(c.t, "target")]
	return c.s.targets[types.TargetID{Service: c.s.cfg.Services[0].Name, Target: t.Name}]
}

func (c faultInjector) share() float64 { return float64(rapid.IntRange(0, 5).Draw(c.t, "share")) / 10 }

func (c faultInjector) restartVM() {
	p := c.process()
	if p = c.s.process(p.VM); !p.down {
		c.s.stop(p.VM)
	}
	p.State = MemberTerminated
	c.s.start(p.VM, p.DataCentre, p.Incarnation+1)
}

func (c faultInjector) restartAll() {
	for _, p := range slices.Clone(c.s.processes) {
		if p.State == MemberLive {
			c.s.stop(p.VM)
			p.State = MemberTerminated
			c.s.start(p.VM, p.DataCentre, p.Incarnation+1)
		}
	}
}

func (c faultInjector) move() {
	from, to := c.target(), c.target()
	m := Moves{Service: "mapa", Moves: []Move{{
		First: types.Slot(rapid.IntRange(0, 15).Draw(c.t, "slot")), Count: 4, From: from.id.Target, To: to.id.Target,
	}}}
	for _, p := range c.s.processes {
		c.s.step(p, Message{Kind: KindMoves, Moves: m})
	}
}

func (c faultInjector) hotKey() {
	var keys []types.KeyHash
	if rapid.Bool().Draw(c.t, "hot") {
		keys = []types.KeyHash{3, 17}
	}
	from, to := c.target(), c.target()
	for _, p := range c.s.processes {
		c.s.step(p, Message{Kind: KindHotKeys, HotKeys: HotKeys{Service: "mapa", Keys: keys}})
		c.s.step(p, Message{Kind: KindMoves, Moves: Moves{Service: "mapa", Moves: []Move{
			{Key: 3, From: from.id.Target, To: to.id.Target},
		}}})
	}
}

func (c faultInjector) changeScope() {
	next := *c.s.cfg
	next.Services = slices.Clone(c.s.cfg.Services)
	next.Services[0].Scope = rapid.SampledFrom([]config.GroupScope{config.ScopeAll, config.ScopeDataCentre}).Draw(c.t, "scope")
	c.s.cfg = &next
	for _, p := range c.s.processes {
		if rapid.Bool().Draw(c.t, "receives configuration") {
			c.s.step(p, Message{Kind: KindConfiguration, Configuration: &next})
		}
	}
}

// fault injects one random fault and runs for a random time before the next.
func (c faultInjector) fault() {
	s := c.s
	switch rapid.IntRange(0, 15).Draw(c.t, "fault") {
	case 0:
		c.target().frozenUntil = s.now.Add(c.duration("freeze"))
	case 1:
		c.target().restart()
	case 2:
		t := c.target()
		t.down = !t.down
	case 3:
		c.restartVM()
	case 4:
		c.process().pausedUntil = s.now.Add(c.duration("pause"))
	case 5:
		vm := c.process().VM
		s.cutStore[vm] = !s.cutStore[vm]
	case 6:
		dc := c.process().DataCentre
		s.cutOff(dc, !s.cutStoreDC[dc])
	case 7:
		s.storeDown = !s.storeDown
	case 8:
		s.loseCAS = c.share()
	case 9:
		s.loseCall = c.share()
	case 10:
		s.slowCall = c.share()
	case 11:
		s.planners = rapid.IntRange(0, 3).Draw(c.t, "planners")
	case 12:
		s.setDrift(0.03)
	case 13:
		c.move()
	case 14:
		c.hotKey()
	case 15:
		rapid.SampledFrom([]func(){c.restartAll, c.changeScope}).Draw(c.t, "all")()
	}
	s.run(c.duration("time to next fault"))
}

// endFaults ends all faults and checks that all slots are served again within 20 s.
func (c faultInjector) endFaults() {
	s := c.s
	s.storeDown, s.loseCAS, s.loseCall, s.slowCall, s.planners = false, 0, 0, 0, 1
	clear(s.cut)
	clear(s.cutStore)
	clear(s.cutStoreDC)
	for _, t := range s.targets {
		t.down = false
	}
	for _, p := range s.processes {
		s.step(p, Message{Kind: KindConfiguration, Configuration: s.cfg})
	}
	s.run(20 * time.Second)
	if n := s.served(); n != int(s.cfg.Services[0].Slots) {
		for _, l := range s.log[max(0, len(s.log)-40):] {
			c.t.Log(l)
		}
		c.t.Fatalf("%d slots are served after the faults ended", n)
	}
}

// Guards against two owners, a lost assignment, a decreasing epoch or a slot that stays unserved after any sequence
// and combination of faults.
func TestConformance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scope := rapid.SampledFrom([]config.GroupScope{config.ScopeAll, config.ScopeDataCentre}).Draw(t, "scope")
		cfg := testConfig(scope, 16, 4, "a", "b")
		s := newSim(t, rapid.Int64().Draw(t, "seed"), cfg, rapid.IntRange(1, 3).Draw(t, "vms"))
		c := faultInjector{t, s}
		s.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			c.fault()
		}
		c.endFaults()
	})
}
