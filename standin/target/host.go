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

// Started is a started target and the address that it listens on.
type Started struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Address string `json:"address"`
}

// starter creates the targets of one process and their control page.
type starter struct {
	group     *duty.Group
	listeners []net.Listener
	control   control
}

// Start adds and starts the duties of the listed targets, and of the control page if its address is not empty. If one
// can't start, none runs.
func Start(ctx context.Context, g *duty.Group, list []Settings, controlAddress string) ([]Started, error) {
	st := &starter{group: g}
	if err := st.start(ctx, list, controlAddress); err != nil {
		st.close()
		return nil, err
	}
	started := make([]Started, 0, len(list))
	for _, t := range st.control.targets {
		started = append(started, t.started)
	}
	return started, nil
}

func (st *starter) start(ctx context.Context, list []Settings, controlAddress string) error {
	for _, s := range list {
		if err := st.add(ctx, s); err != nil {
			return err
		}
	}
	if controlAddress != "" {
		l, err := httpserve.Listen(ctx, controlAddress)
		if err != nil {
			return err
		}
		st.listeners = append(st.listeners, l)
		st.group.Add(httpserve.Duty("http-control", l, st.control.routes(), nil))
	}
	return st.group.Start(ctx)
}

// add adds the duties of one target to the group.
func (st *starter) add(ctx context.Context, s Settings) error {
	if err := s.Validate(); err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "target %s/%s", s.Service, s.Name)
	}
	listener, err := newCrashListener(ctx, s.Listen, s.Connections)
	if err != nil {
		return err
	}
	st.listeners = append(st.listeners, listener)
	now := time.Now()
	front := &server{in: ring.New[message](ringCapacity)}
	state := newState(now, s, types.Incarnation(now.UnixMilli()), listener.TakeDown)
	name := s.Service + "/" + s.Name
	st.group.Add(httpserve.Duty("http-"+name, listener, front.routes(), front.numberConnection))
	st.group.Add(front.stateDuty("state-"+name, state))
	started := Started{Service: s.Service, Name: s.Name, Address: listener.address}
	st.control.targets = append(st.control.targets, hostedTarget{started: started, server: front})
	return nil
}

// close closes the listeners of targets that were not started.
func (st *starter) close() {
	for _, l := range st.listeners {
		_ = l.Close()
	}
}

// stateDuty returns the duty that owns the state. Its Stop waits for the running requests.
func (s *server) stateDuty(name string, state *state) duty.Duty {
	d := loop.Duty(name, s.in, state)
	d.Stop = func(ctx context.Context) error {
		_, err := s.ask(ctx, message{kind: kindStop})
		s.in.Close()
		return err
	}
	return d
}
