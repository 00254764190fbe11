package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiasail.example/admission"
	"sequoiasail.example/catalog"
	"sequoiasail.example/daemon/httpserver"
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
	storeCache *storeCache
	admission  *ring.Ring[any]
	// quota is the ring of the requests of customers with a limit, which go to admission if they are within it.
	quota          *ring.Ring[any]
	log            *telemetry.Log
	requestMetrics *requestMetrics
	// bodies bounds the memory of the bodies of requests and answers.
	bodies *forward.Budget
	// short reports whether the connections of callers run short.
	short  func() bool
	lastID atomic.Uint64
	// closing is set when the VM begins to stop: each response then closes its connection.
	closing atomic.Bool
	// inFlight counts the requests that have no answer yet.
	inFlight atomic.Int64
}

// handler has no router of a library: it would answer some requests by itself.
func (f *frontend) handler() http.Handler { return http.HandlerFunc(f.serve) }

func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	f.requestMetrics.requests.Inc()
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	a := &answerWriter{ResponseWriter: w, request: r, line: telemetry.Decision{Kind: "answer"}, short: f.short}
	defer f.finish(a)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	f.handle(a, r)
}

// handle decodes a request and answers it, by itself or after a decision of admission.
func (f *frontend) handle(a *answerWriter, r *http.Request) {
	headerReadAt := telemetry.Now()
	call, fault := platform.DecodeCallerRequest(r)
	a.line.RequestID = string(call.ID)
	if fault != nil {
		a.reject(call, fault)
		return
	}
	v := f.storeCache.published.Load()
	if v.table == nil {
		a.refuse(call, types.CodeNotFound)
		return
	}
	route, ok := v.table.Lookup(call.Host, call.Path)
	if !ok {
		a.reject(call, types.NotRun(types.CodeNoRoute, "no route in version %d", v.table.Version()))
		return
	}
	customer, fault := authorize(v.table, route, r, &call)
	if fault != nil {
		a.reject(call, fault)
		return
	}
	if customer != nil {
		a.line.Customer = string(customer.Name)
	}
	body := httpserver.Body{Budget: f.bodies}
	defer body.Release()
	switch fault := body.ReadWithin(call.Timeout, a.ResponseWriter, r, v.table.Limits().BodyBytes); {
	case fault == nil:
		f.submit(a, r, route, &pending{call: call, body: body.Segments(), customer: customer, headerReadAt: headerReadAt})
	case fault.Code == types.CodeOverloaded:
		a.refuse(call, fault.Code)
	default:
		a.reject(call, fault)
	}
}

// authorize returns the customer that sent a request, nil if there is none, and names it in the headers to forward. It returns a
// CodeUnauthorized fault if the request needs the API key of a customer. The headers stay as they are without customers.
func authorize(t *catalog.RouteTable, route *catalog.Route, r *http.Request, call *platform.CallerRequest) (*catalog.Customer, *types.Fault) {
	if !t.HasCustomers() {
		return nil, nil
	}
	keys := call.TakeAPIKeys(r)
	customer, ok := t.Authorize(route, keys)
	switch {
	case !ok:
		return nil, types.NotRun(types.CodeUnauthorized, "%d API keys, none known in version %d", len(keys), t.Version())
	case customer != nil:
		call.SetCustomer(customer.Name)
	}
	return customer, nil
}

// submit puts the request into the admission ring and answers it with the final action of the admission core. That action
// comes also after the caller has left. It is written then, too: net/http ends the context of a request when the caller closes
// its side of the connection, and the caller may still read.
func (f *frontend) submit(a *answerWriter, r *http.Request, route *catalog.Route, p *pending) {
	p.id = admission.LocalRequestID(f.lastID.Add(1))
	p.reply = make(chan response, 1)
	p.caller = r.Context()
	p.arrival = admission.RequestArrived{
		ID: p.id, Route: route, Keyed: p.call.Keyed, Key: p.call.Key, Deadline: p.headerReadAt.Add(p.call.Timeout),
	}
	if p.customer != nil {
		p.arrival.Priority = p.customer.Priority
	}
	in := f.admission
	if p.customer.Limited() {
		in = f.quota
	}
	if err := in.TryPut(p); err != nil {
		a.refuse(p.call, types.CodeOf(err))
		return
	}
	select {
	case v := <-p.reply:
		f.answer(a, p, v)
		f.requestMetrics.duration.Update(telemetry.Now().Sub(p.headerReadAt).Seconds())
		return
	case <-in.Done():
	case <-r.Context().Done():
		a.markCallerLeft()
		// Put fails only when the duty of the ring has ended. The message takes the way of the request, so that it stays behind it.
		_ = in.Put(context.WithoutCancel(r.Context()), admission.CallerLeft{ID: p.id})
	}
	f.answer(a, p, f.awaitReply(in, p))
}

// awaitReply returns the final action of the admission core, or a failure when the duty of the request's ring or admission has ended
// without one: the request may have run.
func (f *frontend) awaitReply(in *ring.Ring[any], p *pending) response {
	select {
	case v := <-p.reply:
		return v
	case <-in.Done():
	case <-f.admission.Done():
	}
	select {
	case v := <-p.reply:
		return v
	default:
		return response{action: admission.Fail{ID: p.id, Code: types.CodeShuttingDown}}
	}
}

// answer writes the action of the admission core as the HTTP response.
func (f *frontend) answer(a *answerWriter, p *pending, v response) {
	if f.closing.Load() {
		a.Header().Set("Connection", "close")
	}
	if reply, ok := v.action.(admission.Reply); ok {
		// The body is not needed any more once it is written: net/http keeps 4 KiB at most.
		defer releaseAnswer(reply.Answer)
	}
	a.answer(p, v.action)
}
