package routing_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"sequoiasail.example/routing"
	"sequoiasail.example/types"
)

var designFleet = fleetSize{slots: 65536, targets: 430, vms: 430}

// requestAndResult measures one request from its arrival to its reply with 512 requests in progress.
func requestAndResult(b *testing.B, z fleetSize, service types.Service) {
	const window = 512
	c := newReadyCore(z)
	out := make([]routing.Action, 0, 16)
	request := routing.Message{Kind: routing.KindRequest}
	result := routing.Message{Kind: routing.KindResult}
	random := rand.New(rand.NewPCG(3, 4))
	step := func(i int) {
		now := types.Instant(i+1) * 10_000
		request.Request = routing.Request{
			Handle: uint64(i), Service: service, Key: types.KeyHash(random.Uint64()), Idempotent: true,
			Deadline: now.Add(time.Second),
		}
		out = c.Step(now, &request, out[:0])
		if i >= window {
			result.Result = routing.Result{Handle: uint64(i - window), Attempt: 1, Outcome: types.OutcomeDone}
			out = c.Step(now, &result, out[:0])
		}
		out = c.Tick(now, out[:0])
	}
	for i := range 4 * window {
		step(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		step(i + 4*window)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

func BenchmarkKeyed(b *testing.B) { requestAndResult(b, designFleet, keyedService) }

func BenchmarkTwoChoices(b *testing.B) { requestAndResult(b, designFleet, unkeyedService) }

func BenchmarkInstallTable(b *testing.B) {
	for _, slots := range []uint32{4096, 16384, 65536} {
		z := fleetSize{slots: slots, targets: 430, vms: 430}
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			c := newReadyCore(z)
			m := routing.Message{Kind: routing.KindTable, Table: table(z, 1)}
			b.ReportAllocs()
			for b.Loop() {
				m.Table.Revision++
				c.Step(1, &m, nil)
			}
		})
	}
}

// BenchmarkMemory reports the heap in use by the tables of a keyed and an unkeyed service, without the slab of requests.
func BenchmarkMemory(b *testing.B) {
	for _, slots := range []uint32{4096, 16384, 65536} {
		for _, targets := range []int{20, 100, 430} {
			b.Run(fmt.Sprintf("slots=%d/targets=%d", slots, targets), func(b *testing.B) {
				z := fleetSize{slots: slots, targets: targets, vms: targets}
				var bytes uint64
				for b.Loop() {
					empty := heapOf(func() any { return routing.New(routing.Options{}) })
					bytes = heapOf(func() any { return newReadyCore(z) }) - empty
				}
				b.ReportMetric(float64(bytes), "B/core")
			})
		}
	}
}

// heapOf returns the heap that is in use while the value of build is reachable.
func heapOf(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return after.HeapAlloc - before.HeapAlloc
}
