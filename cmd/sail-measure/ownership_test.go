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

const ownedService = types.Service("catalogo")

// table is a fleet of as many dispatchers as targets, in 6 data centres, with neighbouring slots together.
type table struct {
	slots, targets int
}

func (z table) configuration() *config.Configuration {
	s := config.Service{Name: ownedService, Keyed: true, Slots: uint32(z.slots), Scope: config.ScopeDataCentre}
	c := &config.Configuration{Version: 1}
	for i := range 6 {
		c.DataCentres = append(c.DataCentres, config.DataCentre{Name: z.centre(i)})
	}
	for i := range z.targets {
		s.Targets = append(s.Targets, config.Target{Name: z.target(i), DataCentre: z.centre(i), Weight: 1})
	}
	c.Services = []config.Service{s}
	c.Ownership = config.Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600}
	return c
}

func (table) centre(i int) types.DataCentre { return types.DataCentre(fmt.Sprintf("dc-%d", i%6)) }

func (table) target(i int) types.Target { return types.Target(fmt.Sprintf("catalogo-%d", i)) }

func (table) peer(i int) ownership.Peer {
	return ownership.Peer{VM: types.VM(fmt.Sprintf("vm-%d", i)), Incarnation: 1}
}

func (z table) documents() []ownership.Document {
	leases := &ownership.LeaseDocument{Header: ownership.Header{Epoch: 1}}
	for i := range z.targets {
		leases.Leases = append(leases.Leases, ownership.Lease{
			Target: z.target(i), DataCentre: z.centre(i), State: ownership.LeaseActive, Epoch: 1, Term: 1, Holder: z.peer(i),
		})
	}
	out := []ownership.Document{{Key: ownership.LeasesKey(ownedService), Store: 1, Leases: leases}}
	for part := range z.slots / ownership.SlotsPerDocument {
		out = append(out, z.part(part, 1))
	}
	return out
}

// part returns one slot document, in which each target has its share of neighbouring slots.
func (z table) part(part int, epoch types.Epoch) ownership.Document {
	d := &ownership.SlotDocument{Header: ownership.Header{Epoch: epoch}}
	first := part * ownership.SlotsPerDocument
	for slot := first; slot < first+ownership.SlotsPerDocument; {
		owner := slot * z.targets / z.slots
		end := slot
		for end < first+ownership.SlotsPerDocument && end*z.targets/z.slots == owner {
			end++
		}
		d.Runs = append(d.Runs, ownership.Run{First: types.Slot(slot), Count: uint32(end - slot), Ownership: ownership.Ownership{
			State: ownership.SlotOwned, Owner: z.target(owner), Term: 1, Epoch: epoch,
		}})
		slot = end
	}
	return ownership.Document{Key: ownership.SlotsKey(ownedService, uint16(part)), Store: types.Revision(epoch), Slots: d}
}

// core returns a dispatcher that knows the table and, if planner is true, holds the planner lease.
func (z table) core(planner bool) (*ownership.Core, types.Instant) {
	now := types.Instant(time.Hour)
	c := ownership.New(ownership.Self{Peer: z.peer(0), DataCentre: z.centre(0)}, z.configuration())
	var members []ownership.Member
	for i := range z.targets {
		members = append(members, ownership.Member{Peer: z.peer(i), DataCentre: z.centre(i), State: ownership.MemberLive})
	}
	c.Step(now, ownership.Message{Kind: ownership.KindMembers, Members: members}, nil)
	c.Step(now, ownership.Message{Kind: ownership.KindStoreRead, Read: ownership.StoreRead{SentAt: now, Documents: z.documents()}}, nil)
	if planner {
		c.Step(now, ownership.Message{Kind: ownership.KindPlannerGained}, nil)
	}
	return c, now
}

func ownershipSizes(b *testing.B, run func(b *testing.B, z table)) {
	for _, slots := range []int{4096, 16384, 65536} {
		for _, targets := range []int{20, 100, 430} {
			b.Run(fmt.Sprintf("slots=%d/targets=%d", slots, targets), func(b *testing.B) { run(b, table{slots, targets}) })
		}
	}
}

// BenchmarkOwnershipTick measures a dispatcher's timers, and the planner's.
func BenchmarkOwnershipTick(b *testing.B) {
	ownershipSizes(b, func(b *testing.B, z table) {
		for _, planner := range []bool{false, true} {
			b.Run(fmt.Sprintf("planner=%t", planner), func(b *testing.B) {
				c, now := z.core(planner)
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

// BenchmarkOwnershipPart measures the change of one part of the table.
func BenchmarkOwnershipPart(b *testing.B) {
	ownershipSizes(b, func(b *testing.B, z table) {
		c, now := z.core(false)
		epoch := types.Epoch(1)
		for b.Loop() {
			b.StopTimer()
			epoch++
			d := []ownership.Document{z.part(0, epoch)}
			b.StartTimer()
			now = now.Add(time.Millisecond)
			c.Step(now, ownership.Message{Kind: ownership.KindStoreRead, Read: ownership.StoreRead{SentAt: now, Documents: d}}, nil)
		}
	})
}

// BenchmarkOwnershipMemory reports the heap of a dispatcher's ownership core.
func BenchmarkOwnershipMemory(b *testing.B) {
	ownershipSizes(b, func(b *testing.B, z table) {
		var before, after runtime.MemStats
		var bytes uint64
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			c, _ := z.core(false)
			runtime.GC()
			runtime.ReadMemStats(&after)
			bytes = after.HeapAlloc - before.HeapAlloc
			runtime.KeepAlive(c)
		}
		b.ReportMetric(float64(bytes), "B/core")
	})
}
