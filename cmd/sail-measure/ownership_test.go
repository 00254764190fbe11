package main

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sequoiasail.example/config"
	"sequoiasail.example/ownership"
	"sequoiasail.example/types"
)

// ownedService is the service whose slots are owned by targets.
const ownedService = types.Service("catalogo")

// benchmarkFleet describes a fleet in 6 data centres with one dispatcher for each target. Each target owns a range of
// neighbouring slots.
type benchmarkFleet struct {
	slots, targets int
}

// configuration returns the configuration of the fleet.
func (f benchmarkFleet) configuration() *config.Configuration {
	s := config.Service{Name: ownedService, Keyed: true, Slots: uint32(f.slots), Scope: config.ScopeDataCentre}
	c := &config.Configuration{Version: 1}
	for i := range 6 {
		c.DataCentres = append(c.DataCentres, config.DataCentre{Name: f.dataCentre(i)})
	}
	for i := range f.targets {
		s.Targets = append(s.Targets, config.Target{Name: f.target(i), DataCentre: f.dataCentre(i), Weight: 1})
	}
	c.Services = []config.Service{s}
	c.Ownership = config.Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600}
	return c
}

func (benchmarkFleet) dataCentre(i int) types.DataCentre {
	return types.DataCentre(fmt.Sprintf("dc-%d", i%6))
}

func (benchmarkFleet) target(i int) types.Target { return types.Target(fmt.Sprintf("catalogo-%d", i)) }

func (benchmarkFleet) peer(i int) ownership.Peer {
	return ownership.Peer{VM: types.VM(fmt.Sprintf("vm-%d", i)), Incarnation: 1}
}

// documents returns the lease document and all slot documents of the store.
func (f benchmarkFleet) documents() []ownership.Document {
	leases := &ownership.LeaseDocument{Header: ownership.Header{Epoch: 1}}
	for i := range f.targets {
		leases.Leases = append(leases.Leases, ownership.Lease{
			Target: f.target(i), DataCentre: f.dataCentre(i), State: ownership.LeaseActive, Epoch: 1, Term: 1, Holder: f.peer(i),
		})
	}
	out := []ownership.Document{{Key: ownership.LeasesKey(ownedService), Store: 1, Leases: leases}}
	for part := range f.slots / ownership.SlotsPerDocument {
		out = append(out, f.part(part, 1))
	}
	return out
}

// part returns the slot document of one part of the slot table.
func (f benchmarkFleet) part(part int, epoch types.Epoch) ownership.Document {
	d := &ownership.SlotDocument{Header: ownership.Header{Epoch: epoch}}
	first := part * ownership.SlotsPerDocument
	for slot := first; slot < first+ownership.SlotsPerDocument; {
		owner := slot * f.targets / f.slots
		end := slot
		for end < first+ownership.SlotsPerDocument && end*f.targets/f.slots == owner {
			end++
		}
		d.Runs = append(d.Runs, ownership.Run{First: types.Slot(slot), Count: uint32(end - slot), Ownership: ownership.Ownership{
			State: ownership.SlotOwned, Owner: f.target(owner), Term: 1, Epoch: epoch,
		}})
		slot = end
	}
	return ownership.Document{Key: ownership.SlotsKey(ownedService, uint16(part)), Store: types.Revision(epoch), Slots: d}
}

// newCore returns the ownership core of a dispatcher that has read all documents and, if planner is true, holds the
// planner lease. It also returns the time of the last step.
func (f benchmarkFleet) newCore(planner bool) (*ownership.Core, types.Instant) {
	now := types.Instant(time.Hour)
	c := ownership.New(ownership.Self{Peer: f.peer(0), DataCentre: f.dataCentre(0)}, f.configuration())
	var members []ownership.Member
	for i := range f.targets {
		members = append(members, ownership.Member{Peer: f.peer(i), DataCentre: f.dataCentre(i), State: ownership.MemberLive})
	}
	c.Step(now, ownership.Message{Kind: ownership.KindMembers, Members: members}, nil)
	c.Step(now, ownership.Message{Kind: ownership.KindStoreRead, Read: ownership.StoreRead{SentAt: now, Documents: f.documents()}}, nil)
	if planner {
		c.Step(now, ownership.Message{Kind: ownership.KindPlannerGained}, nil)
	}
	return c, now
}

// benchmarkOwnershipSizes runs a benchmark for several numbers of slots and targets.
func benchmarkOwnershipSizes(b *testing.B, run func(b *testing.B, f benchmarkFleet)) {
	for _, slots := range []int{4096, 16384, 65536} {
		for _, targets := range []int{20, 100, 430} {
			b.Run(fmt.Sprintf("slots=%d/targets=%d", slots, targets), func(b *testing.B) { run(b, benchmarkFleet{slots, targets}) })
		}
	}
}

// BenchmarkOwnershipTick measures the timer step of the ownership core, with and without the planner lease.
func BenchmarkOwnershipTick(b *testing.B) {
	benchmarkOwnershipSizes(b, func(b *testing.B, f benchmarkFleet) {
		for _, planner := range []bool{false, true} {
			b.Run(fmt.Sprintf("planner=%t", planner), func(b *testing.B) {
				c, now := f.newCore(planner)
				var out []ownership.Action
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(time.Millisecond)
					out = c.Tick(now, out[:0])
				}
			})
		}
	})
}

// BenchmarkOwnershipPart measures the step that applies a change of one slot document.
func BenchmarkOwnershipPart(b *testing.B) {
	benchmarkOwnershipSizes(b, func(b *testing.B, f benchmarkFleet) {
		c, now := f.newCore(false)
		epoch := types.Epoch(1)
		for b.Loop() {
			b.StopTimer()
			epoch++
			d := []ownership.Document{f.part(0, epoch)}
			b.StartTimer()
			now = now.Add(time.Millisecond)
			c.Step(now, ownership.Message{Kind: ownership.KindStoreRead, Read: ownership.StoreRead{SentAt: now, Documents: d}}, nil)
		}
	})
}

// BenchmarkOwnershipMemory reports the heap size of the ownership core of a dispatcher.
func BenchmarkOwnershipMemory(b *testing.B) {
	benchmarkOwnershipSizes(b, func(b *testing.B, f benchmarkFleet) {
		var before, after runtime.MemStats
		var bytes uint64
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, _ := f.newCore(false)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes = after.HeapAlloc - before.HeapAlloc
			runtime.KeepAlive(c)
		}
		b.ReportMetric(float64(bytes), "B/core")
	})
}
