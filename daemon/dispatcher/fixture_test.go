package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sequoiasail.example/config"
	"sequoiasail.example/daemon/process"
	"sequoiasail.example/dispatch"
	"sequoiasail.example/duty"
	"sequoiasail.example/ownership"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testVM     = types.VM("dc-a-vm1")
	nextVM     = types.VM("dc-a-vm2")
	testCentre = types.DataCentre("dc-a")
	tableSlots = 16
)

var (
	keyedTarget   = types.TargetID{Service: "mapa", Target: "mapa-1"}
	unkeyedTarget = types.TargetID{Service: "objednavky", Target: "objednavky-1"}
)

func quietLog() *telemetry.Log { return telemetry.NewLog(io.Discard, nil) }

func testConfiguration() *config.Configuration {
	classes := []config.ClassPolicy{
		{Class: "lookup", TimeoutMs: 5000, QueueLimit: 1000},
		{Class: "order", TimeoutMs: 5000, QueueLimit: 1000, RememberMs: 600_000},
	}
	targetOf := func(id types.TargetID) []config.Target {
		return []config.Target{{
			Name: id.Target, DataCentre: testCentre, Address: "127.0.0.1:1", Slots: 4, Connections: 8, Weight: 1,
		}}
	}
	return &config.Configuration{
		Version:     1,
		DataCentres: []config.DataCentre{{Name: testCentre, Region: "test"}},
		Services: []config.Service{
			{
				Name: keyedTarget.Service, Keyed: true, Slots: tableSlots, Scope: config.ScopeAll,
				Targets: targetOf(keyedTarget), WriteClass: "order", Classes: classes,
			},
			{
				Name: unkeyedTarget.Service, Scope: config.ScopeDataCentre,
				Targets: targetOf(unkeyedTarget), WriteClass: "order", Classes: classes,
			},
		},
		Ownership: config.Ownership{PermitMs: 500, GrantMs: 700, MarginMs: 100, SuspicionMs: 600},
	}
}

// testWorker is a worker that records the drains it reports and ignores its other outputs. Its duty runs only after
// start.
type testWorker struct {
	*worker
	t *testing.T
	// drained receives the drains that worker.drained is called with.
	drained chan ownership.Drained
}

func newTestWorker(t *testing.T, client target.Client) *testWorker {
	w := newWorker(testVM, testCentre, 1<<30, quietLog(), telemetry.NewMetrics())
	out := &testWorker{worker: w, t: t, drained: make(chan ownership.Drained, 16)}
	w.reportCondition = func(types.TargetID, dispatch.Condition) {}
	w.drained = func(d ownership.Drained) bool { out.drained <- d; return true }
	w.reportToPlanner = func(*peer.LoadReport) {}
	w.connect = func(string) target.Client { return client }
	w.applyControl(context.Background(), workerControl{config: testConfiguration()})
	return out
}

// serveUnkeyed gives the worker the lease of the target without keys.
func (w *testWorker) serveUnkeyed() {
	w.applyServe(context.Background(), &serveChange{
		target: unkeyedTarget, epoch: 1, number: 1, validUntil: telemetry.Now().Add(time.Hour), keysChanged: true,
	})
}

// start runs the dispatch duty until the test ends.
func (w *testWorker) start() *duty.Group {
	w.t.Helper()
	g := duty.NewGroup()
	g.Add(w.duty())
	if err := g.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = g.Stop(context.Background()) })
	return g
}

func lookup(id types.RequestID) *peer.DoRequest {
	return &peer.DoRequest{
		RequestID: id, Caller: "caller", Service: unkeyedTarget.Service, Target: unkeyedTarget.Target, Key: "key",
		LeaseEpoch: 1, Class: types.ClassLookup, Idempotent: true, RemainingNs: int64(2 * time.Second), Method: "GET", Path: "/",
	}
}

// fakeTarget passes requests to do, and counts the calls that close its connection. A nil do returns the request's
// identifier as the body.
type fakeTarget struct {
	target.Client
	do     func(ctx context.Context, r target.Request) (target.Response, error)
	grant  func(target.GrantRequest) (target.GrantResponse, error)
	closed atomic.Int64
}

func (f *fakeTarget) Do(ctx context.Context, r target.Request) (target.Response, error) {
	if f.do != nil {
		return f.do(ctx, r)
	}
	return target.Response{Status: 200, Body: []byte(r.RequestID)}, nil
}

func (f *fakeTarget) Grant(_ context.Context, g target.GrantRequest) (target.GrantResponse, error) {
	return f.grant(g)
}

func (f *fakeTarget) CloseConnection() { f.closed.Add(1) }

func failure(kind target.Kind, written bool) *target.Failure {
	return &target.Failure{Kind: kind, BytesWritten: written, Fault: types.NewFault(types.CodeTargetFailed, "test")}
}

func testSelf() ownership.Self {
	return ownership.Self{Peer: ownership.Peer{VM: testVM, Incarnation: 1}, DataCentre: testCentre}
}

func testMember(vm types.VM, incarnation types.Incarnation) process.Member {
	return process.Member{
		VM: vm, Role: process.RoleDispatcher, DataCentre: testCentre, Incarnation: incarnation, PeerAddress: string(vm) + ":1",
	}
}
