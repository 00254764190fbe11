package fleettest

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	standinstore "sequoiasail.example/standin/store"
	standintarget "sequoiasail.example/standin/target"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

const (
	keyedService   = types.Service("mapa")
	unkeyedService = types.Service("objednavky")

	centreA = types.DataCentre("dc-a")
	centreB = types.DataCentre("dc-b")

	// vmsPerCentre gives each data centre a quorum group of three. With two VMs the group has one member, and after the
	// loss of that VM no member is left to confirm a revocation.
	vmsPerCentre = 3
	// testDeadline limits a test whose condition never holds. A healthy fleet needs a few seconds.
	testDeadline = 50 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fleetSemaphore limits how many fleets run at once. With ten at once under the race detector on ten cores, processes
// waited for a core for longer than their renewal permits last, and no test got past its start.
var fleetSemaphore = make(chan struct{}, 2)

// fleet is a small installation on loopback: a stand-in store, stand-in targets and some VMs in each of two data centres.
type fleet struct {
	*is.I
	t *testing.T
	// ctx ends at the deadline of the test.
	ctx context.Context
	// standIns runs the stand-in store and targets.
	standIns     *duty.Group
	storeAddress string
	// operator is a store client that acts for the operators.
	operator *store.Layout
	// targets holds the address of each target.
	targets       map[types.TargetID]string
	configuration config.Configuration
	vms           []*vm
	caller        *caller
	// loads is the number of loads started so far.
	loads int
}

// newFleet starts the stand-ins and creates the VMs. It starts no process and stores no configuration.
func newFleet(t *testing.T, vmsPerCentre int) *fleet {
	t.Helper()
	t.Parallel()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	f := &fleet{I: is.New(t), t: t, ctx: ctx, standIns: duty.NewGroup(), targets: map[types.TargetID]string{}}
	t.Cleanup(func() {
		f.stopAll()
		cancel()
	})
	f.caller = newCaller()
	f.startStandIns()
	f.createVMs(vmsPerCentre)
	return f
}

// startFleet starts everything and waits until every gateway serves every key.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetOf(t, vmsPerCentre)
}

// startFleetOf is startFleet with a given number of VMs in each data centre. It stores the configuration only once all
// dispatchers are registered, so that each target gets a dispatcher of its own data centre right away.
func startFleetOf(t *testing.T, vmsPerCentre int) *fleet {
	t.Helper()
	f := newFleet(t, vmsPerCentre)
	for _, v := range f.vms {
		v.dispatcher.start()
		v.gateway.start()
	}
	f.eventually("all processes are registered", func() bool {
		members, _, err := f.operator.List(f.ctx, "member/")
		return err == nil && len(members) == 2*len(f.vms)
	})
	f.applyConfiguration(1)
	f.awaitServed(f.vms...)
	f.eventually("the quorum groups are complete", f.groupsComplete)
	return f
}

// startStandIns starts the stand-in store and targets, and connects the operator to the store.
func (f *fleet) startStandIns() {
	address, err := standinstore.Start(f.ctx, f.standIns, standinstore.Options{Listen: "127.0.0.1:0"})
	f.NoErr(err)
	f.storeAddress = address
	f.operator = store.Connect(address, "operator", store.DefaultTimeout)
	started, err := standintarget.Start(f.ctx, f.standIns, targetSettings(), "")
	f.NoErr(err)
	for _, s := range started {
		f.targets[types.TargetID{Service: types.Service(s.Service), Target: types.Target(s.Name)}] = s.Address
	}
}

// stopAll stops everything that still runs, so that a failed test leaks no processes into the next one.
func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.gateway.abort()
		v.dispatcher.abort()
	}
	f.caller.close()
	ctx, cancel := context.WithTimeout(context.Background(), duty.DefaultStopTimeout)
	defer cancel()
	if err := f.standIns.Stop(ctx); err != nil {
		f.t.Errorf("stand-ins: %v", err)
	}
}

// createVMs creates all VMs with their listeners before any process starts, because the settings of each process contain
// the addresses of its peers.
func (f *fleet) createVMs(vmsPerCentre int) {
	for _, centre := range []types.DataCentre{centreA, centreB} {
		for n := range vmsPerCentre {
			f.vms = append(f.vms, f.newVM(types.VM(fmt.Sprintf("%s-vm%d", centre, n+1)), centre))
		}
	}
}

// eventually waits until condition holds, and fails the test at its deadline. what describes the condition.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-f.ctx.Done():
			f.t.Fatalf("test deadline passed while waiting: %s\n%s", what, f.describe())
		}
	}
}

// vmsIn returns the VMs of a data centre.
func (f *fleet) vmsIn(centre types.DataCentre) []*vm {
	var out []*vm
	for _, v := range f.vms {
		if v.centre == centre {
			out = append(out, v)
		}
	}
	return out
}

// centreOf returns the data centre of a target, or an empty name if the configuration does not contain the target.
func (f *fleet) centreOf(id types.TargetID) types.DataCentre {
	for _, s := range f.configuration.Services {
		for _, t := range s.Targets {
			if s.Name == id.Service && t.Name == id.Target {
				return t.DataCentre
			}
		}
	}
	return ""
}

// listen opens a listener on a port that the kernel chooses.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// waitGrantTTL waits for the time to live of a grant.
func (f *fleet) waitGrantTTL() {
	timer := time.NewTimer(time.Duration(f.configuration.Ownership.GrantMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}
