package gateway

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"sequoiasail.example/daemon/httpserver"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Headers of the callers' HTTP interface.
const (
	headerOutcome        = "Sail-Outcome"
	headerReplayed       = "Sail-Replayed"
	headerTarget         = "Sail-Target"
	headerCaller         = "Sail-Caller"
	headerSession        = "Sail-Session"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTime    = "Request-Time"
	headerTimeout        = "Request-Timeout-Ms"
)

// Limits of what callers may send, and the HTTP status "client closed request" that net/http does not define.
const (
	maxTimeout                = 10 * time.Minute
	maxKeyBytes               = 1024
	maxIDBytes                = 128
	answerGrace               = 50 * time.Millisecond
	statusClientClosedRequest = 499
)

// frontend decodes callers' requests and encodes answers. It runs on the request goroutines of net/http.
type frontend struct {
	gw *Gateway
	// bodies bounds the memory of the bodies of requests and answers.
	bodies *forward.Budget
}

// failureBody is the JSON body of an answer that does not come from the target.
type failureBody struct {
	Code      types.Code      `json:"code"`
	Message   string          `json:"message"`
	Outcome   string          `json:"outcome"`
	RequestID types.RequestID `json:"requestId,omitempty"`
}

func (f *frontend) handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/v1/{service}/{key}", f.serve).Methods(http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut)
	r.NotFoundHandler = http.HandlerFunc(f.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(f.methodNotAllowed)
	return r
}

func (f *frontend) notFound(w http.ResponseWriter, r *http.Request) {
	writeFault(w, r, "", types.NotRun(types.CodeMissingKey, "the path must be /v1/{service}/{key}"))
}

func (f *frontend) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeFault(w, r, "", types.NotRun(types.CodeBadRequest, "method %s is not supported", r.Method))
}

func (f *frontend) serve(w http.ResponseWriter, r *http.Request) {
	body := httpserver.Body{Budget: f.bodies}
	defer body.Release()
	p, err := f.decode(w, r, &body)
	if err != nil {
		f.gw.countRefusal(err)
		writeFault(w, r, types.RequestID(r.Header.Get(headerIdempotencyKey)), err)
		return
	}
	answer, err := f.gw.submit(r.Context(), p)
	if err != nil {
		writeFault(w, r, p.request.RequestID, err)
		return
	}
	// The answer is in memory already: its size counts, so that new requests are refused while answers stay unread.
	f.bodies.Overdraw(int64(len(answer.Body)))
	defer f.bodies.GiveBack(int64(len(answer.Body)))
	writeAnswer(w, answer)
}

// decode checks the request and reads its whole body, so that no truncated request is routed.
func (f *frontend) decode(w http.ResponseWriter, r *http.Request, body *httpserver.Body) (*pending, *types.Fault) {
	vars := mux.Vars(r)
	view := f.gw.view.Load()
	service, ok := view.service(types.Service(vars["service"]))
	if !ok {
		return nil, types.NotRun(types.CodeUnknownService, "unknown service %q", vars["service"])
	}
	key, fault := decodeKey(vars["key"])
	if fault != nil {
		return nil, fault
	}
	class, ok := service.classOf(r.Method)
	if !ok {
		return nil, types.NotRun(types.CodeBadRequest, "service %s accepts GET and HEAD only", service.name)
	}
	timeout, fault := parseTimeout(r.Header.Get(headerTimeout), service.timeout[class])
	if fault != nil {
		return nil, fault
	}
	id, mintedMs, fault := f.identify(r, class)
	if fault != nil {
		return nil, fault
	}
	if fault := body.ReadWithin(timeout, w, r, service.maxBodyBytes); fault != nil {
		return nil, fault
	}
	now := telemetry.Now()
	p := &pending{
		arrived:  now,
		deadline: now.Add(timeout),
		pinned:   types.Target(r.Header.Get(headerSession)),
		replies:  make(chan callerReply, 1),
		request: peer.DoRequest{
			RequestID:  id,
			Caller:     callerOf(r),
			Service:    service.name,
			Key:        key,
			KeyHash:    types.HashKey(key),
			Class:      class,
			Idempotent: class.Idempotent(),
			MintedAtMs: mintedMs,
			Method:     r.Method,
			Path:       r.URL.RequestURI(),
			Header:     forwardedHeaders(r.Header),
			Body:       body.Join(),
		},
	}
	p.request.Fingerprint = fingerprint(&p.request)
	return p, nil
}

