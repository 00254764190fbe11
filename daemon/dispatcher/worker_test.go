package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/ring"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// Guards against requests that get no reply, two replies, or the reply of another request, when attempts fail in
// different ways. A second reply would block the duty, because a reply channel holds one element.
func TestEveryRequestGetsItsOneReply(t *testing.T) {
	is := is.New(t)
	kinds := []target.Kind{target.KindNotWritten, target.KindRefused, target.KindWritten, target.KindBodyTruncated}
	client := &fakeTarget{do: func(_ context.Context, r target.Request) (target.Response, error) {
		var n int
		_, _ = fmt.Sscanf(string(r.RequestID), "r-%d", &n)
		if n%3 == 0 {
			return target.Response{}, failure(kinds[n/3%len(kinds)], n/3%len(kinds) >= 2)
		}
		return target.Response{Status: 200, Body: []byte(r.RequestID)}, nil
	}}
	w := newTestWorker(t, client)
	w.serveUnkeyed()
	w.start()
	const requests = 200
	answers := make([]peer.DoAnswer, requests)
	var waiting sync.WaitGroup
	service := &dispatchService{worker: w.worker}
	for n := range requests {
		waiting.Go(func() { _ = service.Do(lookup(types.RequestID(fmt.Sprintf("r-%d", n))), &answers[n]) })
	}
	waiting.Wait()
	done := 0
	for n, a := range answers {
		if a.Outcome == types.OutcomeDone {
			is.Equal(string(a.Body), fmt.Sprintf("r-%d", n))
			done++
			continue
		}
		is.True(a.Failure.Code != "") // a refusal names its reason
	}
	is.True(done > 0)
}

// Guards against a full ring that blocks the net/rpc call, or that leaves it unknown whether the request ran.
func TestFullRequestRingRefusesAsNotRun(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, &fakeTarget{}) // not running
	for range requestRingCapacity {
		is.NoErr(w.requests.TryPut(requestInput{cancel: &peer.CancelRequest{}}))
	}
	var a peer.DoAnswer
	is.NoErr((&dispatchService{worker: w.worker}).Do(lookup("r"), &a))
	is.Equal(a.Outcome, types.OutcomeNotRun)
	is.Equal(a.Failure.Code, types.CodeOverloaded)
}

// Guards against net/rpc calls that never return because the duty ended without taking their requests.
func TestRequestsLeftInRingAreAnswered(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, &fakeTarget{})
	reply := make(chan peer.DoAnswer, 1)
	is.NoErr(w.requests.TryPut(requestInput{request: lookup("r"), reply: reply}))
	w.stop(context.Background())
	a := <-reply
	is.Equal(a.Outcome, types.OutcomeNotRun)
	is.Equal(a.Failure.Code, types.CodeShuttingDown)
	is.Equal(types.CodeOf(w.requests.TryPut(requestInput{})), types.CodeShuttingDown)
}

// Guards against a target that keeps working on a cancelled request.
func TestCancelReachesTheSender(t *testing.T) {
	is := is.New(t)
	started, cancelled := make(chan struct{}), make(chan struct{})
	w := newTestWorker(t, &fakeTarget{do: func(ctx context.Context, _ target.Request) (target.Response, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return target.Response{}, failure(target.KindCancelled, true)
	}})
	w.serveUnkeyed()
	w.start()
	service := &dispatchService{worker: w.worker}
	answered := make(chan peer.DoAnswer, 1)
	go func() {
		var a peer.DoAnswer
		_ = service.Do(lookup("r"), &a)
		answered <- a
	}()
	<-started
	r := lookup("r")
	is.NoErr(service.Cancel(&peer.CancelRequest{
		RequestID: r.RequestID, Caller: r.Caller, Service: r.Service, Target: r.Target,
	}, &peer.Empty{}))
	<-cancelled
	is.Equal((<-answered).Failure.Code, types.CodeCancelled) // not deadline exceeded
}

// Guards against replying with the response of an attempt that the request is not waiting for.
func TestResultOfAnotherAttemptDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, &fakeTarget{})
	w.serveUnkeyed()
	captured := &sender{in: ring.New[sendAttempt](senderRingCapacity)} // not running: sends stay in its ring
	for n := range 8 {
		w.senders[connectionKey{target: unkeyedTarget, connection: n}] = captured
	}
	ctx := context.Background()
	reply := make(chan peer.DoAnswer, 1)
	w.accept(ctx, requestInput{request: lookup("r"), reply: reply})
	s, ok := captured.in.TryGet()
	is.True(ok)
	result := func(attempt dispatch.Attempt, body string) sendResult {
		return sendResult{
			handle: s.handle, targetResponse: &targetResponse{status: 200, body: []byte(body)},
			result: dispatch.Result{Attempt: attempt, Kind: dispatch.ResultAnswered, Status: 200, Load: dispatch.LoadUnknown},
		}
	}
	w.applyResult(ctx, result(s.attempt+1, "other"))
	is.Equal(len(reply), 0)
	w.applyResult(ctx, result(s.attempt, "own"))
	is.Equal(string((<-reply).Body), "own")
	w.applyResult(ctx, result(s.attempt, "again")) // must neither panic nor block
}
