// Package store is an in-memory stand-in for the platform's key-value store, with faults that tests and the demo can set.
//
// One duty owns the content and serves a ring of messages, each with a reply channel. HTTP handlers only decode the
// request, ask the duty and encode the answer. The protocol is that of transport/store, with three additions: /faults,
// /calls and POST /v1/vms.
package store

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/standin/httpserve"
	"sequoiasail.example/standin/loop"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Control paths, which the platform's store does not have.
const (
	// PathFaults answers GET with the current Faults and accepts a POST of new ones.
	PathFaults = "/faults"
	// PathCalls answers GET with the number of calls of each kind, refused ones included.
	PathCalls = "/calls"
)

// DefaultHistory is the default number of changes kept for watches.
const DefaultHistory = 4096

// ringCapacity is the number of calls that can wait for the state duty. Further callers block.
const ringCapacity = 1024

// maxBody bounds a request body, in bytes. It has room for a value of the largest size as base64 in JSON.
const maxBody = 2 * store.MaxValueBytes

// ErrNoAnswer ends a call whose caller must get no answer. The call may have taken effect.
var ErrNoAnswer = types.NewFault(types.CodeAnswerLost, "the answer is lost")

// Options describes a stand-in store.
type Options struct {
	// Listen is the host:port to listen on.
	Listen string
	// History is the number of changes kept for watches. Default DefaultHistory.
	History int
}

// Server is the front end of a stand-in store: it serves HTTP, and each Client in the same process.
type Server struct {
	in     *ring.Ring[message]
	state  *state
	counts [kindCount]atomic.Uint64
}

// New returns a stand-in store that keeps the last history changes for watches. It answers calls while Duty runs.
func New(history int) *Server {
	return &Server{in: ring.New[message](ringCapacity), state: newState(history)}
}

// Duty returns the duty that owns the content. It must stop before the front ends, so that no call waits for it.
func (s *Server) Duty() duty.Duty { return loop.Duty("store-state", s.in, s.state) }

// Start adds and starts the duties of a stand-in store, and returns its address.
func Start(ctx context.Context, g *duty.Group, o Options) (string, error) {
	if o.History == 0 {
		o.History = DefaultHistory
	}
	l, err := httpserve.Listen(ctx, o.Listen)
	if err != nil {
		return "", err
	}
	s := New(o.History)
	g.Add(httpserve.Duty("http-store", l, s.routes(), nil))
	g.Add(s.Duty())
	return l.Addr().String(), g.Start(ctx)
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(store.PathEntries, s.entries).Methods(http.MethodGet)
	r.HandleFunc(store.PathCAS, s.cas).Methods(http.MethodPost)
	r.HandleFunc(store.PathLeaseGrant, s.lease(kindLeaseGrant)).Methods(http.MethodPost)
	r.HandleFunc(store.PathLeaseKeepAlive, s.lease(kindLeaseKeepAlive)).Methods(http.MethodPost)
	r.HandleFunc(store.PathLeaseRevoke, s.lease(kindLeaseRevoke)).Methods(http.MethodPost)
	r.HandleFunc(store.PathWatch, s.watch).Methods(http.MethodGet)
	r.HandleFunc(store.PathVMs, s.vms).Methods(http.MethodGet)
	r.HandleFunc(store.PathVMs, s.setVMs).Methods(http.MethodPost)
	r.HandleFunc(PathFaults, s.getFaults).Methods(http.MethodGet)
	r.HandleFunc(PathFaults, s.setFaults).Methods(http.MethodPost)
	r.HandleFunc(PathCalls, s.calls).Methods(http.MethodGet)
	return r
}

func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Has("key") {
		s.serve(w, r, message{kind: kindGet, key: q.Get("key")}, func(a answer) any { return a.entry })
		return
	}
	s.serve(w, r, message{kind: kindList, key: q.Get("prefix")}, func(a answer) any {
		return store.ListResponse{Entries: a.entries, Revision: a.revision}
	})
}

