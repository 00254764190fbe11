package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/catalog"
	"sequoiasail.example/types"
)

// coldVM is a VM of coldStartSimulation. It starts at startsAt; from listsAll on it lists the other VMs of its data
// centre, before that none.
type coldVM struct {
	name, dataCentre   string
	startsAt, listsAll time.Duration
	// unlisted is when the store has no entry of the VM, so that no VM lists it. It goes on and lists the others.
	unlisted interval
	// isolated is when no report reaches the VM or comes from it, and its list does not change.
	isolated interval
	// reportsToListedOnly is true if the VM does not report to VMs that report to it without being listed, for example because
	// those reports are lost.
	reportsToListedOnly bool
	// lacksTarget is when the registration of the cold target is missing from the VM's list.
	lacksTarget interval

	core *Core
	// targets is the list of targets that the core got last.
	targets []catalog.Listing
	listed  []types.VM
	heardAt map[types.VM]types.Instant
	reports types.Instant
	next    LocalRequestID
}

// interval is a span of a simulation; the zero value is empty.
type interval struct{ from, to time.Duration }

func (i interval) contains(d time.Duration) bool { return i.from <= d && d < i.to }

// list returns the other VMs that the VM lists after d of the simulation.
func (v *coldVM) list(d time.Duration, vms []*coldVM) (list []types.VM) {
	if v.isolated.contains(d) {
		return v.listed
	}
	if d < v.listsAll {
		return nil
	}
	for _, o := range vms {
		if o != v && o.dataCentre == v.dataCentre && !o.unlisted.contains(d) {
			list = append(list, types.VM(o.name))
		}
	}
	return list
}

// listTargets returns the targets that the VM lists after d of the simulation.
func (v *coldVM) listTargets(d time.Duration, cold catalog.Listing) []catalog.Listing {
	if v.lacksTarget.contains(d) {
		return nil
	}
	return []catalog.Listing{cold}
}

// correspondentTTL is how long after its last report a VM that is not listed gets reports.
const correspondentTTL = 3 * time.Second

// coldStartSimulation runs the cores of VMs that start at different times and learn of each other late, with requests for one
// cold target at each of them, and returns the times of the sends.
func coldStartSimulation(d time.Duration, vms []*coldVM) []types.Instant {
	return simulateColdTarget(d, vms, false)
}

// simulateColdTarget is coldStartSimulation for a target that owns all keys of its service, or has none.
func simulateColdTarget(d time.Duration, vms []*coldVM, keyed bool) []types.Instant {
	const (
		step           = 5 * time.Millisecond
		workTime       = 25 * time.Millisecond
		reportInterval = 25 * time.Millisecond
		reportRefresh  = 500 * time.Millisecond
		// Each VM gets a request in each step, for the owner of a key once in so many steps: 5 a second.
		keyedArrivalSteps = 40
	)
	cold := listing("orders", "t1", "a")
	cold.ColdUntil, cold.Slots = start.Add(time.Minute), 4
	random := rand.New(rand.NewPCG(5, 6))
	var sends []types.Instant
	type answer struct {
		at   types.Instant
		vm   *coldVM
		send Send
	}
	var answers []answer
	for now := start; now.Before(start.Add(d)); now = now.Add(step) {
		perform := func(v *coldVM, actions []Action) {
			for _, a := range find[Send](actions) {
				sends = append(sends, now)
				answers = append(answers, answer{at: now.Add(workTime), vm: v, send: a})
			}
		}
		due := answers
		answers = nil
		for _, a := range due {
			if now.Before(a.at) {
				answers = append(answers, a)
				continue
			}
			perform(a.vm, a.vm.core.Step(now, AttemptFinished{ID: a.send.ID, Attempt: a.send.Attempt, Result: ResultAnswered}))
		}
		for i, v := range vms {
			age := now.Sub(start) - v.startsAt
			if age < 0 {
				continue
			}
			if v.core == nil {
				v.heardAt = make(map[types.VM]types.Instant)
				s := testSettings(v.name)
				s.DataCentre, s.DataCentres = v.dataCentre, 2
				v.core = New(s, random)
				v.core.Step(now, Services{Services: map[types.Service]catalog.Service{"orders": {Name: "orders", MaxConnections: 100, MaxColdRate: 6, Keyed: keyed}}})
				owners := ownedBy("t1")
				owners.Service = "orders"
				v.core.Step(now, owners)
			}
			if targets := v.listTargets(now.Sub(start), cold); age == 0 || !slices.Equal(targets, v.targets) {
				v.targets = targets
				perform(v, v.core.Step(now, Targets{Targets: targets}))
			}
			list := v.list(now.Sub(start), vms)
			if age == 0 || !slices.Equal(list, v.listed) {
				v.listed = list
				perform(v, v.core.Step(now, Peers{VMs: append(slices.Clone(list), types.VM(v.name)), Neighbours: list, ReportInterval: reportInterval}))
			}
			v.next++
			if keyed && int(v.next)%keyedArrivalSteps != i*keyedArrivalSteps/len(vms) {
				perform(v, v.core.Tick(now))
				continue
			}
			perform(v, v.core.Step(now, RequestArrived{ID: v.next, Route: orders, Keyed: keyed, Deadline: now.Add(1500 * time.Millisecond)}))
			perform(v, v.core.Tick(now))
		}
		for _, v := range vms {
			since := now.Sub(v.reports)
			if v.core == nil || since < reportInterval || (since < reportRefresh && !v.core.ReportPending()) {
				continue
			}
			v.reports = now
			r := v.core.Report()
			for _, o := range vms {
				if v.isolated.contains(now.Sub(start)) || o.isolated.contains(now.Sub(start)) {
					continue
				}
				// A VM reports to those that it lists, and to those that report to it.
				heardAt, heard := v.heardAt[types.VM(o.name)]
				corresponds := heard && !v.reportsToListedOnly && now.Sub(heardAt) < correspondentTTL
				if o.core != nil && (slices.Contains(v.listed, types.VM(o.name)) || corresponds) {
					o.heardAt[types.VM(v.name)] = now
					perform(o, o.core.Step(now, r))
				}
			}
		}
	}
	return sends
}

