package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/config"
	"sequoiasail.example/duty"
	standin "sequoiasail.example/standin/store"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"

	"sequoiasail.example/cmd/internal/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a running stand-in store with a client.
type fixture struct {
	*is.I
	t       *testing.T
	address string
	client  *store.HTTP
}

// startStore starts a stand-in store that is stopped at the end of the test.
func startStore(t *testing.T) *fixture {
	t.Helper()
	g := duty.NewGroup()
	address, err := standin.Start(t.Context(), g, standin.Options{Listen: "127.0.0.1:0"})
	f := &fixture{I: is.New(t), t: t, address: address}
	f.NoErr(err)
	f.client = store.NewHTTP(store.Options{Address: address, Name: "test", Timeout: 5 * time.Second})
	t.Cleanup(func() {
		f.client.Close()
		http.DefaultClient.CloseIdleConnections()
		f.NoErr(g.Stop(context.Background()))
	})
	return f
}

// setFaults replaces the faults that the stand-in store injects.
func (f *fixture) setFaults(v standin.Faults) {
	f.t.Helper()
	data, err := json.Marshal(v)
	f.NoErr(err)
	res, err := http.Post("http://"+f.address+standin.PathFaults, "application/json", bytes.NewReader(data))
	f.NoErr(err)
	f.NoErr(res.Body.Close())
}

// newOperator returns an operator that uses the store s, or the fixture's client when s is nil.
func (f *fixture) newOperator(name string, s operator.Store) *operator.Operator {
	if s == nil {
		s = f.client
	}
	var n atomic.Int64
	return &operator.Operator{
		Store: s, Name: name, Now: func() time.Time { return time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC) },
		NewWriteID: func() string { return name + "-" + strconv.FormatInt(n.Add(1), 10) },
	}
}

// newApplyRequest returns a request for the joint-venture example with a lateAfterMs of late. Requests with different
// values have different content.
func newApplyRequest(t testing.TB, expect types.Version, late int64) operator.ApplyRequest {
	t.Helper()
	data, err := os.ReadFile("../../../examples/joint-venture/answers.json")
	if err != nil {
		t.Fatal(err)
	}
	a, err := config.ParseAnswers(data)
	if err != nil {
		t.Fatal(err)
	}
	a.Services[1].Requests[0].LateAfterMs = late
	c, err := config.Generate(a)
	if err != nil {
		t.Fatal(err)
	}
	return operator.ApplyRequest{Configuration: c, Expect: expect, Note: "late after " + strconv.FormatInt(late, 10)}
}

// casHook is a store whose CAS method is replaced by cas.
type casHook struct {
	operator.Store
	cas func(ctx context.Context, w store.Write) (types.Revision, error)
}

func (h *casHook) CAS(ctx context.Context, w store.Write) (types.Revision, error) {
	return h.cas(ctx, w)
}

// fakeFleet returns the statuses computed by status. A status without a VM means that the process does not answer.
type fakeFleet struct {
	names  []string
	round  int
	status func(round int, name string) telemetry.Status
}

func (f *fakeFleet) Query(context.Context) []operator.StatusReport {
	f.round++
	var out []operator.StatusReport
	for _, name := range f.names {
		r := operator.StatusReport{Process: operator.Process{VM: types.VM(name), Role: "dispatcher"}, At: time.Unix(int64(f.round), 0)}
		if r.Status = f.status(f.round, name); r.Status.VM == "" {
			r.Err = types.NewFault(types.CodePeerUnavailable, "does not answer")
		}
		out = append(out, r)
	}
	return out
}
