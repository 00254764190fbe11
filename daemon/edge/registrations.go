package edge

import (
	"bytes"
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/platform"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// applyTargets takes changes of the registrations of targets.
func (sc *storeCache) applyTargets(ctx context.Context, now types.Instant, u update) {
	if u.snapshot {
		sc.applyTargetList(now, u.entries)
	}
	for _, e := range u.events {
		t, ok := sc.registeredTarget(e.Entry, e.Deleted)
		if !ok {
			continue
		}
		if e.Deleted {
			delete(sc.registrations, t)
			sc.logRemoval(now, sc.registry.Remove(now, t), e.Revision)
			continue
		}
		if d, known := sc.registrations[t]; known && bytes.Equal(d.raw, e.Value) {
			continue
		}
		if r, ok := sc.decodeRegistration(t, e.Entry); ok {
			sc.registry.Put(now, r)
		} else {
			sc.registry.Discard(t)
		}
	}
	sc.publishTargets(ctx)
}

// applyTargetList takes the complete list of the registrations.
func (sc *storeCache) applyTargetList(now types.Instant, entries []store.Entry) {
	var list []catalog.Registration
	var invalid []types.Target
	present := make(map[types.Target]bool, len(entries))
	for _, e := range entries {
		t, ok := sc.registeredTarget(e, false)
		if !ok {
			continue
		}
		present[t] = true
		if r, ok := sc.decodeRegistration(t, e); ok {
			list = append(list, r)
		} else {
			invalid = append(invalid, t)
		}
	}
	maps.DeleteFunc(sc.registrations, func(t types.Target, _ decodedRegistration) bool { return !present[t] })
	for _, removal := range sc.registry.Replace(now, list) {
		sc.logRemoval(now, removal, sc.prefixCache[platform.TargetPrefix].knownRevision)
	}
	for _, t := range invalid {
		sc.registry.Discard(t)
	}
	sc.registrationsRead = true
}

// logRemoval logs that a registration was found missing at a revision of the store.
func (sc *storeCache) logRemoval(now types.Instant, removal catalog.Removal, revision types.Revision) {
	sc.log.Info("target gone", log.Fields{
		"target": removal.Target, "revision": revision, "keptFor": removal.KeptFor.String(), "copyAge": sc.copyAge(now).String(),
	})
}

// copyAge returns how long ago this VM's copy of the registrations was last proved to be current. A change that is learnt now is at
// most that old, apart from the pause between two calls of a watch.
func (sc *storeCache) copyAge(now types.Instant) time.Duration {
	return now.Sub(sc.registrationsCurrentAt)
}

// registeredTarget returns the target that an entry belongs to. ok is false when its key can't name one.
func (sc *storeCache) registeredTarget(e store.Entry, deleted bool) (t types.Target, ok bool) {
	t, ok = platform.RegisteredTarget(e.Key)
	if !ok && !deleted {
		sc.invalid.add(registrationKind, e, types.NewFault(types.CodeBadConfiguration, "the key names no target"))
	}
	return t, ok
}

// decodeRegistration decodes the registration of a target and logs it if it has changed. It returns false for an invalid one,
// whose target must not be used.
func (sc *storeCache) decodeRegistration(t types.Target, e store.Entry) (catalog.Registration, bool) {
	if d, known := sc.registrations[t]; known && bytes.Equal(d.raw, e.Value) {
		return d.registration, d.valid
	}
	r, err := platform.DecodeRegistration(t, e.Value)
	sc.registrations[t] = decodedRegistration{raw: e.Value, registration: r, valid: err == nil}
	if err != nil {
		sc.invalid.add(registrationKind, e, err)
		return r, false
	}
	sc.invalid.remove(e.Key)
	sc.log.Info("target registered", log.Fields{
		"target": t, "life": r.Incarnation, "service": r.Service, "address": r.Address, "dataCentre": r.DataCentre,
		"draining": r.Draining, "coldFor": r.ColdFor.String(), "revision": e.Revision, "copyAge": sc.copyAge(sc.now()).String(),
	})
	return r, true
}

// decodedRegistration is a registration with the encoding that it was decoded from. valid is false if that names no target to
// use.
type decodedRegistration struct {
	raw          []byte
	registration catalog.Registration
	valid        bool
}

// publishTargets passes the list of targets to admission and the coordinator.
func (sc *storeCache) publishTargets(ctx context.Context) {
	list := sc.registry.List()
	sc.targets = make(map[types.Target]listedTarget, len(list))
	for _, l := range list {
		sc.targets[l.Target] = listedTarget{incarnation: l.Incarnation, leaving: l.Draining || l.Evacuated}
	}
	sc.publish()
	sc.deliver(ctx, sc.admission, admission.Targets{Targets: list, LeavingUntil: sc.leavingUntil})
	sc.deliver(ctx, sc.coordinator, targetList{targets: list, superseded: sc.registry.Superseded()})
}

// endEvacuations puts data centres back into service once the copy of the registrations is proved to be as new as the end of their
// evacuation. The proof may lack changes of the pause between two calls of a watch and of the call itself.
func (sc *storeCache) endEvacuations(ctx context.Context) {
	currentAt := sc.prefixCache[platform.TargetPrefix].confirmedAt.Add(-watchSpacing - watchCallReserve)
	if sc.registry.RegistrationsCurrent(currentAt) {
		sc.log.Info("targets of a data centre are used again after its evacuation", nil)
		sc.publishTargets(ctx)
	}
}
