// Package target is a stand-in for a target: it checks grants, runs requests in slots, starts cold, drains, and behaves
// according to the faults that tests and the demo set. A journal records each request that started.
//
// One duty per target owns the state and serves a ring of messages, each with a reply channel. HTTP handlers only decode
// the request, ask the duty and encode the answer. The protocol is that of transport/target, with three additional paths:
// /faults, /journal and /stats.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"sequoiasail.example/ring"
	"sequoiasail.example/standin/httpserve"
	"sequoiasail.example/standin/loop"
	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// Control paths, which the platform's targets do not have.
const (
	// PathFaults accepts a POST of Faults.
	PathFaults = "/faults"
	// PathJournal answers GET with a JournalAnswer. The optional ?after=N omits the first N entries.
	PathJournal = "/journal"
	// PathStats answers GET with Stats.
	PathStats = "/stats"
)

// maxBody bounds a request body, in bytes.
const maxBody = 16 << 20

// ringCapacity is above the default connection limit, and each connection has at most one call. Further callers block.
const ringCapacity = 256

// server is the HTTP front end of one target.
type server struct {
	in *ring.Ring[message]
	// connections is the number of connections accepted so far. Calls on connections numbered up to silentUpTo hang.
	connections atomic.Uint64
	silentUpTo  atomic.Uint64
}

// connectionKey is the context key of the number of a connection.
type connectionKey struct{}

// numberConnection numbers the connections in the order in which they were accepted.
func (s *server) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, s.connections.Add(1))
}

func (s *server) routes() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc(target.PathGrant, call(s, func(m *message) any { m.kind = kindGrant; return &m.grant }))
	r.HandleFunc(target.PathRenew, call(s, func(m *message) any { m.kind = kindRenew; return &m.renew }))
	r.HandleFunc(target.PathRelease, call(s, func(m *message) any { m.kind = kindRelease; return &m.release }))
	r.HandleFunc(target.PathCancel, s.cancel)
	r.HandleFunc(target.PathHealth, s.callWithoutBody(kindHealth))
	r.HandleFunc(target.PathLoad, s.callWithoutBody(kindLoad))
	r.HandleFunc(target.PathDrain, s.callWithoutBody(kindDrain))
	r.HandleFunc(PathFaults, s.setFaults).Methods(http.MethodPost)
	r.HandleFunc(PathJournal, s.journal).Methods(http.MethodGet)
	r.HandleFunc(PathStats, s.callWithoutBody(kindStats)).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.request)
	return s.holdSilentCalls(r)
}

// holdSilentCalls lets calls on silent connections hang and passes all others to next.
func (s *server) holdSilentCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := r.Context().Value(connectionKey{}).(uint64)
		if n > s.silentUpTo.Load() {
			next.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnected client only after the body was read
		select {
		case <-r.Context().Done():
		case <-s.in.Done():
		}
		httpserve.AbortConnection()
	})
}

// call serves a call with a JSON body. part sets the kind of the message and returns the field that the body is decoded
// into.
func call(s *server, part func(*message) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m message
		if err := httpserve.Decode(r, maxBody, part(&m)); err != nil {
			refuse(w, err)
			return
		}
		s.serve(w, r, m)
	}
}

func (s *server) cancel(w http.ResponseWriter, r *http.Request) {
	var body target.CancelRequest
	if err := httpserve.Decode(r, maxBody, &body); err != nil {
		refuse(w, err)
		return
	}
	s.serve(w, r, message{kind: kindCancel, id: body.RequestID})
}

// callWithoutBody serves a call that has no body.
func (s *server) callWithoutBody(k kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, message{kind: k}) }
}

func (s *server) journal(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	s.serve(w, r, message{kind: kindJournal, after: after})
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	m := message{kind: kindSetFaults}
	if err := httpserve.Decode(r, maxBody, &m.faults); err != nil {
		refuse(w, err)
		return
	}
	if m.faults.SilentConnections {
		s.silentUpTo.Store(s.connections.Load())
	}
	s.serve(w, r, m)
}

// serve performs a call other than a service request and answers it.
func (s *server) serve(w http.ResponseWriter, r *http.Request, m message) {
	a, err := s.ask(r.Context(), m)
	if a.lose || loop.CallerCancelled(err) {
		httpserve.AbortConnection()
	}
	if a.fault != nil {
		httpserve.Encode(w, statusOf(a.fault.Code), refusal(a))
		return
	}
	if err != nil {
		refuse(w, err)
		return
	}
	httpserve.Encode(w, http.StatusOK, a.body)
}

// ask sends a message to the state duty and returns its answer, with the fault of the answer as the error.
func (s *server) ask(ctx context.Context, m message) (answer, error) {
	m.reply = make(chan answer, 1)
	a, err := loop.Ask(ctx, s.in, m, m.reply)
	if err == nil && a.fault != nil {
		err = a.fault
	}
	return a, err
}

// refuse answers a call that failed before or in the state duty.
func refuse(w http.ResponseWriter, err error) {
	body := target.FaultResponse{Code: types.CodeOf(err), Message: httpserve.Message(err)}
	httpserve.Encode(w, statusOf(body.Code), body)
}

func statusOf(c types.Code) int {
	switch c {
	case types.CodeStaleEpoch, types.CodeStaleToken, types.CodeNotLeaseHolder:
		return http.StatusConflict
	case types.CodeBadRequest:
		return http.StatusBadRequest
	case types.CodeTargetFailed:
		return http.StatusInternalServerError
	case types.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// request serves a service request.
func (s *server) request(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		httpserve.AbortConnection() // an incomplete request does not run
	}
	m := message{kind: kindRequest, request: decodeRequest(r.Method, r.Header, time.Now())}
	a, err := s.ask(r.Context(), m)
	if a.lose || loop.CallerCancelled(err) {
		httpserve.AbortConnection()
	}
	if err != nil && a.fault == nil { // the state duty has stopped
		a = answer{fault: types.NewFault(types.CodeShuttingDown, "target is stopping"), notRun: true}
	}
	encode(w, m.request.id, a)
}

// encode writes the response to a service request.
func encode(w http.ResponseWriter, id types.RequestID, a answer) {
	h := w.Header()
	h.Set(target.HeaderRequestID, string(id))
	h.Set(target.HeaderIncarnation, strconv.FormatUint(uint64(a.incarnation), 10))
	h.Set(target.HeaderLoad, a.load.String())
	if a.fault != nil {
		h.Set(target.HeaderCode, string(a.fault.Code))
		if a.notRun {
			h.Set(target.HeaderNotRun, "true")
			httpserve.Encode(w, http.StatusServiceUnavailable, refusal(a))
			return
		}
		httpserve.Encode(w, statusOf(a.fault.Code), refusal(a))
		return
	}
	if a.cut {
		cut(w, a.body)
	}
	httpserve.Encode(w, a.status, a.body)
}

func refusal(a answer) target.FaultResponse {
	return target.FaultResponse{Code: a.fault.Code, Message: a.fault.Message, GrantResponse: a.grant}
}

// cut sends half of the body and closes the connection. It does not return.
func cut(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		httpserve.AbortConnection()
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	httpserve.AbortConnection()
}
