package ownership

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// env is what the roles of one core share: who and when it is, the table copy, the members and the output.
type env struct {
	self    Self
	cfg     *config.Configuration
	timing  timing
	table   Table
	members members
	// planner is true while this process holds the planner lease.
	planner bool
	now     types.Instant
	out     []Action
}

func (e *env) emit(a Action) { e.out = append(e.out, a) }

func (e *env) decide(d Decision) { e.emit(Action{Kind: ActDecision, Decision: d}) }

// service returns the configured service, nil when it is not configured.
func (e *env) service(name types.Service) *config.Service {
	for i := range e.cfg.Services {
		if e.cfg.Services[i].Name == name {
			return &e.cfg.Services[i]
		}
	}
	return nil
}

// target returns the configured target, nil when it is not configured.
func (e *env) target(id types.TargetID) *config.Target {
	s := e.service(id.Service)
	if s == nil {
		return nil
	}
	for i := range s.Targets {
		if s.Targets[i].Name == id.Target {
			return &s.Targets[i]
		}
	}
	return nil
}

// ownGroup is the group that hears every dispatcher of this data centre and suspects those it does not hear.
func (e *env) ownGroup() GroupKey { return GroupOf(config.ScopeDataCentre, e.self.DataCentre) }

// parts returns the number of slot documents of a service.
func parts(s *config.Service) uint16 {
	if !s.Keyed {
		return 0
	}
	return uint16((s.Slots + SlotsPerDocument - 1) / SlotsPerDocument)
}

// majority returns how many of n members are a majority.
func majority(n int) int { return n/2 + 1 }

// blocking returns how many of n members are needed so that the others are no majority. It is less than a majority when
// n is even: of two members one is enough, so that the survivor of two can be heard without the other.
func blocking(n int) int { return n - majority(n) + 1 }
