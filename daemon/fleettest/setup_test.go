package fleettest

import (
	"fmt"

	"sequoiasail.example/config"
	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	// keyedTargets and unkeyedTargets are the numbers of targets of the two services.
	keyedTargets   = 4
	unkeyedTargets = 2
	// targetSlots is how many requests a target runs at a time.
	targetSlots = 4
	// targetWarmMs is the warm-up time of a stand-in target, and coldStartMs the time that the configuration allows for it.
	targetWarmMs = 50
	coldStartMs  = 100
	// lateAfterMs is the configured deadline for answers. It is longer than a takeover, which takes at most 3 s by design, so
	// that a request that arrives during a takeover can still be done.
	lateAfterMs = 6000
	// tableSlots is the number of slots of the keyed service's slot table.
	tableSlots = 64
)

// targetSettings returns the settings of the stand-in targets: first those of the keyed service, then the others.
func targetSettings() []standintarget.Settings {
	var out []standintarget.Settings
	add := func(service types.Service, count int, isKeyed bool) {
		for n := range count {
			s := standintarget.DefaultSettings()
			s.Service, s.Name = string(service), fmt.Sprintf("%s-%d", service, n+1)
			s.Slots, s.WarmMs, s.Keyed = targetSlots, targetWarmMs, isKeyed
			s.JournalReads = true
			s.Seed = uint64(len(out)) + 1
			out = append(out, s)
		}
	}
	add(keyedService, keyedTargets, true)
	add(unkeyedService, unkeyedTargets, false)
	return out
}

// answers returns the filled-in questionnaire from which the configuration is generated.
func (f *fleet) answers() config.Answers {
	a := config.Answers{Team: "fleettest"}
	a.SetDefaults()
	for _, name := range []types.DataCentre{centreA, centreB} {
		d := config.DataCentreAnswer{Name: name, Region: "test"}
		d.SetDefaults()
		a.DataCentres = append(a.DataCentres, d)
	}
	a.Services = []config.ServiceAnswer{
		f.service(keyedService, true, keyedTargets),
		f.service(unkeyedService, false, unkeyedTargets),
	}
	return a
}

// service returns the part of the questionnaire about one service. Its targets are assigned to the two data centres in turn.
func (f *fleet) service(name types.Service, isKeyed bool, targets int) config.ServiceAnswer {
	s := config.ServiceAnswer{Name: name}
	s.SetDefaults()
	s.Keyed, s.ChecksGrants = isKeyed, true
	cold := int64(coldStartMs)
	s.ColdStartMs = &cold
	if slots := uint32(tableSlots); isKeyed {
		s.TableSlots, s.CutOff = &slots, config.CutOffMove
	}
	s.Target = config.TargetDefaults{Slots: targetSlots, Connections: 110}
	for n := range targets {
		t := config.TargetAnswer{}
		t.SetDefaults()
		t.Name = types.Target(fmt.Sprintf("%s-%d", name, n+1))
		t.DataCentre = []types.DataCentre{centreA, centreB}[n%2]
		t.Address = f.targets[types.TargetID{Service: name, Target: t.Name}]
		s.Targets = append(s.Targets, t)
	}
	for _, class := range []string{"lookup", "order"} {
		r := config.RequestAnswer{Class: class}
		r.SetDefaults()
		r.LateAfterMs, r.MayRunTwice = lateAfterMs, class == "lookup"
		s.Requests = append(s.Requests, r)
	}
	return s
}

// applyConfiguration generates the configuration and stores it as the first one, with the given version.
func (f *fleet) applyConfiguration(version types.Version) {
	f.t.Helper()
	c, err := config.Generate(f.answers())
	f.NoErr(err)
	f.configuration = c.WithVersion(version)
	_, err = f.operator.CAS(f.ctx, store.Write{
		Key:     config.KeyCurrent,
		Value:   config.Canonical(f.configuration),
		WriteID: "fleettest-configuration",
	})
	f.NoErr(err)
}
