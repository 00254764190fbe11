package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/internal/exchange"
	"sequoiasail.example/types"
)

// Defaults of Options.
const (
	// DefaultTimeout bounds a call that has no deadline.
	DefaultTimeout = 5 * time.Second
	// DefaultDialTimeout is many times the 1 ms that a target needs to accept a connection.
	DefaultDialTimeout = 500 * time.Millisecond
)

// Options configures the connection to a target.
type Options struct {
	// Address is host:port.
	Address string
	// Timeout bounds a call that has no deadline. The default is DefaultTimeout.
	Timeout time.Duration
	// DialTimeout bounds the opening of the connection. The default is DefaultDialTimeout.
	DialTimeout time.Duration
	// MaxResponseBytes bounds a response body, in bytes. The default is exchange.DefaultMaxResponseBytes, 16 MiB.
	MaxResponseBytes int64
	// Budget bounds the bodies that all clients which share it are reading. There is no bound without one.
	Budget *forward.Budget
}

// HTTP is a Client over one HTTP/1.1 connection.
type HTTP struct {
	baseURL string
	timeout time.Duration
	client  *exchange.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns an adapter that connects on its first call.
func NewHTTP(o Options) *HTTP {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	return &HTTP{
		baseURL: "http://" + o.Address,
		timeout: o.Timeout,
		client:  exchange.New(exchange.Options{Connections: 1, MaxResponseBytes: o.MaxResponseBytes, DialTimeout: o.DialTimeout, Budget: o.Budget}),
	}
}

// CloseConnection implements Client.
func (h *HTTP) CloseConnection() { h.client.CloseIdle() }

// Grant implements Client.
func (h *HTTP) Grant(ctx context.Context, g GrantRequest) (GrantResponse, error) {
	return h.callGrant(ctx, PathGrant, g)
}

// Renew implements Client.
func (h *HTTP) Renew(ctx context.Context, r RenewRequest) (GrantResponse, error) {
	return h.callGrant(ctx, PathRenew, r)
}

// Release implements Client.
func (h *HTTP) Release(ctx context.Context, r ReleaseRequest) (GrantResponse, error) {
	return h.callGrant(ctx, PathRelease, r)
}

// callGrant performs a grant, renew or release call. For a refusal it returns the response, which carries a token, and
// the fault.
func (h *HTTP) callGrant(ctx context.Context, path string, v any) (GrantResponse, error) {
	a, err := h.exchange(ctx, http.MethodPost, path, v)
	if err != nil {
		return GrantResponse{}, err
	}
	if a.Status != http.StatusOK {
		refusal, fault := decodeFault(a.Status, a.Body)
		return refusal.GrantResponse, fault
	}
	return decode[GrantResponse](a.Body)
}

// Cancel implements Client.
func (h *HTTP) Cancel(ctx context.Context, id types.RequestID) error {
	_, err := callControl[struct{}](ctx, h, http.MethodPost, PathCancel, CancelRequest{RequestID: id})
	return err
}

// Health implements Client.
func (h *HTTP) Health(ctx context.Context) (Health, error) {
	return callControl[Health](ctx, h, http.MethodGet, PathHealth, nil)
}

// Load implements Client.
func (h *HTTP) Load(ctx context.Context) (Load, error) {
	return callControl[Load](ctx, h, http.MethodGet, PathLoad, nil)
}

// Drain implements Client.
func (h *HTTP) Drain(ctx context.Context) error {
	_, err := callControl[struct{}](ctx, h, http.MethodPost, PathDrain, struct{}{})
	return err
}

// Do implements Client.
func (h *HTTP) Do(ctx context.Context, r Request) (Response, error) {
	now := time.Now()
	ctx, cancel := withTimeout(ctx, r.Deadline, h.timeout)
	defer cancel()
	r.Deadline, _ = ctx.Deadline()
	a, err := h.client.Do(ctx, exchange.Request{
		Method: r.Method,
		URL:    h.baseURL + r.Path,
		Header: encodeHeader(r, now),
		Body:   r.Body,
	})
	if err != nil {
		return Response{}, exchangeFailure(err)
	}
	f := checkResponse(r, a)
	if f == nil {
		return newResponse(a), nil
	}
	if f.Kind == KindBadResponse {
		h.CloseConnection() // the responses on it belong to other requests
	}
	return Response{}, f
}

func newResponse(a exchange.Answer) Response {
	return Response{
		Status:      a.Status,
		Header:      a.Header,
		Body:        a.Body,
		Incarnation: parseIncarnation(a.Header.Get(HeaderIncarnation)),
		Load:        parseLoad(a.Header.Get(HeaderLoad)),
	}
}

// withTimeout applies the deadline if there is one. Otherwise it applies timeout if the context has no deadline.
func withTimeout(ctx context.Context, deadline time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	if !deadline.IsZero() {
		return context.WithDeadline(ctx, deadline)
	}
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

// callControl performs a control call and decodes the response.
func callControl[T any](ctx context.Context, h *HTTP, method, path string, v any) (T, error) {
	var zero T
	a, err := h.exchange(ctx, method, path, v)
	if err != nil {
		return zero, err
	}
	if a.Status != http.StatusOK {
		_, fault := decodeFault(a.Status, a.Body)
		return zero, fault
	}
	return decode[T](a.Body)
}

// exchange sends v as JSON, or no body when v is nil. Every error is a *types.Fault.
func (h *HTTP) exchange(ctx context.Context, method, path string, v any) (exchange.Answer, error) {
	ctx, cancel := withTimeout(ctx, time.Time{}, h.timeout)
	defer cancel()
	r := exchange.Request{Method: method, URL: h.baseURL + path}
	if v != nil {
		body, err := json.Marshal(v)
		if err != nil {
			return exchange.Answer{}, types.WrapFault(types.CodeBadRequest, err, "encode %s", path)
		}
		r.Body = body
	}
	a, err := h.client.Do(ctx, r)
	if err != nil {
		return exchange.Answer{}, controlFault(err)
	}
	return a, nil
}

func controlFault(err error) *types.Fault {
	var e *exchange.Error
	if !errors.As(err, &e) {
		return types.WrapFault(types.CodeInternal, err, "target call")
	}
	switch {
	case e.TimedOut:
		return types.WrapFault(types.CodeTimeout, err, "target call")
	case e.Cancelled:
		return types.WrapFault(types.CodeCancelled, err, "target call")
	}
	return types.WrapFault(types.CodeTargetFailed, err, "target call")
}
