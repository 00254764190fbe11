package ownership

import (
	"sequoiasail.example/config"
	"sequoiasail.example/types"
)

// env is the state that the roles of one core share: identity, configuration, time, table copy, members and output.
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

func (e *env) logDecision(d Decision) { e.emit(Action{Kind: ActDecision, Decision: d}) }

// service returns the configuration of a service, nil when it is not configured.
func (e *env) service(name types.Service) *config.Service {
	for i := range e.cfg.Services {
		if e.cfg.Services[i].Name == name {
			return &e.cfg.Services[i]
		}
	}
	return nil
}

// target returns the configuration of a target, nil when it is not configured.
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

// ownGroup returns the quorum group of this data centre. Every dispatcher of the data centre sends it confirmation
// requests, and its members suspect dispatchers whose requests stop.
func (e *env) ownGroup() GroupKey { return GroupOf(config.ScopeDataCentre, e.self.DataCentre) }

// parts returns the number of slot documents of a service.
func parts(s *config.Service) uint16 {
	if !s.Keyed {
		return 0
	}
	return uint16((s.Slots + SlotsPerDocument - 1) / SlotsPerDocument)
}

// majority returns the size of the smallest majority of n members.
func majority(n int) int { return n/2 + 1 }

// blockingSize returns the smallest number of members out of n without which the others are no majority. It is less
// than a majority when n is even: of two members one is enough, so that the survivor of two can act without the other.
func blockingSize(n int) int { return n - majority(n) + 1 }