// decodeKey undoes percent-encoding, so that all spellings of a key have one owner. It refuses control characters
// because the key is sent to the target in a header.
func decodeKey(escaped string) (string, *types.Fault) {
	key, err := url.PathUnescape(escaped)
	if err != nil {
		return "", types.NotRun(types.CodeBadRequest, "the key has a broken percent-encoding")
	}
	if len(key) > maxKeyBytes {
		return "", types.NotRun(types.CodeBadRequest, "the key is longer than %d bytes", maxKeyBytes)
	}
	if strings.ContainsFunc(key, unicode.IsControl) {
		return "", types.NotRun(types.CodeBadRequest, "the key contains a control character")
	}
	return key, nil
}

// identify returns the identifier of a request and, for a request that is not idempotent, the time in Unix
// milliseconds at which its caller created it.
func (f *frontend) identify(r *http.Request, class types.Class) (types.RequestID, int64, *types.Fault) {
	id := r.Header.Get(headerIdempotencyKey)
	if len(id) > maxIDBytes {
		return "", 0, types.NotRun(types.CodeBadRequest, "%s is longer than %d bytes", headerIdempotencyKey, maxIDBytes)
	}
	if class.Idempotent() {
		return f.gw.newRequestID(), 0, nil
	}
	if id == "" {
		return "", 0, types.NotRun(types.CodeMissingRequestID, "%s is required for %s requests", headerIdempotencyKey, class)
	}
	minted, err := time.Parse(time.RFC3339, r.Header.Get(headerRequestTime))
	if err != nil {
		return "", 0, types.NotRun(types.CodeMissingRequestID,
			"%s must be the RFC 3339 time at which the caller created the request", headerRequestTime)
	}
	return types.RequestID(id), minted.UnixMilli(), nil
}

func parseTimeout(text string, defaultTimeout time.Duration) (time.Duration, *types.Fault) {
	if text == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	limit := maxTimeout.Milliseconds()
	if err != nil || ms < 1 || ms > limit {
		return 0, types.NotRun(types.CodeBadDeadline, "%s must be a whole number from 1 to %d", headerTimeout, limit)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true, "Content-Length": true,
}

// forwardedHeaders returns h without the hop-by-hop headers and those that the Connection header names.
func forwardedHeaders(h http.Header) map[string][]string {
	out := make(map[string][]string, len(h))
	for name, values := range h {
		if !hopByHopHeaders[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// callerOf returns the caller's name, by which fair queueing groups requests. Without the header it is the IP address.
func callerOf(r *http.Request) types.Caller {
	if name := r.Header.Get(headerCaller); name != "" {
		return types.Caller(name)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return types.Caller(r.RemoteAddr)
	}
	return types.Caller(host)
}

// fingerprint hashes service, method, path and body. A resend has the same fingerprint as the first request, although
// its identifier and time may differ.
func fingerprint(r *peer.DoRequest) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.Service), r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

func writeAnswer(w http.ResponseWriter, a *peer.DoAnswer) {
	h := w.Header()
	for name, values := range a.Header {
		if !hopByHopHeaders[name] {
			h[name] = values
		}
	}
	h.Set(headerOutcome, a.Outcome.String())
	if a.Replayed {
		h.Set(headerReplayed, "true")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func writeFault(w http.ResponseWriter, r *http.Request, id types.RequestID, fault *types.Fault) {
	body, err := json.Marshal(failureBody{
		Code:      fault.Code,
		Message:   fault.Message,
		Outcome:   fault.Outcome.String(),
		RequestID: id,
	})
	if err != nil {
		body = []byte(`{"code":"internal"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, fault.Outcome.String())
	h.Set("Content-Length", strconv.Itoa(len(body)))
	status := statusOf(fault.Code)
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body)
	}
}

// statuses maps codes to HTTP statuses. Other codes map to 503.
var statuses = map[types.Code]int{
	types.CodeBadRequest:        http.StatusBadRequest,
	types.CodeTruncatedBody:     http.StatusBadRequest,
	types.CodeBadDeadline:       http.StatusBadRequest,
	types.CodeMissingRequestID:  http.StatusBadRequest,
	types.CodeMissingKey:        http.StatusNotFound,
	types.CodeUnknownService:    http.StatusNotFound,
	types.CodeBodyTooLarge:      http.StatusRequestEntityTooLarge,
	types.CodeRequestIDReused:   http.StatusUnprocessableEntity,
	types.CodeQuarantined:       http.StatusUnprocessableEntity,
	types.CodeRequestMemoryLost: http.StatusConflict,
	types.CodeDeadlineExceeded:  http.StatusGatewayTimeout,
	types.CodeTimeout:           http.StatusGatewayTimeout,
	types.CodeCancelled:         statusClientClosedRequest,
	types.CodeTargetFailed:      http.StatusBadGateway,
	types.CodeInternal:          http.StatusInternalServerError,
}

func statusOf(code types.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
