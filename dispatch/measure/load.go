package measure

import (
	"slices"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/types"
)

// fleet describes the simulated targets of one run and the service they run.
type fleet struct {
	service         types.Service
	keyed           bool
	targets         int
	slots           int // concurrent requests per target
	meanServiceTime time.Duration
	coldStart       time.Duration // ramp of the core for cold targets, 0 for none
	queueLimit      int           // queued requests per class
}

// capacity returns the maximum throughput of all targets together, in requests per second.
func (f fleet) capacity() float64 { return float64(f.targets*f.slots) / f.meanServiceTime.Seconds() }

func (f fleet) targetID(n int) types.TargetID {
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
		s.Targets = append(s.Targets, config.Target{Name: f.targetID(n).Target, Slots: f.slots})
	}
	return &config.Configuration{Version: 1, Services: []config.Service{s}}
}

// buildSim returns a new simulation with the fleet's targets.
func (f fleet) buildSim(random dispatch.Random) *sim {
	s := newSim(random)
	for n := range f.targets {
		s.targets[f.targetID(n)] = newTarget(f.targetID(n), f.slots, f.meanServiceTime)
	}
	return s
}

// useCorePolicy makes the dispatch core under test serve the targets, which are warm. Target n owns slot n of a keyed
// service.
func (f fleet) useCorePolicy(s *sim) *corePolicy {
	p := newCorePolicy(s, f.configuration())
	s.policy = p
	p.acquireLeases(1, true)
	for n := range f.targets {
		row := dispatch.SlotRow{Slot: types.Slot(n), Epoch: 1}
		p.step(dispatch.Message{Kind: dispatch.MessageSlotOwned, Target: f.targetID(n), Slot: row})
	}
	return p
}

// lookupRequest returns an idempotent request for the n-th target.
func (f fleet) lookupRequest(s *sim, n int, timeout time.Duration) dispatch.Request {
	return dispatch.Request{
		ID: "l", Caller: types.Caller(rune('a' + s.intn(20))), Target: f.targetID(n), Slot: types.Slot(n), Idempotent: true,
		Key: types.KeyHash(s.random.Uint64()), Deadline: s.now.Add(timeout), LeaseEpoch: 1, SlotEpoch: 1, WallMs: s.wallMs(),
	}
}

// percentile returns the value below which the given share of the samples lies. It sorts the samples.
func percentile(samples []time.Duration, share float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(int(share*float64(len(samples))), len(samples)-1)]
}
