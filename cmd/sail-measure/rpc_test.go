package main

import (
	"fmt"
	"net"
	"net/rpc"
	"runtime"
	"sync/atomic"
	"testing"

	"sequoiasail.example/daemon/process"
	"sequoiasail.example/ownership"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// countingConn counts the bytes that a connection reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Wire serves the peer RPC methods with answers of typical size.
type Wire struct{}

// Confirm echoes the member and the versions, as a peer does that knows nothing newer.
func (w *Wire) Confirm(r *peer.ConfirmRequest, a *peer.ConfirmAnswer) error {
	*a = peer.ConfirmAnswer{Status: 1, Member: r.Member, Versions: r.Versions}
	return nil
}

// Report acknowledges a load report.
func (w *Wire) Report(*peer.LoadReport, *peer.Empty) error { return nil }

// Do answers a request with a body of 1 KiB.
func (w *Wire) Do(_ *peer.DoRequest, a *peer.DoAnswer) error {
	a.Body = make([]byte, 1024)
	return nil
}

// Install acknowledges the documents.
func (w *Wire) Install(r *peer.InstallRequest, a *peer.InstallAnswer) error {
	*a = peer.InstallAnswer{Installed: true, Member: r.Member}
	return nil
}

// benchmarkCall measures one net/rpc call over loopback and reports the bytes of both directions.
func benchmarkCall(b *testing.B, method string, args, reply any) {
	server := rpc.NewServer()
	if err := server.RegisterName("Wire", &Wire{}); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go server.Accept(l)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	client := rpc.NewClient(countingConn{conn, &bytes})
	defer func() { _ = client.Close() }()
	if err := client.Call(method, args, reply); err != nil { // the first call also sends the type descriptions of encoding/gob
		b.Fatal(err)
	}
	before := bytes.Load()
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Call(method, args, reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B/call")
}

// vmRun identifies one run of the dispatcher on the i-th VM.
func vmRun(i int) peer.VouchRun {
	return peer.VouchRun{VM: types.VM(fmt.Sprintf("cl-centro-a-vm%d", i)), Incarnation: 1_764_846_000_000_000_000}
}

// BenchmarkRPCConfirm measures a confirmation with the versions of 1 to 9 services.
func BenchmarkRPCConfirm(b *testing.B) {
	for _, services := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r := &peer.ConfirmRequest{Group: "data-centre/cl-centro-a", Asker: vmRun(1), Member: vmRun(2), AskedAt: 1 << 50}
			for i := range services {
				r.Versions = append(r.Versions, peer.VouchVersion{Key: fmt.Sprintf("lease/service-%d", i), Epoch: 12345})
			}
			benchmarkCall(b, "Wire.Confirm", r, &peer.ConfirmAnswer{})
		})
	}
}

// BenchmarkRPCReport measures the load report of one target with 10 to 153 slots.
func BenchmarkRPCReport(b *testing.B) {
	for _, slots := range []int{10, 38, 153} { // of 4,096, 16,384 and 65,536 slots over 430 targets
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			t := peer.TargetLoad{Target: types.TargetID{Service: "catalogo", Target: "catalogo-17"}}
			for i := range slots {
				t.Slots = append(t.Slots, types.Slot(i*430))
				t.Loads = append(t.Loads, float32(i)*1.37)
			}
			for i := range 16 {
				t.Keys = append(t.Keys, types.HashKey(fmt.Sprint(i)))
				t.KeyLoads = append(t.KeyLoads, float32(i)*1.37)
			}
			benchmarkCall(b, "Wire.Report", &peer.LoadReport{From: "cl-centro-a-vm1", Targets: []peer.TargetLoad{t}}, &peer.Empty{})
		})
	}
}

// BenchmarkRPCDo measures a request without a body.
func BenchmarkRPCDo(b *testing.B) {
	r := &peer.DoRequest{Service: "catalogo", KeyHash: 1 << 60, Method: "GET"}
	benchmarkCall(b, "Wire.Do", r, &peer.DoAnswer{})
}

// slotDocument returns the encoded form of a slot document with n runs of one slot each.
func slotDocument(b *testing.B, n int) []byte {
	d := ownership.Document{Key: ownership.SlotsKey("catalogo", 0), Store: 12345, Slots: &ownership.SlotDocument{}}
	for i := range n {
		d.Slots.Runs = append(d.Slots.Runs, ownership.Run{First: types.Slot(i), Count: 1, Ownership: ownership.Ownership{
			State: ownership.SlotOwned, Owner: types.Target(fmt.Sprintf("catalogo-%d", i%430)), Term: 12345, Epoch: 23456,
		}})
	}
	value, err := process.EncodeDocument(d)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

// BenchmarkRPCInstall measures the installation of one slot document with 30 to 4,096 runs.
func BenchmarkRPCInstall(b *testing.B) {
	for _, runs := range []int{30, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			d := peer.VouchDocument{Key: "table/catalogo/0", Store: 12345, Value: slotDocument(b, runs)}
			r := &peer.InstallRequest{Planner: vmRun(1), Member: vmRun(2), Documents: []peer.VouchDocument{d}}
			benchmarkCall(b, "Wire.Install", r, &peer.InstallAnswer{})
			b.ReportMetric(float64(len(d.Value)), "B/document")
		})
	}
}

// BenchmarkDocument measures the decoding of a changed slot document, which every process does.
func BenchmarkDocument(b *testing.B) {
	for _, runs := range []int{30, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			e := store.Event{Entry: store.Entry{Key: "table/catalogo/0", Value: slotDocument(b, runs), Revision: 1}}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok, err := process.DecodeDocument(e); !ok || err != nil {
					b.Fatal(ok, err)
				}
			}
		})
	}
}

// BenchmarkRPCConnections reports the memory of both ends of a connection that is idle after one call.
func BenchmarkRPCConnections(b *testing.B) {
	for _, n := range []int{50, 200, 430} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				bytes = connectionMemory(b, n)
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/connection")
		})
	}
}

// connectionMemory returns the memory of n connections within this process, clients and server together.
func connectionMemory(b *testing.B, n int) uint64 {
	server := rpc.NewServer()
	if err := server.RegisterName("Wire", &Wire{}); err != nil {
		b.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go server.Accept(l)
	before := memoryInUse()
	for range n {
		client, err := rpc.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = client.Close() }()
		request := &peer.DoRequest{Service: "catalogo", KeyHash: 1, Method: "GET"}
		if err := client.Call("Wire.Do", request, &peer.DoAnswer{}); err != nil {
			b.Fatal(err)
		}
	}
	return memoryInUse() - before
}

// memoryInUse returns the size of the heap and the goroutine stacks in use.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
