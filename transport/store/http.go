package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/internal/exchange"
	"sequoiasail.example/types"
)

// Defaults of Options.
const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultConnections is enough for the watches of one process and its other calls.
	DefaultConnections = 8
)

// Sizes of responses, in bytes.
const (
	// maxResponseBytes bounds a response body. It allows a list of many values near MaxValueBytes.
	maxResponseBytes = 64 << 20
	// responseBudgetBytes bounds the memory of the bodies that all calls are reading, beyond the first 64 KiB of each. The
	// longest list leaves room for watches and renewals.
	responseBudgetBytes = 96 << 20
)

// Options configures the client of a store.
type Options struct {
	// Address is host:port.
	Address string
	// Name is the name of the calling process, which is sent in HeaderClient.
	Name string
	// Timeout bounds a call whose context has no deadline. The default is DefaultTimeout.
	Timeout time.Duration
	// Connections bounds the open connections, and so the concurrent calls. The default is DefaultConnections.
	Connections int
}

// HTTP is a Store and a VMList over HTTP.
type HTTP struct {
	baseURL    string
	clientName string
	timeout    time.Duration
	client     *exchange.Client
}

var (
	_ Store  = (*HTTP)(nil)
	_ VMList = (*HTTP)(nil)
)

// NewHTTP returns an adapter that connects on its first call.
func NewHTTP(o Options) *HTTP {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	return &HTTP{
		baseURL:    "http://" + o.Address,
		clientName: o.Name,
		timeout:    o.Timeout,
		client: exchange.New(exchange.Options{
			Connections: o.Connections, MaxResponseBytes: maxResponseBytes, Budget: forward.NewBudget(responseBudgetBytes),
		}),
	}
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdle() }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	return get[Entry](ctx, h, PathEntries, url.Values{"key": {key}})
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, types.Revision, error) {
	a, err := get[ListResponse](ctx, h, PathEntries, url.Values{"prefix": {prefix}})
	return a.Entries, a.Revision, err
}

// CAS implements Store.
func (h *HTTP) CAS(ctx context.Context, w Write) (types.Revision, error) {
	if len(w.Value) > MaxValueBytes {
		return 0, types.NewFault(types.CodeBodyTooLarge, "value of %s is too large: %d bytes", w.Key, len(w.Value))
	}
	a, err := post[WriteResponse](ctx, h, PathCAS, w)
	return a.Revision, err
}

// GrantLease implements Store.
func (h *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	a, err := post[Lease](ctx, h, PathLeaseGrant, Lease{TTLMs: ttl.Milliseconds()})
	return a.ID, err
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := post[Lease](ctx, h, PathLeaseKeepAlive, Lease{ID: id})
	return err
}

// RevokeLease implements Store.
func (h *HTTP) RevokeLease(ctx context.Context, id LeaseID) error {
	_, err := post[Lease](ctx, h, PathLeaseRevoke, Lease{ID: id})
	return err
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after types.Revision) ([]Event, types.Revision, error) {
	ctx, cancel := withDefaultTimeout(ctx, MaxWatchWait+h.timeout)
	defer cancel()
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(serverWait(ctx).Milliseconds(), 10)},
	}
	a, err := get[WatchResponse](ctx, h, PathWatch, q)
	return a.Events, a.Revision, err
}

// VMs implements VMList.
func (h *HTTP) VMs(ctx context.Context) ([]VMStatus, error) {
	a, err := get[VMsResponse](ctx, h, PathVMs, nil)
	return a.VMs, err
}

// serverWait returns how long the store may wait for an event. It leaves a tenth of the remaining time for the
// response to arrive.
func serverWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return MaxWatchWait
	}
	return min(MaxWatchWait, max(0, time.Until(deadline)*9/10))
}

func withDefaultTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

// get performs a call that does not change the store.
func get[T any](ctx context.Context, h *HTTP, path string, q url.Values) (T, error) {
	return do[T](ctx, h, false, exchange.Request{Method: http.MethodGet, URL: h.baseURL + path + "?" + q.Encode()})
}

// post performs a call that changes the store, with v as JSON body.
func post[T any](ctx context.Context, h *HTTP, path string, v any) (T, error) {
	body, err := json.Marshal(v)
	if err != nil {
		var zero T
		return zero, types.WrapFault(types.CodeBadRequest, err, "encode %s", path)
	}
	return do[T](ctx, h, true, exchange.Request{Method: http.MethodPost, URL: h.baseURL + path, Body: body})
}

// do performs one exchange and decodes the response. writes is true for calls that change the store.
func do[T any](ctx context.Context, h *HTTP, writes bool, r exchange.Request) (T, error) {
	var zero T
	ctx, cancel := withDefaultTimeout(ctx, h.timeout)
	defer cancel()
	r.Header = http.Header{HeaderClient: {h.clientName}}
	a, err := h.client.Do(ctx, r)
	if err != nil {
		return zero, exchangeFault(err, writes)
	}
	if a.Status != http.StatusOK {
		return zero, statusFault(a, writes)
	}
	v, err := decode[T](a.Body)
	if err != nil {
		return zero, storeFault(types.CodeStoreUnavailable, writes, err)
	}
	return v, nil
}

func exchangeFault(err error, writes bool) *types.Fault {
	var e *exchange.Error
	if !errors.As(err, &e) {
		return storeFault(types.CodeStoreUnavailable, writes, err)
	}
	writes = writes && e.Written
	switch {
	case e.TimedOut:
		return storeFault(types.CodeTimeout, writes, err)
	case e.Cancelled:
		return storeFault(types.CodeCancelled, writes, err)
	}
	return storeFault(types.CodeStoreUnavailable, writes, err)
}

func statusFault(a exchange.Answer, writes bool) *types.Fault {
	if f, ok := decodeFault(a.Body); ok {
		return f
	}
	return storeFault(types.CodeStoreUnavailable, writes, types.NewFault(types.CodeInternal, "status %d", a.Status))
}

// storeFault returns an answer-lost fault when a write may have taken effect, otherwise a fault with code.
func storeFault(code types.Code, mayBeWritten bool, cause error) *types.Fault {
	if mayBeWritten {
		return types.WrapFault(types.CodeAnswerLost, cause, "the write may have taken effect")
	}
	return types.WrapFault(code, cause, "store call failed")
}
