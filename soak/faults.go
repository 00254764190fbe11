package soak

import (
	"context"
	"math"
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

// inject starts a fault and schedules its end.
func (o *operator) inject(ctx context.Context, f plan.Fault) error {
	switch f.Kind {
	case plan.VMPause, plan.VMKill, plan.VMStop, plan.VMReload:
		return o.injectVMFault(ctx, f)
	case plan.StoreDown, plan.StoreSlow, plan.StoreLose, plan.StoreCompact, plan.StoreSilent, plan.StoreCut, plan.StorePartial:
		return o.injectStoreFault(ctx, f)
	case plan.StoreLinkSilent, plan.StoreLinkReset:
		o.reportFault(ctx, check.FaultInterval{Scope: check.ScopeVM, VM: f.Index}, f.Duration)
		return o.injectLinkFault(o.storeLinks[f.Index], f)
	case plan.CallerLinkDelay, plan.CallerLinkReset:
		o.reportFault(ctx, check.FaultInterval{Scope: check.ScopeVM, VM: f.Index}, f.Duration)
		return o.injectLinkFault(o.callerLinks[f.Index], f)
	case plan.CallerCrowd:
		o.reportFault(ctx, check.FaultInterval{Scope: check.ScopeVM, VM: f.Index}, f.Duration)
		o.schedule(f.Duration, "measure memory", func(ctx context.Context) error { return o.vms[f.Index].commands.Put(ctx, measureVM{}) })
		return o.crowds[f.Index].faults.Put(ctx, f)
	case plan.TargetLinkDelay, plan.TargetLinkReset, plan.TargetLinkOneWay, plan.TargetPause:
		// TargetPause delays bytes by f.Duration, so that the last ones arrive at most f.Duration after its end.
		o.reportFault(ctx, check.FaultInterval{Scope: check.ScopeTarget, Target: o.endpoints[f.Index].settings.Target}, 2*f.Duration)
		return o.injectLinkFault(o.endpoints[f.Index].link, f)
	case plan.TargetCrash, plan.TargetReuse:
		return o.crashTarget(ctx, o.endpoints[f.Index], f)
	case plan.TargetDrain, plan.TargetRemoval:
		return o.drainTarget(ctx, o.endpoints[f.Index], f)
	case plan.ConfigChange:
		o.routeMoved = !o.routeMoved
		return o.writeConfiguration(ctx)
	}
	return types.NewFault(types.CodeInternal, "unknown fault %s", f.Kind)
}

func (o *operator) injectVMFault(ctx context.Context, f plan.Fault) error {
	v := o.vms[f.Index]
	affected := check.FaultInterval{Scope: check.ScopeVM, VM: f.Index}
	switch f.Kind {
	case plan.VMPause:
		o.reportFault(ctx, affected, f.Duration)
		o.schedule(f.Duration, "resume", func(ctx context.Context) error { return v.commands.Put(ctx, resumeVM{}) })
		return v.commands.Put(ctx, pauseVM{})
	case plan.VMKill:
		o.reportFault(ctx, affected, f.Duration+vmStartTime)
		return v.commands.Put(ctx, killVM{restartDelay: f.Duration})
	case plan.VMStop:
		affected.Planned = true
		o.reportFault(ctx, affected, v.settings.StopGracePeriod+f.Duration+vmStartTime)
		return v.commands.Put(ctx, stopVM{restartDelay: f.Duration})
	default:
		return v.commands.Put(ctx, reloadVM{})
	}
}

func (o *operator) injectStoreFault(ctx context.Context, f plan.Fault) error {
	affected := []check.FaultInterval{{Scope: check.ScopeStore}}
	faults := o.storeFaults
	clearFault := func(*backend.Faults) {}
	switch f.Kind {
	case plan.StoreCompact:
		o.reportFault(ctx, affected[0], 0)
		return o.store.Compact(ctx)
	case plan.StoreDown:
		faults.Down = true
		clearFault = func(f *backend.Faults) { f.Down = false }
	case plan.StoreSlow:
		faults.SlowMs = int64(f.Intensity * float64(maxStoreDelay.Milliseconds()))
		clearFault = func(f *backend.Faults) { f.SlowMs = 0 }
	case plan.StoreLose:
		faults.LoseAnswers = 1 + int(f.Intensity*maxLostAnswers)
		clearFault = func(f *backend.Faults) { f.LoseAnswers = 0 }
	case plan.StoreSilent, plan.StoreCut, plan.StorePartial:
		var names []string
		affected = nil
		for _, i := range o.excludedVMs(f) {
			names = append(names, string(o.vms[i].settings.Name))
			affected = append(affected, check.FaultInterval{Scope: check.ScopeVM, VM: i})
		}
		excluded := func(f *backend.Faults) *[]string { return &f.SilentClients }
		if f.Kind == plan.StoreCut || (f.Kind == plan.StorePartial && f.Intensity < 0.5) {
			excluded = func(f *backend.Faults) *[]string { return &f.CutClients }
		}
		*excluded(&faults) = slices.Concat(names, *excluded(&faults))
		clearFault = func(f *backend.Faults) {
			for _, name := range names {
				*excluded(f) = removeOne(*excluded(f), name)
			}
		}
	}
	// StoreLose has no duration of its own; the minimum leaves time for calls whose answers are lost.
	duration := max(f.Duration, storeRetryInterval)
	for _, interval := range affected {
		o.reportFault(ctx, interval, duration)
	}
	o.schedule(duration, "clear store fault", func(ctx context.Context) error {
		clearFault(&o.storeFaults)
		return o.store.SetFaults(ctx, o.storeFaults)
	})
	o.storeFaults = faults
	return o.store.SetFaults(ctx, faults)
}

// partialShare is the share of the VMs that StorePartial excludes from the store, as on the users' days.
const partialShare = 1.0 / 3

// excludedVMs returns the indices of the VMs that a fault excludes from the store.
func (o *operator) excludedVMs(f plan.Fault) []int {
	if f.Kind != plan.StorePartial {
		return []int{f.Index}
	}
	var list []int
	for i := range int(math.Ceil(partialShare * float64(len(o.vms)))) {
		list = append(list, (f.Index+i)%len(o.vms))
	}
	return list
}

// removeOne returns list without one occurrence of name. Overlapping faults may name the same client, so that the other
// occurrences stay.
func removeOne(list []string, name string) []string {
	i := slices.Index(list, name)
	if i < 0 {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}

func (o *operator) injectLinkFault(l *link.Link, f plan.Fault) error {
	switch f.Kind {
	case plan.StoreLinkReset, plan.CallerLinkReset, plan.TargetLinkReset:
		l.Reset()
		return nil
	case plan.StoreLinkSilent:
		l.SetFaults(link.Faults{DropToServer: true, DropToClient: true})
	case plan.TargetLinkOneWay:
		l.SetFaults(link.Faults{DropToClient: true})
	case plan.TargetPause:
		l.SetFaults(link.Faults{Delay: f.Duration})
	default:
		l.SetFaults(link.Faults{Delay: time.Duration(f.Intensity * float64(maxLinkDelay))})
	}
	o.schedule(f.Duration, "clear link fault", func(context.Context) error {
		l.SetFaults(link.Faults{})
		return nil
	})
	return nil
}

// crashTarget aborts a target and starts one at the same address after the fault: the same target, a new one of its
// service, or, for TargetReuse, a new one of the service that reassignedService chooses.
func (o *operator) crashTarget(ctx context.Context, e *endpoint, f plan.Fault) error {
	if e.changing {
		return nil
	}
	e.changing = true
	old := e.settings.Target
	o.reportFault(ctx, check.FaultInterval{Scope: check.ScopeTarget, Target: old}, f.Duration+entryTTL)
	e.stop(ctx)
	id := old
	if f.Kind == plan.TargetReuse || f.Intensity < 0.5 {
		id = o.newTargetID()
		o.schedule(entryTTL, "remove entry of crashed target", func(ctx context.Context) error { return o.removeEntry(ctx, old) })
	}
	o.schedule(f.Duration, "start target", func(ctx context.Context) error {
		e.changing = false
		if f.Kind == plan.TargetReuse {
			e.settings.Service = o.reassignedService(e.settings.Service)
			e.settings.Keyed = false
		}
		return o.startTarget(ctx, e, id)
	})
	return nil
}

// minTargets is the number of targets that a service keeps when its addresses are reassigned to other services.
const minTargets = 3

// reassignedService returns the service that takes over an address of s. It returns s for maps and for a service that
// has only minTargets targets.
func (o *operator) reassignedService(s types.Service) types.Service {
	n := 0
	for _, e := range o.endpoints {
		if e.settings.Service == s {
			n++
		}
	}
	switch {
	case n <= minTargets || s == mapsService:
		return s
	case s == ordersService:
		return spareService
	default:
		return ordersService
	}
}

// removal returns the write that deletes the entry of a target from the store.
func removal(t types.Target) store.Write {
	key, _ := standin.Registration(standin.TargetSettings{Target: t}, "", false, 0)
	return store.Write{Key: key, Delete: true}
}

// removeEntry deletes the entry of a target from the store.
func (o *operator) removeEntry(ctx context.Context, t types.Target) error {
	return o.writeStore(ctx, removal(t))
}

// drainTarget marks a target as draining, or removes its entry for TargetRemoval. It lets the target serve for drainTime and stops it.
// Another target starts at the same address after the fault.
func (o *operator) drainTarget(ctx context.Context, e *endpoint, f plan.Fault) error {
	if e.changing {
		return nil
	}
	old := e.settings.Target
	announcement := e.registration(true)
	if f.Kind == plan.TargetRemoval {
		announcement = removal(old)
	}
	if err := o.writeStore(ctx, announcement); err != nil {
		return err
	}
	e.changing = true
	_ = o.events.Put(ctx, check.TargetDraining{Target: old, At: time.Now()})
	o.schedule(drainTime, "stop target", func(ctx context.Context) error {
		o.reportFault(ctx, check.FaultInterval{Scope: check.ScopeTarget, Target: old}, 0)
		e.stop(ctx)
		if f.Kind == plan.TargetRemoval {
			return nil
		}
		return o.removeEntry(ctx, old)
	})
	o.schedule(f.Duration, "start target", func(ctx context.Context) error {
		e.changing = false
		return o.startTarget(ctx, e, o.newTargetID())
	})
	return nil
}

// writeConfiguration writes the next configuration. The service of route move depends on routeMoved.
func (o *operator) writeConfiguration(ctx context.Context) error {
	o.configVersion++
	list := routes(o.routeMoved, o.requestTimeout)
	proposed := check.ConfigProposed{Routes: make(map[string]types.Service)}
	for _, r := range list {
		proposed.Routes[r.Name] = r.Service
	}
	if err := o.events.Put(ctx, proposed); err != nil {
		return err
	}
	document := standin.Configuration(o.configVersion, list, services())
	if err := o.writeStore(ctx, store.Write{Key: standin.ConfigurationKey, Value: document}); err != nil {
		return err
	}
	return o.events.Put(ctx, check.ConfigAccepted{At: time.Now()})
}