func (s *Server) cas(w http.ResponseWriter, r *http.Request) {
	m := message{kind: kindCAS}
	if err := httpserve.Decode(r, maxBody, &m.write); err != nil {
		refuse(w, err)
		return
	}
	s.serve(w, r, m, func(a answer) any { return store.WriteResponse{Revision: a.revision} })
}

func (s *Server) lease(k kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body store.Lease
		if err := httpserve.Decode(r, maxBody, &body); err != nil {
			refuse(w, err)
			return
		}
		m := message{kind: k, lease: body.ID, ttl: time.Duration(body.TTLMs) * time.Millisecond}
		s.serve(w, r, m, func(a answer) any { return store.Lease{ID: a.lease} })
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 32)
	if err1 != nil || err2 != nil {
		refuse(w, types.NewFault(types.CodeBadRequest, "watch needs after and waitMs"))
		return
	}
	m := message{kind: kindWatch, key: q.Get("prefix"), after: types.Revision(after)}
	m.wait = time.Duration(waitMs) * time.Millisecond
	s.serve(w, r, m, func(a answer) any { return store.WatchResponse{Events: a.events, Revision: a.revision} })
}

func (s *Server) vms(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, message{kind: kindVMs}, func(a answer) any { return store.VMsResponse{VMs: a.vms} })
}

// serve answers one call of the platform's interface, subject to the current faults.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, m message, body func(answer) any) {
	m.client = r.Header.Get(store.HeaderClient)
	a, err := s.call(r.Context(), m)
	switch {
	case errors.Is(err, ErrNoAnswer):
		httpserve.AbortConnection()
	case err != nil:
		refuse(w, err)
	default:
		httpserve.Encode(w, http.StatusOK, body(a))
	}
}

// call performs one call, subject to the current faults. It returns the fault of the store, or ErrNoAnswer.
func (s *Server) call(ctx context.Context, m message) (answer, error) {
	s.counts[m.kind].Add(1)
	f := s.state.faults.Load()
	if f.silences(m.client) {
		s.waitForDisconnect(ctx)
		return answer{}, ErrNoAnswer
	}
	if f.cuts(m.client) || !duty.Pause(ctx, time.Duration(f.SlowMs)*time.Millisecond) {
		return answer{}, ErrNoAnswer
	}
	if f.Down {
		return answer{}, types.NewFault(types.CodeStoreUnavailable, "store is down")
	}
	a, err := s.ask(ctx, m)
	if a.lose || loop.CallerCancelled(err) {
		return answer{}, ErrNoAnswer
	}
	return a, err
}

// waitForDisconnect blocks until the caller disconnects or the store stops.
func (s *Server) waitForDisconnect(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.in.Done():
	}
}

// ask sends a message to the state duty and returns its answer, with the fault of the answer as the error.
func (s *Server) ask(ctx context.Context, m message) (answer, error) {
	m.reply = make(chan answer, 1)
	a, err := loop.Ask(ctx, s.in, m, m.reply)
	if err != nil {
		return a, err
	}
	if a.fault != nil {
		return a, a.fault
	}
	return a, nil
}

// statusOf maps fault codes to HTTP status codes. Other codes are answered with 500.
var statusOf = map[types.Code]int{
	types.CodeConflict:         http.StatusConflict,
	types.CodeNotFound:         http.StatusNotFound,
	types.CodeBadRequest:       http.StatusBadRequest,
	types.CodeBodyTooLarge:     http.StatusRequestEntityTooLarge,
	types.CodeStoreUnavailable: http.StatusServiceUnavailable,
	types.CodeShuttingDown:     http.StatusServiceUnavailable,
}

// refuse answers a call with a fault.
func refuse(w http.ResponseWriter, err error) {
	code := types.CodeOf(err)
	status, ok := statusOf[code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if code == types.CodeShuttingDown {
		code = types.CodeStoreUnavailable
	}
	httpserve.Encode(w, status, store.FaultResponse{Code: code, Message: httpserve.Message(err)})
}
