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
	keyed   = types.Service("mapa")
	unkeyed = types.Service("objednavky")

	centreA = types.DataCentre("dc-a")
	centreB = types.DataCentre("dc-b")

	// vmsPerCentre gives each data centre a quorum group of three. With two VMs the group has one member, and the loss of
	// that VM leaves nobody who can confirm a revocation.
	vmsPerCentre = 3
	// testDeadline ends waits whose condition never holds. A healthy fleet needs a few seconds.
	testDeadline = 50 * time.Second
	pollInterval = 20 * time.Millisecond
)

// places bounds the fleets that run at once. Ten at once under the race detector on ten cores kept processes waiting for
// longer than their renewal permits last, so that no test got past its start.
var places = make(chan struct{}, 2)

// fleet is a small installation on loopback: a stand-in store, stand-in targets and some VMs in each of two data centres.
type fleet struct {
	*is.I
	t             *testing.T
	ctx           context.Context
	standIns      *duty.Group
	storeAddress  string
	operator      *store.Layout
	targets       map[types.TargetID]string
	configuration config.Configuration
	vms           []*vm
	caller        *caller
	loads         int
}

// newFleet starts the stand-ins. No VM runs and no configuration is stored yet.
func newFleet(t *testing.T, vmsPerCentre int) *fleet {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	f := &fleet{I: is.New(t), t: t, ctx: ctx, standIns: duty.NewGroup(), targets: map[types.TargetID]string{}}
	t.Cleanup(func() {
		f.stopAll()
		cancel()
	})
	f.caller = newCaller()
	f.startStandIns()
	f.planVMs(vmsPerCentre)
	return f
}

// startFleet starts everything and waits until every gateway serves every key.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetOf(t, vmsPerCentre)
}

// startFleetOf applies the configuration once all dispatchers are registered, so that each target gets a dispatcher of
// its own data centre at once.
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

// stopAll stops what still runs, so that a failed test leaks nothing into the next one.
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

// planVMs opens the listeners of all VMs first, because a VM's peers are part of its settings.
func (f *fleet) planVMs(vmsPerCentre int) {
	for _, centre := range []types.DataCentre{centreA, centreB} {
		for n := range vmsPerCentre {
			f.vms = append(f.vms, f.newVM(types.VM(fmt.Sprintf("%s-vm%d", centre, n+1)), centre))
		}
	}
}

// eventually waits until condition holds. The verdict does not depend on how long that takes.
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

// in returns the VMs of a data centre.
func (f *fleet) in(centre types.DataCentre) []*vm {
	var out []*vm
	for _, v := range f.vms {
		if v.centre == centre {
			out = append(out, v)
		}
	}
	return out
}

// centreOf returns the data centre of a target.
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

// pauseForGrant waits for the time to live of a grant.
func (f *fleet) pauseForGrant() {
	timer := time.NewTimer(time.Duration(f.configuration.Ownership.GrantMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
	}
}
