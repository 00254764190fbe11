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

// senderRingCapacity allows a close request beside the one send that the core allows for each connection.
const senderRingCapacity = 4

// send is one attempt on one connection. A nil request closes the connection.
type send struct {
	ctx      context.Context
	handle   dispatch.Handle
	attempt  dispatch.Attempt
	fresh    bool
	deadline types.Instant
	// validUntil ends the right to send. Nothing is written at or after it.
	validUntil types.Instant
	epoch      types.Epoch
	request    *peer.DoRequest
}

// sent is what a sender reports.
type sent struct {
	handle dispatch.Handle
	result dispatch.Result
	answer *answer
}

// answer is a target's complete answer.
type answer struct {
	status int
	header map[string][]string
	body   []byte
}

// sender owns one connection to a target.
type sender struct {
	name       string
	connection int
	client     target.Client
	in         *ring.Ring[send]
	out        *ring.Ring[sent]
}

func newSender(id types.TargetID, connection int, client target.Client, out *ring.Ring[sent]) *sender {
	return &sender{
		name:       fmt.Sprintf("sender-%s-%d", id, connection),
		connection: connection,
		client:     client,
		in:         ring.New[send](senderRingCapacity),
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
	s.in.Serve(ctx, func(m send) error {
		if m.request == nil {
			s.client.CloseConnection()
			return nil
		}
		return s.out.Put(ctx, s.do(m))
	})
	return nil
}

func (s *sender) do(m send) sent {
	if m.fresh {
		s.client.CloseConnection()
	}
	started := telemetry.Now()
	if !started.Before(m.validUntil) {
		// The VM was paused between the decision and the write, and not every target checks grants.
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
	out := sent{handle: m.handle, result: dispatch.Result{
		Attempt:    m.attempt,
		Connection: s.connection,
		Latency:    telemetry.Now().Sub(started),
		Load:       dispatch.LoadUnknown,
	}}
	if err != nil {
		out.result.Kind = kindOf(err, &out.result)
		return out
	}
	if fenced(response) {
		// The grant ended while the request ran: the target gives no answer of its own, and may have run it.
		out.result.Kind = dispatch.ResultCutBody
		return out
	}
	out.result.Kind = dispatch.ResultAnswered
	out.result.Status = response.Status
	out.result.Incarnation = response.Incarnation
	out.result.Load = loadOf(response.Load)
	out.answer = &answer{status: response.Status, header: response.Header, body: response.Body}
	return out
}

func (s *sender) notStarted(m send) sent {
	return sent{handle: m.handle, result: dispatch.Result{
		Attempt:    m.attempt,
		Connection: s.connection,
		Kind:       dispatch.ResultNotStarted,
		Load:       dispatch.LoadUnknown,
	}}
}

// fenced reports whether the target refused to answer because the grant ended while the request ran.
func fenced(r target.Response) bool {
	switch types.Code(r.Header.Get(target.HeaderCode)) {
	case types.CodeNotLeaseHolder, types.CodeStaleEpoch:
		return true
	default:
		return false
	}
}

// loadOf tells a report of an idle target from a missing report: only a report names the slots.
func loadOf(l target.Load) int {
	if l.Slots == 0 {
		return dispatch.LoadUnknown
	}
	return l.Running
}

func kindOf(err error, result *dispatch.Result) dispatch.ResultKind {
	var f *target.Failure
	if !errors.As(err, &f) {
		return dispatch.ResultBroken
	}
	switch f.Kind {
	case target.KindRefused:
		result.Incarnation = f.Incarnation
		result.Load = loadOf(f.Load)
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
