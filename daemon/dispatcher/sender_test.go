package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// testSend returns an attempt that may be sent within the next minute.
func testSend() sendAttempt {
	return sendAttempt{
		ctx: context.Background(), handle: 3, attempt: 2, epoch: 1, request: lookup("r"),
		deadline: telemetry.Now().Add(time.Minute), validUntil: telemetry.Now().Add(time.Minute),
	}
}

// Guards against a failure that counts as not run although bytes were written: the order would run a second time.
func TestResultKindShowsWhetherBytesWereWritten(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		want    dispatch.ResultKind
		notSent bool
	}{
		{"not written", failure(target.KindNotWritten, false), dispatch.ResultNotWritten, true},
		{"refused", failure(target.KindRefused, true), dispatch.ResultRefused, true},
		{"broken", failure(target.KindWritten, true), dispatch.ResultBroken, false},
		{"cut answer", failure(target.KindBodyTruncated, true), dispatch.ResultCutBody, false},
		{"bad answer", failure(target.KindBadResponse, true), dispatch.ResultCutBody, false},
		{"timeout before a byte", failure(target.KindTimeout, false), dispatch.ResultNotStarted, true},
		{"timeout after bytes", failure(target.KindTimeout, true), dispatch.ResultTimedOut, false},
		{"cancelled before a byte", failure(target.KindCancelled, false), dispatch.ResultNotStarted, true},
		{"cancelled after bytes", failure(target.KindCancelled, true), dispatch.ResultTimedOut, false},
		{"another error", types.NewFault(types.CodeInternal, "test"), dispatch.ResultBroken, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSender(unkeyedTarget, 1, &fakeTarget{do: func(context.Context, target.Request) (target.Response, error) {
				return target.Response{}, c.err
			}}, nil)
			out := s.do(testSend())
			is.Equal(out.result.Kind, c.want)
			is.Equal(out.result.Attempt, dispatch.Attempt(2))
			is.Equal(out.result.Connection, 1)
			is.True(out.targetResponse == nil)
			safe := []dispatch.ResultKind{dispatch.ResultNotWritten, dispatch.ResultNotStarted, dispatch.ResultRefused}
			is.Equal(slices.Contains(safe, out.result.Kind), c.notSent)
		})
	}
}

// Guards against passing a target's fencing refusal to the caller as the response to its request.
func TestFencedResponseIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	s := newSender(unkeyedTarget, 1, &fakeTarget{do: func(context.Context, target.Request) (target.Response, error) {
		header := http.Header{target.HeaderCode: {string(types.CodeNotLeaseHolder)}}
		return target.Response{Status: http.StatusConflict, Header: header}, nil
	}}, nil)
	out := s.do(testSend())
	is.Equal(out.result.Kind, dispatch.ResultCutBody)
	is.True(out.targetResponse == nil)
}

// Guards against a send after validUntil, for example because the VM was paused before the write.
func TestNothingIsWrittenAfterLeaseEnd(t *testing.T) {
	is := is.New(t)
	s := newSender(unkeyedTarget, 1, &fakeTarget{do: func(context.Context, target.Request) (target.Response, error) {
		t.Error("the request was written")
		return target.Response{}, nil
	}}, nil)
	m := testSend()
	m.validUntil = telemetry.Now()
	is.Equal(s.do(m).result.Kind, dispatch.ResultNotStarted)
}

// Guards against treating the load report of an idle target as missing, or a missing report as that of an idle target.
func TestResultCarriesReportedLoad(t *testing.T) {
	is := is.New(t)
	response := target.Response{Status: 201, Body: []byte("b"), Incarnation: 7, Load: target.Load{Slots: 4}}
	s := newSender(unkeyedTarget, 1, &fakeTarget{do: func(context.Context, target.Request) (target.Response, error) {
		return response, nil
	}}, nil)
	out := s.do(testSend())
	is.Equal(out.result.Kind, dispatch.ResultAnswered)
	is.Equal(out.result.Load, 0)
	is.Equal(out.result.Incarnation, types.Incarnation(7))
	is.Equal(out.targetResponse.status, 201)
	is.Equal(string(out.targetResponse.body), "b")
	response.Load = target.Load{}
	is.Equal(s.do(testSend()).result.Load, dispatch.LoadUnknown)
}

// Guards against reusing a connection that the core has given up.
func TestNewConnectionAndCloseRequestsCloseTheConnection(t *testing.T) {
	is := is.New(t)
	client := &fakeTarget{}
	s := newSender(unkeyedTarget, 1, client, ring.New[sendResult](4))
	m := testSend()
	s.do(m)
	is.Equal(client.closed.Load(), int64(0))
	m.newConnection = true
	s.do(m)
	is.Equal(client.closed.Load(), int64(1))
	is.NoErr(s.in.TryPut(sendAttempt{})) // a close request
	s.in.Close()
	is.NoErr(s.run(context.Background()))
	is.Equal(client.closed.Load(), int64(3)) // by the close request and by the end of run
}
