package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	standin "sequoiasail.example/standin/target"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// shortDeadline ends calls that are never answered. No result depends on its length.
	shortDeadline = 50 * time.Millisecond
	// forever is longer than any test.
	forever = time.Hour
	epoch   = types.Epoch(7)
)

type fixture struct {
	*is.I
	t       *testing.T
	address string
	control string
	client  *target.HTTP
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func start(t *testing.T, change func(*standin.Settings)) *fixture {
	t.Helper()
	s := standin.DefaultSettings()
	s.WarmMs = 0
	s.JournalReads = true
	if change != nil {
		change(&s)
	}
	g := duty.NewGroup()
	control := freeAddress(t)
	started, err := standin.Start(t.Context(), g, []standin.Settings{s}, control)
	f := &fixture{I: is.New(t), t: t, control: "http://" + control}
	f.NoErr(err)
	f.address = started[0].Address
	f.client = f.connect()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		f.NoErr(g.Stop(context.Background()))
	})
	return f
}

func (f *fixture) connect() *target.HTTP {
	c := target.NewHTTP(target.Options{Address: f.address})
	f.t.Cleanup(c.CloseConnection)
	return c
}

func (f *fixture) setFaults(v standin.Faults) {
	f.t.Helper()
	f.post("http://"+f.address+standin.PathFaults, v)
}

func (f *fixture) post(url string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	f.NoErr(err)
	res, err := http.Post(url, "application/json", bytes.NewReader(data))
	f.NoErr(err)
	f.NoErr(res.Body.Close())
	f.Equal(res.StatusCode, http.StatusOK)
}

func (f *fixture) get(path string, v any) { f.t.Helper(); f.read("http://"+f.address+path, v) }

func (f *fixture) read(url string, v any) {
	f.t.Helper()
	res, err := http.Get(url)
	f.NoErr(err)
	defer res.Body.Close()
	f.NoErr(json.NewDecoder(res.Body).Decode(v))
}

func (f *fixture) journal() []standin.JournalEntry {
	f.t.Helper()
	var j standin.JournalAnswer
	f.get(standin.PathJournal, &j)
	return j.Entries
}

func (f *fixture) stats() (s standin.Stats) {
	f.t.Helper()
	f.get(standin.PathStats, &s)
	return s
}

func (f *fixture) grant() target.GrantResponse {
	f.t.Helper()
	g := target.GrantRequest{Slots: []target.SlotRange{{Start: 0, Count: 8, Epoch: 1}}, TTL: forever}
	g.LeaseEpoch = epoch
	first, err := f.client.Grant(f.t.Context(), g)
	f.Equal(types.CodeOf(err), types.CodeStaleToken)
	g.Fencing = fencing(epoch, first)
	a, err := f.client.Grant(f.t.Context(), g)
	f.NoErr(err)
	return a
}

func fencing(e types.Epoch, a target.GrantResponse) target.Fencing {
	return target.Fencing{LeaseEpoch: e, Token: a.Token, Incarnation: a.Incarnation}
}

func newRequest(id types.RequestID) target.Request {
	return target.Request{
		RequestID: id, Service: "objednavky", Key: "k", Slot: 3, LeaseEpoch: epoch,
		Method: http.MethodPost, Path: "/v1/objednavky/k", Body: []byte("order"),
	}
}

// failure returns the failure of r, which must not succeed.
func (f *fixture) failure(ctx context.Context, r target.Request) *target.Failure {
	f.t.Helper()
	_, err := f.client.Do(ctx, r)
	var failure *target.Failure
	f.True(errors.As(err, &failure))
	return failure
}
