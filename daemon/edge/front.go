package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// unknownRetryAfter is when a caller may come again to a VM that knows no configuration yet.
const unknownRetryAfter = 200 * time.Millisecond

// front decodes callers' requests and encodes answers. Its goroutines are those of net/http.
type front struct {
	knowledge *knowledge
	admission *ring.Ring[any]
	log       *telemetry.Log
	meter     *meter
	next      atomic.Uint64
	// closing is set when the VM stops: each answer ends its connection.
	closing atomic.Bool
	// refusing is set late in the stop time: a request that comes on an open connection could not be finished any more.
	refusing atomic.Bool
	// inHand counts the requests that have no answer yet.
	inHand atomic.Int64
}

func (f *front) handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.PathPrefix("/").HandlerFunc(f.serve)
	r.NotFoundHandler = http.HandlerFunc(f.serve)
	return r
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	f.meter.requests.Inc()
	f.inHand.Add(1)
	defer f.inHand.Add(-1)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call, fault := platform.DecodeCallerRequest(r)
	if fault != nil {
		f.reject(w, call, fault)
		return
	}
	if f.refusing.Load() {
		f.refuse(w, call, types.CodeShuttingDown)
		return
	}
	v := f.knowledge.published.Load()
	if v.table == nil {
		f.refuse(w, call, types.CodeNotFound)
		return
	}
	route, ok := v.table.Lookup(r.Host, r.URL.Path)
	if !ok {
		f.reject(w, call, types.NotRun(types.CodeNoRoute, "no route in version %d", v.table.Version()))
		return
	}
	body, fault := readBody(w, r, v.table.Limits())
	if fault != nil {
		f.reject(w, call, fault)
		return
	}
	f.submit(w, r, route, &pending{call: call, body: body})
}

// finish waits until no request has been in hand for quietTime, or until ctx ends.
func (f *front) finish(ctx context.Context) {
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < quietTime {
		if f.inHand.Load() > 0 {
			quiet = time.Now()
		}
		duty.Pause(ctx, quietTime/10)
	}
}

// quietTime is how long no request may be in hand before the remaining connections are closed. A request whose packet
// was lost comes up to 0.3 s after its connection.
const quietTime = 400 * time.Millisecond

func (f *front) reject(w http.ResponseWriter, c platform.CallerRequest, fault *types.Fault) {
	f.log.Decide(telemetry.Decision{
		Kind: "answer", RequestID: string(c.ID), Outcome: "rejected", Code: string(fault.Code), Reason: fault.Message,
	})
	platform.WriteClientError(w, c.ID, fault.Code)
}

func (f *front) refuse(w http.ResponseWriter, c platform.CallerRequest, code types.Code) {
	f.log.Decide(telemetry.Decision{Kind: "answer", RequestID: string(c.ID), Outcome: "refused, not run", Code: string(code)})
	platform.WriteUnavailable(w, c.ID, unknownRetryAfter)
}

// readBody reads the whole body, so that nothing is sent before the request is known to be complete.
func readBody(w http.ResponseWriter, r *http.Request, l catalog.Limits) ([]byte, *types.Fault) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, types.NotRun(types.CodeBodyTooLarge, "the body is larger than %d bytes", l.BodyBytes)
	}
	if err != nil {
		return nil, types.NotRun(types.CodeTruncatedBody, "the body is incomplete: %v", err)
	}
	return body, nil
}

// submit hands the request to admission and waits for the verdict or for the caller to leave.
func (f *front) submit(w http.ResponseWriter, r *http.Request, route *catalog.Route, p *pending) {
	now := telemetry.Now()
	p.id = admission.FlightID(f.next.Add(1))
	p.reply = make(chan verdict, 1)
	p.message = admission.Arrived{
		ID: p.id, Route: route, Keyed: p.call.Keyed, Key: p.call.Key, Deadline: now.Add(p.call.Timeout),
	}
	if err := f.admission.TryPut(p); err != nil {
		f.refuse(w, p.call, types.CodeOf(err))
		return
	}
	select {
	case v := <-p.reply:
		f.answer(w, p, v)
		f.meter.duration.Update(telemetry.Now().Sub(now).Seconds())
	case <-r.Context().Done():
		// Put fails only when the process ends, and with it the request.
		_ = f.admission.Put(context.WithoutCancel(r.Context()), admission.Left{ID: p.id})
		f.log.Decide(telemetry.Decision{Kind: "caller left", RequestID: string(p.call.ID)})
	}
}

func (f *front) answer(w http.ResponseWriter, p *pending, v verdict) {
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	switch m := v.action.(type) {
	case admission.Reply:
		platform.WriteResponse(w, m.Answer.(forward.Answer))
		return
	case admission.Refuse:
		platform.WriteUnavailable(w, p.call.ID, m.RetryAfter)
	case admission.Fail:
		platform.WriteGatewayError(w, p.call.ID, m.Code)
	}
}