// mostWithinSecond returns the largest number of times within a second.
func mostWithinSecond(times []types.Instant) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a starting VM that sends to a cold target although it does not know what its neighbours have sent: they report
// only to the VMs that they know. In each data centre a VM joins that takes over the warm-up of the target from its neighbour,
// which learns of it later: 400 ms is the pause between two calls of its watch. Reproduces the picture of the soak's FAILBACK, in
// which targets that had started with the VMs received 15 requests within a second; 14 are allowed.
func TestStartingVMWaitsForReportsOfNeighbours(t *testing.T) {
	for _, joined := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		for _, lag := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			var vms []*coldVM
			for _, dc := range []string{"a", "b"} {
				first, second := "vm-1-"+dc, "vm-2-"+dc
				if types.RendezvousScore("t1", first) > types.RendezvousScore("t1", second) {
					first, second = second, first
				}
				vms = append(vms,
					&coldVM{name: first, dataCentre: dc, listsAll: joined + lag, reportsToListedOnly: true},
					&coldVM{name: second, dataCentre: dc, startsAt: joined, listsAll: joined},
				)
			}
			sends := coldStartSimulation(8*time.Second, vms)
			if n := mostWithinSecond(sends); n > 14 {
				t.Errorf("joined after %v, known after %v: %d requests within a second, 14 are allowed", joined, lag, n)
			}
			// The two VMs that warm the target send 5 requests each in coldWindow, except while a new VM waits.
			if len(sends) < 40 {
				t.Errorf("joined after %v, known after %v: only %d requests in 8 s", joined, lag, len(sends))
			}
			t.Logf("joined after %v, known after %v: %d requests in 8 s", joined, lag, len(sends))
		}
	}
}

// Guards against a VM that waits without end for the report of a neighbour that is down but still listed.
func TestStartingVMDoesNotWaitForSilentNeighbour(t *testing.T) {
	is := is.New(t)
	cold := listing("orders", "t1", "a")
	cold.ColdUntil = start.Add(time.Minute)
	own, other := "vm-1", "vm-2"
	if types.RendezvousScore("t1", own) < types.RendezvousScore("t1", other) {
		own, other = other, own
	}
	c := &testCore{Core: New(testSettings(own), rand.New(rand.NewPCG(1, 2))), now: start}
	c.step(Services{Services: map[types.Service]catalog.Service{"orders": {Name: "orders", MaxConnections: 100, MaxColdRate: 4}}})
	c.step(Targets{Targets: []catalog.Listing{cold}})
	c.step(Peers{VMs: []types.VM{types.VM(own), types.VM(other)}, Neighbours: []types.VM{types.VM(other)}})
	c.now = start.Add(silentNeighbourDelay - time.Millisecond)
	_, actions := c.arrive(orders, 0)
	is.Equal(len(find[Send](actions)), 0)
	c.now = start.Add(silentNeighbourDelay)
	_, actions = c.arrive(orders, 0)
	is.Equal(len(find[Send](actions)), 1)
}

// newColdFleet returns the VMs of two data centres with n VMs each, those of a data centre by falling score for the cold target.
func newColdFleet(n int) (vms []*coldVM) {
	for _, dc := range []string{"a", "b"} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("vm-%d-%s", i, dc))
		}
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Compare(types.RendezvousScore("t1", b), types.RendezvousScore("t1", a))
		})
		for _, name := range names {
			vms = append(vms, &coldVM{name: name, dataCentre: dc})
		}
	}
	return vms
}

