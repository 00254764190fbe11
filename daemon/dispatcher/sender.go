package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"sequoiasail.example/dispatch"
	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// senderRingCapacity leaves room for close requests beside the one send in flight that the core allows per connection.
const senderRingCapacity = 4

// sendAttempt is one attempt to send a request on one connection. A nil request closes the connection.
type sendAttempt struct {
	ctx     context.Context
	handle  dispatch.Handle
	attempt dispatch.Attempt
	// newConnection closes the current connection first, so that the attempt opens a new one.
	newConnection bool
	deadline      types.Instant
	// validUntil is when the permission to send ends. Nothing is written at or after it.
	validUntil types.Instant
	epoch      types.Epoch
	request    *peer.DoRequest
}

// sendResult is the result of one attempt.
type sendResult struct {
	handle         dispatch.Handle
	result         dispatch.Result
	targetResponse *targetResponse
}

// targetResponse is a target's complete response. It is also stored with the deduplication entry and replayed.
type targetResponse struct {
	status int
	header map[string][]string
	body   []byte
}

// sender sends requests on one connection to a target.
type sender struct {
	name       string
	connection int
	client     target.Client
	in         *ring.Ring[sendAttempt]
	out        *ring.Ring[sendResult]
}

func newSender(id types.TargetID, connection int, client target.Client, out *ring.Ring[sendResult]) *sender {
	return &sender{
		name:       fmt.Sprintf("sender-%s-%d", id, connection),
		connection: connection,
		client:     client,
		in:         ring.New[sendAttempt](senderRingCapacity),
		out:        out,
	}
}

func (s *sender) duty() duty.Duty {
	return duty.Duty{
		Name: s.name,
		Run:  s.run,
		Stop: func(context.Context) error { s.in.Close(); return nil },
	}
}

func (s *sender) run(ctx context.Context) error {
	defer s.client.CloseConnection()
	s.in.Serve(ctx, func(m sendAttempt) error {
		if m.request == nil {
			s.client.CloseConnection()
			return nil
		}
		return s.out.Put(ctx, s.do(m))
	})
	return nil
}

func (s *sender) do(m sendAttempt) sendResult {
	if m.newConnection {
		s.client.CloseConnection()
	}
	started := telemetry.Now()
	if !started.Before(m.validUntil) {
		// The VM may have been paused between the decision and the write, and not every target checks grants.
		return s.notStarted(m)
	}
	remaining := m.deadline.Sub(started)
	response, err := s.client.Do(m.ctx, target.Request{
		RequestID:  m.request.RequestID,
		Service:    m.request.Service,
		Key:        m.request.Key,
		Slot:       m.request.Slot,
		LeaseEpoch: m.epoch,
		Method:     m.request.Method,
		Path:       m.request.Path,
		Header:     http.Header(m.request.Header),
		Body:       m.request.Body,
		Deadline:   time.Now().Add(remaining),
	})
	out := sendResult{handle: m.handle, result: dispatch.Result{
		Attempt:    m.attempt,
		Connection: s.connection,
		Latency:    telemetry.Now().Sub(started),
		Load:       dispatch.LoadUnknown,
	}}
	if err != nil {
		out.result.Kind = classifyFailure(err, &out.result)
		return out
	}
	if refusedByFencing(response) {
		// The grant ended while the request ran: the target withholds its response, but may have run the request.
		out.result.Kind = dispatch.ResultCutBody
		return out
	}
	out.result.Kind = dispatch.ResultAnswered
	out.result.Status = response.Status
	out.result.Incarnation = response.Incarnation
	out.result.Load = reportedLoad(response.Load)
	out.targetResponse = &targetResponse{status: response.Status, header: response.Header, body: response.Body}
	return out
}

func (s *sender) notStarted(m sendAttempt) sendResult {
	return sendResult{handle: m.handle, result: dispatch.Result{
		Attempt:    m.attempt,
		Connection: s.connection,
		Kind:       dispatch.ResultNotStarted,
		Load:       dispatch.LoadUnknown,
	}}
}

// refusedByFencing reports whether the target withheld its response because the grant ended while the request ran.
func refusedByFencing(r target.Response) bool {
	switch types.Code(r.Header.Get(target.HeaderCode)) {
	case types.CodeNotLeaseHolder, types.CodeStaleEpoch:
		return true
	default:
		return false
	}
}

// reportedLoad returns the number of requests that the target reports as running. A response without a load report has
// no slots, which distinguishes it from the report of an idle target.
func reportedLoad(l target.Load) int {
	if l.Slots == 0 {
		return dispatch.LoadUnknown
	}
	return l.Running
}

func classifyFailure(err error, result *dispatch.Result) dispatch.ResultKind {
	var f *target.Failure
	if !errors.As(err, &f) {
		return dispatch.ResultBroken
	}
	switch f.Kind {
	case target.KindRefused:
		result.Incarnation = f.Incarnation
		result.Load = reportedLoad(f.Load)
		return dispatch.ResultRefused
	case target.KindNotWritten:
		return dispatch.ResultNotWritten
	case target.KindBodyTruncated, target.KindBadResponse:
		return dispatch.ResultCutBody
	case target.KindTimeout, target.KindCancelled:
		if !f.BytesWritten {
			return dispatch.ResultNotStarted
		}
		return dispatch.ResultTimedOut
	default:
		return dispatch.ResultBroken
	}
}
