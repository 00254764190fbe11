package routing_test

import (
	"fmt"
	"math/rand/v2"

	"sequoiasail.example/config"
	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

const (
	keyedService   = types.Service("mapa-skvrn")
	unkeyedService = types.Service("objednavky")
)

// fleetSize is the size of a test fleet: the slots of the keyed service, the targets of each service, and the VMs.
type fleetSize struct {
	slots   uint32
	targets int
	vms     int
}

func targetName(i int) types.Target { return types.Target(fmt.Sprintf("t-%d", i)) }

func targetNames(n int) []types.Target {
	out := make([]types.Target, n)
	for i := range out {
		out[i] = targetName(i)
	}
	return out
}

func vmName(i int) types.VM { return types.VM(fmt.Sprintf("vm-%d", i)) }

func centreName(i int) types.DataCentre { return types.DataCentre(fmt.Sprintf("dc-%d", i%3)) }

func configuration(z fleetSize) *config.Configuration {
	conf := &config.Configuration{Version: 1}
	for i := range 3 {
		conf.DataCentres = append(conf.DataCentres, config.DataCentre{Name: centreName(i), OneWayMs: 3})
	}
	for _, name := range []types.Service{keyedService, unkeyedService} {
		s := config.Service{Name: name, Keyed: name == keyedService, Slots: z.slots}
		s.Limits = config.Limits{RetryShare: 0.1, HedgeShare: 0.05, EjectShare: 0.25}
		for i, t := range targetNames(z.targets) {
			s.Targets = append(s.Targets, config.Target{Name: t, DataCentre: centreName(i), Slots: 4, Weight: 1})
		}
		conf.Services = append(conf.Services, s)
	}
	return conf
}

func leases(service types.Service, z fleetSize, revision types.Revision) *routing.Leases {
	l := &routing.Leases{Service: service, Revision: revision}
	for i, t := range targetNames(z.targets) {
		l.Rows = append(l.Rows, routing.Lease{Target: t, VM: vmName(i % z.vms), Incarnation: 1, Epoch: 7, Active: true})
	}
	return l
}

func table(z fleetSize, revision types.Revision) *routing.Table {
	t := &routing.Table{Service: keyedService, Revision: revision, Targets: targetNames(z.targets)}
	for i := range z.slots {
		t.Owners = append(t.Owners, uint16(int(i)%z.targets))
		t.Epochs = append(t.Epochs, 3)
	}
	return t
}

func members(z fleetSize) *routing.Members {
	m := &routing.Members{Revision: 1}
	for i := range z.vms {
		m.Rows = append(m.Rows, routing.Member{VM: vmName(i), DataCentre: centreName(i), Incarnation: 1})
	}
	return m
}

// newReadyCore returns a Core with a configuration and all rows, whose targets all have a reachable dispatcher.
func newReadyCore(z fleetSize) *routing.Core {
	c := routing.New(routing.Options{DataCentre: centreName(0), Random: rand.NewPCG(1, 2)})
	messages := []routing.Message{
		{Kind: routing.KindConfiguration, Configuration: configuration(z)},
		{Kind: routing.KindMembers, Members: members(z)},
		{Kind: routing.KindTable, Table: table(z, 1)},
		{Kind: routing.KindLeases, Leases: leases(keyedService, z, 1)},
		{Kind: routing.KindLeases, Leases: leases(unkeyedService, z, 1)},
	}
	for i := range z.vms {
		messages = append(messages, routing.Message{Kind: routing.KindLinkUp, VM: vmName(i)})
	}
	for i := range messages {
		c.Step(1, &messages[i], nil)
	}
	return c
}
