package soak

import (
	"context"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform/standin"
	"sequoiasail.example/ring"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/soak/link"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// place is an address at which targets live, one after the other. The operator owns it.
type place struct {
	link     *link.Link
	settings standin.TargetSettings
	events   *ring.Ring[any]
	// group holds the duties of the present life; nil when nothing lives here.
	group *duty.Group
	born  time.Time
	// busy is true from the beginning of a change to its end.
	busy bool
}

// begin starts a new life. It listens at a port of its own, to which the link leads from now on.
func (p *place) begin(ctx context.Context, id types.Target) error {
	l, err := standin.Listen(ctx)
	if err != nil {
		return err
	}
	p.born = time.Now()
	p.settings.Target, p.settings.Incarnation = id, p.born.UnixMilli()
	p.group = duty.NewGroup()
	for _, d := range standin.TargetDuties(l, p.settings, p.reporter(ctx)) {
		p.group.Add(d)
	}
	if err := p.group.Start(ctx); err != nil {
		return err
	}
	p.link.Lead(l.Addr().String())
	return nil
}

// reporter returns the function that passes a target's events to the judge.
func (p *place) reporter(ctx context.Context) func(any) {
	return func(event any) { _ = p.events.Put(ctx, event) }
}

// end ends the present life at once: its connections are reset, and nothing listens any more.
func (p *place) end(ctx context.Context) {
	if p.group == nil {
		return
	}
	p.link.Lead("")
	p.link.Reset()
	_ = p.group.Abort(ctx)
	p.group = nil
	_ = p.events.Put(ctx, check.Down{Target: p.settings.Target, Incarnation: p.settings.Incarnation, At: time.Now()})
}

// entry returns the write of the present life's entry in the store.
func (p *place) entry(draining bool) store.Write {
	cold := max(0, p.settings.ColdFor-time.Since(p.born))
	key, value := standin.Registration(p.settings, p.link.Address(), draining, cold)
	return store.Write{Key: key, Value: value}
}
