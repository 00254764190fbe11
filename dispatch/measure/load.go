package measure

import (
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// fleet describes the targets of one run.
type fleet struct {
	service    types.Service
	keyed      bool
	targets    int
	slots      int
	mean       time.Duration
	coldStart  time.Duration
	queueLimit int
}

// capacity returns the requests per second that all targets finish together.
func (f fleet) capacity() float64 { return float64(f.targets*f.slots) / f.mean.Seconds() }

func (f fleet) id(n int) types.TargetID {
	return types.TargetID{Service: f.service, Target: types.Target(rune('a' + n))}
}

func (f fleet) configuration() *config.Configuration {
	s := config.Service{
		Name: f.service, Keyed: f.keyed, Slots: uint32(f.targets),
		Limits: config.Limits{ColdStartMs: f.coldStart.Milliseconds(), RetryShare: 0.1},
	}
	for _, class := range []types.Class{types.ClassConfirmation, types.ClassLookup, types.ClassOrder} {
		policy := config.ClassPolicy{Class: class.String(), QueueLimit: f.queueLimit}
		if !class.Idempotent() {
			policy.RememberMs = 600_000
		}
		s.Classes = append(s.Classes, policy)
	}
	for n := range f.targets {
		s.Targets = append(s.Targets, config.Target{Name: f.id(n).Target, Slots: f.slots})
	}
	return &config.Configuration{Version: 1, Services: []config.Service{s}}
}

// build adds the fleet's targets to a new simulation.
func (f fleet) build(random dispatch.Random) *sim {
	s := newSim(random)
	for n := range f.targets {
		s.targets[f.id(n)] = newTarget(f.id(n), f.slots, f.mean)
	}
	return s
}

// useCore puts the product's core in charge of warm targets. Target n owns slot n of a keyed service.
func (f fleet) useCore(s *sim) *corePolicy {
	p := newCorePolicy(s, f.configuration())
	s.policy = p
	p.serve(1, true)
	for n := range f.targets {
		row := dispatch.SlotRow{Slot: types.Slot(n), Epoch: 1}
		p.step(dispatch.Message{Kind: dispatch.MessageSlotOwned, Target: f.id(n), Slot: row})
	}
	return p
}

// lookup returns an idempotent request for the n-th target.
func (f fleet) lookup(s *sim, n int, timeout time.Duration) dispatch.Request {
	return dispatch.Request{
		ID: "l", Caller: types.Caller(rune('a' + s.intn(20))), Target: f.id(n), Slot: types.Slot(n), Idempotent: true,
		Key: types.KeyHash(s.random.Uint64()), Deadline: s.now.Add(timeout), LeaseEpoch: 1, SlotEpoch: 1, WallMs: s.wallMs(),
	}
}

// percentile returns the value below which share of the samples lie. It sorts the samples.
func percentile(samples []time.Duration, share float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(int(share*float64(len(samples))), len(samples)-1)]
}
