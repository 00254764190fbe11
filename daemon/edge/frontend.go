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
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// refusalRetryAfter is the Retry-After of requests that are refused before admission: no configuration is known or the
// admission ring is full.
const refusalRetryAfter = 200 * time.Millisecond

// frontend is the HTTP handler for callers. It decodes requests, passes them to admission and encodes the answers. It runs
// on the goroutines of net/http.
type frontend struct {
	storeCache     *storeCache
	admission      *ring.Ring[any]
	log            *telemetry.Log
	requestMetrics *requestMetrics
	lastID         atomic.Uint64
	// closing is set when the VM begins to stop: each response then closes its connection.
	closing atomic.Bool
	// inFlight counts the requests that have no answer yet.
	inFlight atomic.Int64
}

func (f *frontend) handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.PathPrefix("/").HandlerFunc(f.serve)
	r.NotFoundHandler = http.HandlerFunc(f.serve)
	return r
}

func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	f.requestMetrics.requests.Inc()
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call, fault := platform.DecodeCallerRequest(r)
	if fault != nil {
		f.reject(w, call, fault)
		return
	}
	v := f.storeCache.published.Load()
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

// reject answers a request that is invalid or has no route, with the status of the fault's code.
func (f *frontend) reject(w http.ResponseWriter, c platform.CallerRequest, fault *types.Fault) {
	f.log.LogDecision(telemetry.Decision{
		Kind: "answer", RequestID: string(c.ID), Outcome: "rejected", Code: string(fault.Code), Reason: fault.Message,
	})
	platform.WriteClientError(w, c.ID, fault.Code)
}

// refuse answers a valid request that this VM can't run now. The caller may retry it.
func (f *frontend) refuse(w http.ResponseWriter, c platform.CallerRequest, code types.Code) {
	f.log.LogDecision(telemetry.Decision{Kind: "answer", RequestID: string(c.ID), Outcome: "refused, not run", Code: string(code)})
	platform.WriteUnavailable(w, c.ID, refusalRetryAfter)
}

// readBody reads the whole body, so that no incomplete request is sent to a target.
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

// submit puts the request into the admission ring and waits for its answer, for the caller to disconnect or for the failure of
// the admission duty.
func (f *frontend) submit(w http.ResponseWriter, r *http.Request, route *catalog.Route, p *pending) {
	now := telemetry.Now()
	p.id = admission.LocalRequestID(f.lastID.Add(1))
	p.reply = make(chan response, 1)
	p.arrival = admission.RequestArrived{
		ID: p.id, Route: route, Keyed: p.call.Keyed, Key: p.call.Key, Deadline: now.Add(p.call.Timeout),
	}
	if err := f.admission.TryPut(p); err != nil {
		f.refuse(w, p.call, types.CodeOf(err))
		return
	}
	select {
	case v := <-p.reply:
		f.answer(w, p, v)
		f.requestMetrics.duration.Update(telemetry.Now().Sub(now).Seconds())
	case <-r.Context().Done():
		// Put fails only when the process ends, and the request ends with it.
		_ = f.admission.Put(context.WithoutCancel(r.Context()), admission.CallerLeft{ID: p.id})
		f.log.LogDecision(telemetry.Decision{Kind: "caller left", RequestID: string(p.call.ID)})
	case <-f.admission.Done():
		// The admission duty has failed. A target may run the request.
		f.answer(w, p, response{action: admission.Fail{ID: p.id, Code: types.CodeInternal}})
	}
}

// answer writes the action of the admission core as the HTTP response.
func (f *frontend) answer(w http.ResponseWriter, p *pending, v response) {
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
