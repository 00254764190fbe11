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
	// shortDeadline ends calls that would never be answered. No verdict depends on its length.
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

func (f *fixture) faults(v standin.Faults) {
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

func (f *fixture) grant() target.GrantAnswer {
	f.t.Helper()
	g := target.GrantRequest{Slots: []target.SlotRun{{Start: 0, Count: 8, Epoch: 1}}, TTL: forever}
	g.LeaseEpoch = epoch
	first, err := f.client.Grant(f.t.Context(), g)
	f.Equal(types.CodeOf(err), types.CodeStaleToken)
	g.Authority = authority(epoch, first)
	a, err := f.client.Grant(f.t.Context(), g)
	f.NoErr(err)
	return a
}

func authority(e types.Epoch, a target.GrantAnswer) target.Authority {
	return target.Authority{LeaseEpoch: e, Token: a.Token, Incarnation: a.Incarnation}
}

func order(id types.RequestID) target.Request {
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

// Guards against answers that lose the target's report or do not show the caller its own write.
func TestRequestRunsUnderAGrant(t *testing.T) {
	f := start(t, nil)
	g := f.grant()
	res, err := f.client.Do(t.Context(), order("r1"))
	f.NoErr(err)
	f.Equal(res.Status, http.StatusOK)
	f.Equal(res.Incarnation, g.Incarnation)
	f.Equal(res.Load.Slots, 4)
	var k standin.KeyState
	f.NoErr(json.Unmarshal(res.Body, &k))
	f.Equal(k, standin.KeyState{Key: "k", Counter: 1, LastWriter: "r1"})
	j := f.journal()
	f.Equal(len(j), 1)
	f.Equal(j[0].Outcome, standin.OutcomeCompleted)
	f.Equal(j[0].LeaseEpoch, epoch)
}

// Guards against a dispatcher or target taking a refusal for a request that may have run, or the reverse.
func TestRefusalsAreNotRun(t *testing.T) {
	f := start(t, nil)
	f.grant()
	stale, foreign := order("r1"), order("r2")
	stale.LeaseEpoch = epoch - 1
	foreign.Slot = 8
	f.refused(stale, types.CodeStaleEpoch)
	f.refused(foreign, types.CodeNotHolder)
	f.faults(standin.Faults{Overloaded: true})
	f.refused(order("r3"), types.CodeOverloaded)
	f.NoErr(f.client.Cancel(t.Context(), "r4"))
	f.refused(order("r4"), types.CodeCancelled)
	f.NoErr(f.client.Drain(t.Context()))
	f.refused(order("r5"), types.CodeShuttingDown)
	f.Equal(len(f.journal()), 0)
}

func (f *fixture) refused(r target.Request, code types.Code) {
	f.t.Helper()
	failure := f.failure(f.t.Context(), r)
	f.Equal(failure.Kind, target.KindRefused)
	f.Equal(failure.Fault.Code, code)
	f.Equal(failure.Fault.Outcome, types.OutcomeNotRun)
	f.True(failure.Incarnation != 0)
}

// Guards against unchecked targets refusing requests, and against runs without a grant going unnoticed.
func TestTargetThatDoesNotCheckGrants(t *testing.T) {
	f := start(t, func(s *standin.Settings) { s.ChecksGrants = false })
	_, err := f.client.Do(t.Context(), order("r1"))
	f.NoErr(err)
	f.Equal(f.stats().GrantViolations, uint64(1))
	_, err = f.client.Renew(t.Context(), target.RenewRequest{})
	f.NoErr(err)
}

// Guards against a release that leaves the slots usable, and against refusals without the token for the next call.
func TestGrantCalls(t *testing.T) {
	f := start(t, nil)
	g := f.grant()
	used := authority(epoch, g)
	renewed, err := f.client.Renew(t.Context(), target.RenewRequest{Authority: used, TTL: forever})
	f.NoErr(err)
	refused, err := f.client.Renew(t.Context(), target.RenewRequest{Authority: used, TTL: forever})
	f.Equal(types.CodeOf(err), types.CodeStaleToken)
	f.True(refused.Token > renewed.Token)
	low, err := f.client.Grant(t.Context(), target.GrantRequest{Authority: authority(epoch-1, refused), TTL: forever})
	f.Equal(types.CodeOf(err), types.CodeStaleEpoch)
	_, err = f.client.Release(t.Context(), target.ReleaseRequest{Authority: authority(epoch, low)})
	f.NoErr(err)
	f.refused(order("r1"), types.CodeNotHolder)
}

// Guards against a failed connection being reported as a request that may have run.
func TestConnectionRefused(t *testing.T) {
	f := start(t, nil)
	f.client = target.NewHTTP(target.Options{Address: "127.0.0.1:1"})
	failure := f.failure(t.Context(), order("r1"))
	f.Equal(failure.Kind, target.KindNotWritten)
	f.True(failure.NotRun())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	failure = f.failure(ctx, order("r2"))
	f.Equal(failure.Kind, target.KindCancelled)
	f.True(failure.NotRun())
}

// Guards against a lost answer being reported as not run: the request took effect.
func TestLostAnswer(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.faults(standin.Faults{LoseAnswers: 1})
	failure := f.failure(t.Context(), order("r1"))
	f.Equal(failure.Kind, target.KindWritten)
	f.Equal(failure.Fault.Outcome, types.OutcomeUnknown)
	f.Equal(len(f.journal()), 1)
}

// Guards against net/http repeating an idempotent request by itself on a reused connection.
func TestNoRequestIsRepeated(t *testing.T) {
	f := start(t, nil)
	f.grant() // opens the connection, so that the request reuses it
	f.faults(standin.Faults{LoseAnswers: 1})
	for _, header := range []http.Header{nil, {"Idempotency-Key": {"r1"}}} {
		r := order("r1")
		r.Method, r.Body, r.Header = http.MethodGet, nil, header
		f.Equal(f.failure(t.Context(), r).Kind, target.KindWritten)
		f.faults(standin.Faults{LoseAnswers: 1})
		_, err := f.client.Health(t.Context())
		f.NoErr(err)
	}
	f.Equal(len(f.journal()), 2)
}

// Guards against a half answer being passed on as a whole one.
func TestCutBody(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.faults(standin.Faults{CutBodies: 1})
	failure := f.failure(t.Context(), order("r1"))
	f.Equal(failure.Kind, target.KindBodyCut)
	f.Equal(failure.Fault.Code, types.CodeTruncatedBody)
	f.Equal(failure.Fault.Outcome, types.OutcomeUnknown)
	_, err := f.client.Do(t.Context(), order("r2"))
	f.NoErr(err)
}

// Guards against the answer to an earlier request reaching a later one on the same client.
func TestLateAnswer(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.faults(standin.Faults{LateAnswers: 1, LateMs: forever.Milliseconds()})
	ctx, cancel := context.WithTimeout(t.Context(), shortDeadline)
	defer cancel()
	failure := f.failure(ctx, order("r1"))
	f.Equal(failure.Kind, target.KindTimeout)
	f.True(!failure.NotRun())
	res, err := f.client.Do(t.Context(), order("r2"))
	f.NoErr(err)
	f.Equal(res.Header.Get(target.HeaderRequestID), "r2")
}

// Guards against a silent connection that blocks its client for good: a new connection works.
func TestSilentConnection(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.faults(standin.Faults{SilentConnections: true})
	r := order("r1")
	r.Deadline = time.Now().Add(shortDeadline)
	f.Equal(f.failure(t.Context(), r).Kind, target.KindTimeout)
	_, err := f.client.Do(t.Context(), order("r2"))
	f.NoErr(err)
	j := f.journal()
	f.Equal(len(j), 1)
	f.Equal(j[0].RequestID, types.RequestID("r2"))
}

// Guards against a frozen target that drops the requests it holds: it runs them when it goes on.
func TestFreeze(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.faults(standin.Faults{Frozen: true})
	done := f.doLater(order("r1"))
	for f.stats().Stalled == 0 {
		f.NoErr(t.Context().Err())
	}
	f.Equal(len(f.journal()), 0)
	f.faults(standin.Faults{})
	f.Equal((<-done).Status, http.StatusOK)
	f.Equal(len(f.journal()), 1)
}

// doLater sends r on the fixture's connection and delivers the response.
func (f *fixture) doLater(r target.Request) <-chan target.Response {
	done := make(chan target.Response, 1)
	r.Deadline = time.Now().Add(forever)
	go func() {
		res, _ := f.client.Do(context.Background(), r)
		done <- res
	}()
	return done
}

// Guards against a crash that keeps grants, its incarnation or its connections.
func TestCrash(t *testing.T) {
	f := start(t, nil)
	before := f.grant()
	f.faults(standin.Faults{RestartMs: 1})
	r := order("r1")
	r.Header = http.Header{standin.HeaderCrash: {"true"}}
	f.Equal(f.failure(t.Context(), r).Kind, target.KindWritten)
	h := f.healthAfterRestart()
	f.True(h.Incarnation > before.Incarnation)
	f.refused(order("r2"), types.CodeNotHolder)
	f.Equal(f.journal()[0].Outcome, standin.OutcomeCrashed)
}

func (f *fixture) healthAfterRestart() target.Health {
	f.t.Helper()
	for {
		h, err := f.client.Health(f.t.Context())
		if err == nil {
			return h
		}
		f.NoErr(f.t.Context().Err())
	}
}

// Guards against a crashed target whose journal and faults can't be reached while it is down.
func TestControlPageOutlivesACrash(t *testing.T) {
	f := start(t, nil)
	var list []standin.Started
	f.read(f.control+standin.PathTargets, &list)
	f.Equal(list, []standin.Started{{Service: "service", Name: "target", Address: f.address}})
	own := f.control + standin.PathTargets + "/service/target"
	f.post(own+standin.PathFaults, standin.Faults{Crash: true, RestartMs: forever.Milliseconds()})
	f.client.CloseConnection()
	_, err := f.client.Health(t.Context())
	f.Equal(types.CodeOf(err), types.CodeTargetFailed)
	var s standin.Stats
	f.read(own+standin.PathStats, &s)
	f.Equal(s.Crashes, uint64(1))
	var journals []standin.JournalAnswer
	f.read(f.control+standin.PathJournal, &journals)
	f.Equal(len(journals), 1)
}

// Guards against a cancellation that does not reach a running request.
func TestCancelRunningRequest(t *testing.T) {
	f := start(t, func(s *standin.Settings) { s.ServiceMs = float64(forever.Milliseconds()) })
	f.grant()
	done := f.doLater(order("r1"))
	for len(f.journal()) == 0 {
		f.NoErr(t.Context().Err())
	}
	f.NoErr(f.connect().Cancel(t.Context(), "r1"))
	res := <-done
	f.Equal(res.Header.Get(target.HeaderCode), string(types.CodeCancelled))
	f.Equal(res.Header.Get(target.HeaderNotRun), "")
	f.Equal(f.journal()[0].Outcome, standin.OutcomeCancelled)
}

// Guards against misleading reports being shown as true ones.
func TestReportsMislead(t *testing.T) {
	f := start(t, nil)
	running := 3
	f.faults(standin.Faults{ReportedState: "draining", ReportedRunning: &running})
	h, err := f.client.Health(t.Context())
	f.NoErr(err)
	f.Equal(h.State, target.StateDraining)
	l, err := f.client.Load(t.Context())
	f.NoErr(err)
	f.Equal(l, target.Load{Running: 3, Slots: 4})
}

// Guards against more connections than the target accepts.
func TestConnectionLimit(t *testing.T) {
	f := start(t, func(s *standin.Settings) { s.Connections = 1 })
	_, err := f.client.Health(t.Context())
	f.NoErr(err)
	_, err = f.connect().Health(t.Context())
	f.Equal(types.CodeOf(err), types.CodeTargetFailed)
}
