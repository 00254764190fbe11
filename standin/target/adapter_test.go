package target_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	standin "sequoiasail.example/standin/target"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// Guards against answers without the target's incarnation and load, or without the effect of the request itself.
func TestRequestRunsUnderAGrant(t *testing.T) {
	f := start(t, nil)
	g := f.grant()
	res, err := f.client.Do(t.Context(), newRequest("r1"))
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

// Guards against refusals that are reported as requests that may have run, and against refused requests that run.
func TestRefusalsAreNotRun(t *testing.T) {
	f := start(t, nil)
	f.grant()
	stale, foreign := newRequest("r1"), newRequest("r2")
	stale.LeaseEpoch = epoch - 1
	foreign.Slot = 8
	f.refused(stale, types.CodeStaleEpoch)
	f.refused(foreign, types.CodeNotLeaseHolder)
	f.setFaults(standin.Faults{Overloaded: true})
	f.refused(newRequest("r3"), types.CodeOverloaded)
	f.NoErr(f.client.Cancel(t.Context(), "r4"))
	f.refused(newRequest("r4"), types.CodeCancelled)
	f.NoErr(f.client.Drain(t.Context()))
	f.refused(newRequest("r5"), types.CodeShuttingDown)
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

// Guards against a target that refuses requests although ChecksGrants is off, and against grant violations that are not
// counted.
func TestTargetThatDoesNotCheckGrants(t *testing.T) {
	f := start(t, func(s *standin.Settings) { s.ChecksGrants = false })
	_, err := f.client.Do(t.Context(), newRequest("r1"))
	f.NoErr(err)
	f.Equal(f.stats().GrantViolations, uint64(0)) // without any grant there is nothing to violate
	stale := newRequest("r2")
	stale.LeaseEpoch = epoch - 1
	_, err = f.client.Do(t.Context(), stale)
	f.NoErr(err)
	f.Equal(f.stats().GrantViolations, uint64(1))
	a, err := f.client.Renew(t.Context(), target.RenewRequest{})
	f.NoErr(err)
	_, err = f.client.Grant(t.Context(), target.GrantRequest{Fencing: fencing(epoch, a), TTL: forever})
	f.NoErr(err)
	foreign := newRequest("r3")
	_, err = f.client.Do(t.Context(), foreign)
	f.NoErr(err)
	f.Equal(f.stats().GrantViolations, uint64(2))
}

// Guards against a release that leaves the slots usable, and against refusals without the token for the next call.
func TestGrantCalls(t *testing.T) {
	f := start(t, nil)
	g := f.grant()
	used := fencing(epoch, g)
	renewed, err := f.client.Renew(t.Context(), target.RenewRequest{Fencing: used, TTL: forever})
	f.NoErr(err)
	refused, err := f.client.Renew(t.Context(), target.RenewRequest{Fencing: used, TTL: forever})
	f.Equal(types.CodeOf(err), types.CodeStaleToken)
	f.True(refused.Token > renewed.Token)
	low, err := f.client.Grant(t.Context(), target.GrantRequest{Fencing: fencing(epoch-1, refused), TTL: forever})
	f.Equal(types.CodeOf(err), types.CodeStaleEpoch)
	_, err = f.client.Release(t.Context(), target.ReleaseRequest{Fencing: fencing(epoch, low)})
	f.NoErr(err)
	f.refused(newRequest("r1"), types.CodeNotLeaseHolder)
}

// Guards against a failed connection being reported as a request that may have run.
func TestConnectionRefused(t *testing.T) {
	f := start(t, nil)
	f.client = target.NewHTTP(target.Options{Address: "127.0.0.1:1"})
	failure := f.failure(t.Context(), newRequest("r1"))
	f.Equal(failure.Kind, target.KindNotWritten)
	f.True(failure.NotRun())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	failure = f.failure(ctx, newRequest("r2"))
	f.Equal(failure.Kind, target.KindCancelled)
	f.True(failure.NotRun())
}

// Guards against a lost answer being reported as not run, although the request took effect.
func TestLostAnswer(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.setFaults(standin.Faults{LoseAnswers: 1})
	failure := f.failure(t.Context(), newRequest("r1"))
	f.Equal(failure.Kind, target.KindWritten)
	f.Equal(failure.Fault.Outcome, types.OutcomeUnknown)
	f.Equal(len(f.journal()), 1)
}

// Guards against net/http repeating an idempotent request on its own on a reused connection.
func TestNoRequestIsRepeated(t *testing.T) {
	f := start(t, nil)
	f.grant() // opens the connection, so that the request reuses it
	f.setFaults(standin.Faults{LoseAnswers: 1})
	for _, header := range []http.Header{nil, {"Idempotency-Key": {"r1"}}} {
		r := newRequest("r1")
		r.Method, r.Body, r.Header = http.MethodGet, nil, header
		f.Equal(f.failure(t.Context(), r).Kind, target.KindWritten)
		f.setFaults(standin.Faults{LoseAnswers: 1})
		_, err := f.client.Health(t.Context())
		f.NoErr(err)
	}
	f.Equal(len(f.journal()), 2)
}

// Guards against a truncated answer being returned as a complete one.
func TestCutBody(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.setFaults(standin.Faults{CutBodies: 1})
	failure := f.failure(t.Context(), newRequest("r1"))
	f.Equal(failure.Kind, target.KindBodyTruncated)
	f.Equal(failure.Fault.Code, types.CodeTruncatedBody)
	f.Equal(failure.Fault.Outcome, types.OutcomeUnknown)
	_, err := f.client.Do(t.Context(), newRequest("r2"))
	f.NoErr(err)
}

// Guards against the answer to an earlier request reaching a later one on the same client.
func TestLateAnswer(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.setFaults(standin.Faults{LateAnswers: 1, LateMs: forever.Milliseconds()})
	ctx, cancel := context.WithTimeout(t.Context(), shortDeadline)
	defer cancel()
	failure := f.failure(ctx, newRequest("r1"))
	f.Equal(failure.Kind, target.KindTimeout)
	f.True(!failure.NotRun())
	res, err := f.client.Do(t.Context(), newRequest("r2"))
	f.NoErr(err)
	f.Equal(res.Header.Get(target.HeaderRequestID), "r2")
}

// Guards against a silent connection that blocks its client. The next request must use a new connection.
func TestSilentConnection(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.setFaults(standin.Faults{SilentConnections: true})
	r := newRequest("r1")
	r.Deadline = time.Now().Add(shortDeadline)
	f.Equal(f.failure(t.Context(), r).Kind, target.KindTimeout)
	_, err := f.client.Do(t.Context(), newRequest("r2"))
	f.NoErr(err)
	j := f.journal()
	f.Equal(len(j), 1)
	f.Equal(j[0].RequestID, types.RequestID("r2"))
}

// Guards against a frozen target that drops waiting requests instead of running them when it is unfrozen.
func TestFreeze(t *testing.T) {
	f := start(t, nil)
	f.grant()
	f.setFaults(standin.Faults{Frozen: true})
	done := f.doLater(newRequest("r1"))
	for f.stats().Stalled == 0 {
		f.NoErr(t.Context().Err())
	}
	f.Equal(len(f.journal()), 0)
	f.setFaults(standin.Faults{})
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

// Guards against grants, the incarnation or connections that survive a crash.
func TestCrash(t *testing.T) {
	f := start(t, nil)
	before := f.grant()
	f.setFaults(standin.Faults{RestartMs: 1})
	r := newRequest("r1")
	r.Header = http.Header{standin.HeaderCrash: {"true"}}
	f.Equal(f.failure(t.Context(), r).Kind, target.KindWritten)
	h := f.healthAfterRestart()
	f.True(h.Incarnation > before.Incarnation)
	f.refused(newRequest("r2"), types.CodeNotLeaseHolder)
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

// Guards against a crashed target whose journal, statistics and faults can't be reached while it is down.
func TestControlPageDuringACrash(t *testing.T) {
	f := start(t, nil)
	var list []standin.Started
	f.read(f.control+standin.PathTargets, &list)
	f.Equal(list, []standin.Started{{Service: "service", Name: "target", Address: f.address}})
	targetURL := f.control + standin.PathTargets + "/service/target"
	f.post(targetURL+standin.PathFaults, standin.Faults{Crash: true, RestartMs: forever.Milliseconds()})
	f.client.CloseConnection()
	_, err := f.client.Health(t.Context())
	f.Equal(types.CodeOf(err), types.CodeTargetFailed)
	var s standin.Stats
	f.read(targetURL+standin.PathStats, &s)
	f.Equal(s.Crashes, uint64(1))
	var journals []standin.JournalAnswer
	f.read(f.control+standin.PathJournal, &journals)
	f.Equal(len(journals), 1)
}

// Guards against a cancellation that does not reach a running request.
func TestCancelRunningRequest(t *testing.T) {
	f := start(t, func(s *standin.Settings) { s.ServiceMs = float64(forever.Milliseconds()) })
	f.grant()
	done := f.doLater(newRequest("r1"))
	for len(f.journal()) == 0 {
		f.NoErr(t.Context().Err())
	}
	f.NoErr(f.connect().Cancel(t.Context(), "r1"))
	res := <-done
	f.Equal(res.Header.Get(target.HeaderCode), string(types.CodeCancelled))
	f.Equal(res.Header.Get(target.HeaderNotRun), "")
	f.Equal(f.journal()[0].Outcome, standin.OutcomeCancelled)
}

// Guards against reports that ignore the fault fields ReportedState and ReportedRunning.
func TestReportsShowSetValues(t *testing.T) {
	f := start(t, nil)
	running := 3
	f.setFaults(standin.Faults{ReportedState: "draining", ReportedRunning: &running})
	h, err := f.client.Health(t.Context())
	f.NoErr(err)
	f.Equal(h.State, target.StateDraining)
	l, err := f.client.Load(t.Context())
	f.NoErr(err)
	f.Equal(l, target.Load{Running: 3, Slots: 4})
}

// Guards against accepting more connections than the limit.
func TestConnectionLimit(t *testing.T) {
	f := start(t, func(s *standin.Settings) { s.Connections = 1 })
	_, err := f.client.Health(t.Context())
	f.NoErr(err)
	_, err = f.connect().Health(t.Context())
	f.Equal(types.CodeOf(err), types.CodeTargetFailed)
}