// Guards against VMs of a data centre that each take themselves for the one that sends to a cold target, because the store has
// dropped the entries of some of them. The VMs without an entry go on, and have the highest scores for the target.
func TestColdTargetLimitHoldsWhileVMsAreNotListed(t *testing.T) {
	for _, unlisted := range []int{1, 2, 3, 7} {
		vms := newColdFleet(8)
		for i, v := range vms {
			if i%8 < unlisted {
				v.unlisted = interval{from: 3 * time.Second, to: 7 * time.Second}
			}
		}
		sends := coldStartSimulation(10*time.Second, vms)
		if n := mostWithinSecond(sends); n > 14 {
			t.Errorf("%d of 8 VMs not listed: %d requests within a second, 14 are allowed", unlisted, n)
		}
		// The two VMs that warm the target send 5 requests each in coldWindow. They may pause when the list changes.
		if len(sends) < 40 {
			t.Errorf("%d of 8 VMs not listed: only %d requests in 10 s", unlisted, len(sends))
		}
		t.Logf("%d of 8 VMs not listed: %d requests in 10 s", unlisted, len(sends))
	}
}

// Guards against VMs that forget what they have sent to a cold target when its registration is missing for a moment, for example
// after the store was away or because another writer has overwritten it: the target would get what it tolerates twice.
func TestColdTargetLimitHoldsWhenRegistrationReturns(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		for _, missing := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond} {
			vms := newColdFleet(4)
			for _, v := range vms {
				v.lacksTarget = interval{from: 5 * time.Second, to: 5*time.Second + missing}
			}
			sends := simulateColdTarget(8*time.Second, vms, keyed)
			if n := mostWithinSecond(sends); n > 14 {
				t.Errorf("keyed %v, missing for %v: %d requests within a second, 14 are allowed", keyed, missing, n)
			}
			if len(sends) < 40 {
				t.Errorf("keyed %v, missing for %v: only %d requests in 8 s", keyed, missing, len(sends))
			}
			t.Logf("keyed %v, missing for %v: %d requests in 8 s, %d within a second", keyed, missing, len(sends), mostWithinSecond(sends))
		}
	}
}

// Guards against a VM that is cut off from the others and goes on sending to cold targets, while another VM has taken its place.
// The others drop it from their lists after the time to live of its entry, or at once.
func TestColdTargetLimitHoldsWhileVMsAreCutOff(t *testing.T) {
	for _, cutOff := range []int{1, 2, 3} {
		for _, ttl := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second} {
			vms := newColdFleet(8)
			for i, v := range vms {
				if i%8 < cutOff {
					v.isolated = interval{from: 3 * time.Second, to: 8 * time.Second}
					v.unlisted = interval{from: 3*time.Second + ttl, to: 8200 * time.Millisecond}
				}
			}
			sends := coldStartSimulation(11*time.Second, vms)
			if n := mostWithinSecond(sends); n > 14 {
				t.Errorf("%d of 8 VMs cut off, dropped after %v: %d requests within a second, 14 are allowed", cutOff, ttl, n)
			}
			if len(sends) < 40 {
				t.Errorf("%d of 8 VMs cut off, dropped after %v: only %d requests in 11 s", cutOff, ttl, len(sends))
			}
			t.Logf("%d of 8 VMs cut off, dropped after %v: %d requests in 11 s", cutOff, ttl, len(sends))
		}
	}
}

// Guards against VMs that all send their requests for keys of a cold owner at once, each up to the limit of its data centre,
// before they learn of each other's. Each VM gets 5 requests a second for the owner, of which the target tolerates 14 within a
// second.
func TestColdOwnerLimitHoldsForManyVMs(t *testing.T) {
	for _, n := range []int{1, 3, 8, 24} {
		sends := simulateColdTarget(8*time.Second, newColdFleet(n), true)
		most := mostWithinSecond(sends)
		if most > 14 {
			t.Errorf("%d VMs in each data centre: %d requests within a second, 14 are allowed", n, most)
		}
		// The first requests come 1.2 s after the start; two data centres send 5 each in coldWindow.
		if len(sends) < 50 {
			t.Errorf("%d VMs in each data centre: only %d requests in 8 s", n, len(sends))
		}
		t.Logf("%d VMs in each data centre: %d requests in 8 s, %d within a second", n, len(sends), most)
	}
}

// Guards against VMs that are cut off from the others and send to the cold owner of a key, because each assumes that the others
// leave it its share: the share of many VMs is less than one request, and each sends one.
func TestColdOwnerLimitHoldsWhileVMsAreCutOff(t *testing.T) {
	vms := newColdFleet(24)
	for i, v := range vms {
		if i%3 == 0 {
			v.isolated = interval{from: 3 * time.Second, to: 8 * time.Second}
			v.unlisted = interval{from: 6 * time.Second, to: 8200 * time.Millisecond}
		}
	}
	sends := simulateColdTarget(11*time.Second, vms, true)
	if n := mostWithinSecond(sends); n > 14 {
		t.Errorf("%d requests within a second, 14 are allowed", n)
	}
	if len(sends) < 70 {
		t.Errorf("only %d requests in 11 s", len(sends))
	}
	t.Logf("%d requests in 11 s", len(sends))
}
