package soak

import (
	"context"
	"slices"
	"time"

	"sequoiasail.example/platform/standin"
	"sequoiasail.example/soak/check"
	"sequoiasail.example/soak/link"
	"sequoiasail.example/soak/plan"
	backend "sequoiasail.example/standin/store"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// perform begins a fault and plans its end.
func (o *operator) perform(ctx context.Context, f plan.Fault) error {
	switch f.Kind {
	case plan.VMPause, plan.VMKill, plan.VMStop, plan.VMReload:
		return o.harmVM(ctx, f)
	case plan.StoreDown, plan.StoreSlow, plan.StoreLose, plan.StoreCompact, plan.StoreSilent, plan.StoreCut:
		return o.harmStore(ctx, f)
	case plan.StoreLinkSilent, plan.StoreLinkReset:
		o.trouble(ctx, check.Trouble{Scope: check.OfVM, VM: f.Place}, f.For)
		return o.harmLink(o.storeLinks[f.Place], f)
	case plan.CallerLinkDelay, plan.CallerLinkReset:
		o.trouble(ctx, check.Trouble{Scope: check.OfVM, VM: f.Place}, f.For)
		return o.harmLink(o.doors[f.Place], f)
	case plan.TargetLinkDelay, plan.TargetLinkReset, plan.TargetLinkOneWay, plan.TargetPause:
		o.trouble(ctx, check.Trouble{Scope: check.OfTarget, Target: o.places[f.Place].settings.Target}, 2*f.For)
		return o.harmLink(o.places[f.Place].link, f)
	case plan.TargetCrash, plan.TargetReuse:
		return o.crash(ctx, o.places[f.Place], f)
	case plan.TargetLeave:
		return o.leave(ctx, o.places[f.Place], f)
	case plan.ConfigChange:
		o.moved = !o.moved
		return o.configure(ctx)
	}
	return types.NewFault(types.CodeInternal, "unknown fault %s", f.Kind)
}

func (o *operator) harmVM(ctx context.Context, f plan.Fault) error {
	v := o.vms[f.Place]
	t := check.Trouble{Scope: check.OfVM, VM: f.Place}
	switch f.Kind {
	case plan.VMPause:
		o.trouble(ctx, t, f.For)
		o.later(f.For, "resume", func(ctx context.Context) error { return v.in.Put(ctx, resumeVM{}) })
		return v.in.Put(ctx, pauseVM{})
	case plan.VMKill:
		o.trouble(ctx, t, f.For+startTime)
		return v.in.Put(ctx, killVM{restart: f.For})
	case plan.VMStop:
		t.Planned = true
		o.trouble(ctx, t, v.settings.StopGracePeriod+f.For+startTime)
		return v.in.Put(ctx, stopVM{restart: f.For})
	default:
		return v.in.Put(ctx, reloadVM{})
	}
}

func (o *operator) harmStore(ctx context.Context, f plan.Fault) error {
	t := check.Trouble{Scope: check.OfStore}
	name := string(o.vms[f.Place].settings.Name)
	faults := o.present
	heal := func(*backend.Faults) {}
	switch f.Kind {
	case plan.StoreCompact:
		o.trouble(ctx, t, 0)
		return o.store.Compact(ctx)
	case plan.StoreDown:
		faults.Down = true
		heal = func(f *backend.Faults) { f.Down = false }
	case plan.StoreSlow:
		faults.SlowMs = int64(f.Amount * float64(slowestStore.Milliseconds()))
		heal = func(f *backend.Faults) { f.SlowMs = 0 }
	case plan.StoreLose:
		faults.LoseAnswers = 1 + int(f.Amount*mostLost)
		heal = func(f *backend.Faults) { f.LoseAnswers = 0 }
	case plan.StoreSilent:
		t = check.Trouble{Scope: check.OfVM, VM: f.Place}
		faults.SilentClients = append([]string{name}, faults.SilentClients...)
		heal = func(f *backend.Faults) { f.SilentClients = without(f.SilentClients, name) }
	case plan.StoreCut:
		t = check.Trouble{Scope: check.OfVM, VM: f.Place}
		faults.CutClients = append([]string{name}, faults.CutClients...)
		heal = func(f *backend.Faults) { f.CutClients = without(f.CutClients, name) }
	}
	lasts := max(f.For, storeRetry)
	o.trouble(ctx, t, lasts)
	o.later(lasts, "heal the store", func(ctx context.Context) error {
		heal(&o.present)
		return o.store.SetFaults(ctx, o.present)
	})
	o.present = faults
	return o.store.SetFaults(ctx, faults)
}

// without returns a list less one element of a name: two faults may name the same client.
func without(list []string, name string) []string {
	i := slices.Index(list, name)
	if i < 0 {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}

func (o *operator) harmLink(l *link.Link, f plan.Fault) error {
	switch f.Kind {
	case plan.StoreLinkReset, plan.CallerLinkReset, plan.TargetLinkReset:
		l.Reset()
		return nil
	case plan.StoreLinkSilent:
		l.Set(link.State{LoseForth: true, LoseBack: true})
	case plan.TargetLinkOneWay:
		l.Set(link.State{LoseBack: true})
	case plan.TargetPause:
		l.Set(link.State{Delay: f.For})
	default:
		l.Set(link.State{Delay: time.Duration(f.Amount * float64(longestDelay))})
	}
	o.later(f.For, "heal a link", func(context.Context) error {
		l.Set(link.State{})
		return nil
	})
	return nil
}

// crash ends a target without a word. After a while one lives at the address again: the same one, another of its service,
// or one of another service.
func (o *operator) crash(ctx context.Context, p *place, f plan.Fault) error {
	if p.busy {
		return nil
	}
	p.busy = true
	old := p.settings.Target
	o.trouble(ctx, check.Trouble{Scope: check.OfTarget, Target: old}, f.For+entryLife)
	p.end(ctx)
	id := old
	if f.Kind == plan.TargetReuse || f.Amount < 0.5 {
		id = o.name()
		o.later(entryLife, "entry of a crashed target ends", func(ctx context.Context) error { return o.remove(ctx, old) })
	}
	o.later(f.For, "target starts", func(ctx context.Context) error {
		p.busy = false
		if f.Kind == plan.TargetReuse {
			p.settings.Service = o.other(p.settings.Service)
			p.settings.Keyed = false
		}
		return o.start(ctx, p, id)
	})
	return nil
}

// fewestTargets is the number of targets that a service keeps when others take addresses of it.
const fewestTargets = 3

// other returns a service that takes an address over; one with few targets keeps it.
func (o *operator) other(s types.Service) types.Service {
	n := 0
	for _, p := range o.places {
		if p.settings.Service == s {
			n++
		}
	}
	switch {
	case n <= fewestTargets || s == mapsService:
		return s
	case s == ordersService:
		return spareService
	default:
		return ordersService
	}
}

func (o *operator) remove(ctx context.Context, t types.Target) error {
	key, _ := standin.Registration(standin.TargetSettings{Target: t}, "", false, 0)
	return o.change(ctx, store.Write{Key: key, Delete: true})
}

// leave lets a target say that it leaves, serve a while, and end. Another one starts then.
func (o *operator) leave(ctx context.Context, p *place, f plan.Fault) error {
	if p.busy {
		return nil
	}
	old := p.settings.Target
	if err := o.change(ctx, p.entry(true)); err != nil {
		return err
	}
	p.busy = true
	_ = o.events.Put(ctx, check.Left{Target: old, At: time.Now()})
	o.later(leaveTime, "target ends", func(ctx context.Context) error {
		o.trouble(ctx, check.Trouble{Scope: check.OfTarget, Target: old}, 0)
		p.end(ctx)
		return nil
	})
	o.later(leaveTime, "entry of a target that left ends", func(ctx context.Context) error { return o.remove(ctx, old) })
	o.later(f.For, "target starts", func(ctx context.Context) error {
		p.busy = false
		return o.start(ctx, p, o.name())
	})
	return nil
}

// configure writes the next configuration. Route move leads to one service or the other.
func (o *operator) configure(ctx context.Context) error {
	o.version++
	list := routes(o.moved)
	proposed := check.Proposed{Routes: make(map[string]types.Service)}
	for _, r := range list {
		proposed.Routes[r.Name] = r.Service
	}
	if err := o.events.Put(ctx, proposed); err != nil {
		return err
	}
	document := standin.Configuration(o.version, list, services())
	if err := o.change(ctx, store.Write{Key: standin.ConfigurationKey, Value: document}); err != nil {
		return err
	}
	return o.events.Put(ctx, check.Configured{At: time.Now()})
}
