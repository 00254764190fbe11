package target

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/standin/internal/httpserve"
	"sequoiasail.example/standin/internal/loop"
	"sequoiasail.example/types"
)

// Started names a target and the address it listens on.
type Started struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Start adds and starts the duties of the listed targets. When one can't start, none runs.
func Start(ctx context.Context, g *duty.Group, list []Settings) ([]Started, error) {
	started := make([]Started, 0, len(list))
	gates := make([]*gate, 0, len(list))
	for _, s := range list {
		gate, err := add(ctx, g, s)
		if err != nil {
			closeAll(gates)
			return nil, err
		}
		gates = append(gates, gate)
		started = append(started, Started{Service: s.Service, Name: s.Name, Address: gate.address})
	}
	return started, g.Start(ctx)
}

func closeAll(gates []*gate) {
	for _, g := range gates {
		_ = g.Close()
	}
}

// add registers the duties of one target.
func add(ctx context.Context, g *duty.Group, s Settings) (*gate, error) {
	if err := s.Validate(); err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "target %s/%s", s.Service, s.Name)
	}
	gate, err := newGate(ctx, s.Listen, s.Connections)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	front := &server{in: ring.New[message](ringCapacity)}
	state := newState(now, s, types.Incarnation(now.UnixMilli()), gate.Fail)
	name := s.Service + "/" + s.Name
	g.Add(httpserve.Duty("http-"+name, gate, front.routes(), front.number))
	g.Add(front.stateDuty("state-"+name, state))
	return gate, nil
}

// stateDuty stops after the requests that run have ended.
func (s *server) stateDuty(name string, state *state) duty.Duty {
	d := loop.Duty(name, s.in, state)
	d.Stop = func(ctx context.Context) error {
		_, err := s.ask(ctx, message{kind: kindStop})
		s.in.Close()
		return err
	}
	return d
}
