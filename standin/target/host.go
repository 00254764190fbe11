package target

import (
	"context"
	"net"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/standin/httpserve"
	"sequoiasail.example/standin/loop"
	"sequoiasail.example/types"
)

// Started names a target and the address it listens on.
type Started struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// host starts the targets of one process.
type host struct {
	group     *duty.Group
	listeners []net.Listener
	control   control
}

// Start adds and starts the duties of the listed targets, and of the control page when its address is not empty. When
// one can't start, none runs.
func Start(ctx context.Context, g *duty.Group, list []Settings, controlAddress string) ([]Started, error) {
	h := &host{group: g}
	if err := h.start(ctx, list, controlAddress); err != nil {
		h.close()
		return nil, err
	}
	started := make([]Started, 0, len(list))
	for _, t := range h.control.targets {
		started = append(started, t.started)
	}
	return started, nil
}

func (h *host) start(ctx context.Context, list []Settings, controlAddress string) error {
	for _, s := range list {
		if err := h.add(ctx, s); err != nil {
			return err
		}
	}
	if controlAddress != "" {
		l, err := httpserve.Listen(ctx, controlAddress)
		if err != nil {
			return err
		}
		h.listeners = append(h.listeners, l)
		h.group.Add(httpserve.Duty("http-control", l, h.control.routes(), nil))
	}
	return h.group.Start(ctx)
}

// add registers the duties of one target.
func (h *host) add(ctx context.Context, s Settings) error {
	if err := s.Validate(); err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "target %s/%s", s.Service, s.Name)
	}
	gate, err := newGate(ctx, s.Listen, s.Connections)
	if err != nil {
		return err
	}
	h.listeners = append(h.listeners, gate)
	now := time.Now()
	front := &server{in: ring.New[message](ringCapacity)}
	state := newState(now, s, types.Incarnation(now.UnixMilli()), gate.Fail)
	name := s.Service + "/" + s.Name
	h.group.Add(httpserve.Duty("http-"+name, gate, front.routes(), front.number))
	h.group.Add(front.stateDuty("state-"+name, state))
	started := Started{Service: s.Service, Name: s.Name, Address: gate.address}
	h.control.targets = append(h.control.targets, hosted{started: started, server: front})
	return nil
}

// close closes the listeners of targets that were not started.
func (h *host) close() {
	for _, l := range h.listeners {
		_ = l.Close()
	}
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
