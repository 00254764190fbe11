package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sequoiasail.example/transport/internal/exchange"
	"sequoiasail.example/types"
)

// Defaults of Options.
const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultConnections leaves room for the watches of one process and its other calls.
	DefaultConnections = 8
)

// maxAnswer bounds a list of many values near the size limit, in bytes.
const maxAnswer = 64 << 20

// Options describes the connection to a store.
type Options struct {
	// Address is host:port.
	Address string
	// Name identifies the calling process to the store.
	Name string
	// Timeout bounds a call whose context has no deadline. Default DefaultTimeout.
	Timeout time.Duration
	// Connections bounds the open connections, and so the concurrent calls. Default DefaultConnections.
	Connections int
}

// HTTP is a Store and a VMList over HTTP.
type HTTP struct {
	base    string
	name    string
	timeout time.Duration
	client  *exchange.Client
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
		base:    "http://" + o.Address,
		name:    o.Name,
		timeout: o.Timeout,
		client:  exchange.New(exchange.Options{Connections: o.Connections, MaxAnswer: maxAnswer}),
	}
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdle() }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	return read[Entry](ctx, h, PathEntries, url.Values{"key": {key}})
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, types.Revision, error) {
	a, err := read[ListAnswer](ctx, h, PathEntries, url.Values{"prefix": {prefix}})
	return a.Entries, a.Revision, err
}

// CAS implements Store.
func (h *HTTP) CAS(ctx context.Context, w Write) (types.Revision, error) {
	if len(w.Value) > MaxValueBytes {
		return 0, types.NewFault(types.CodeBodyTooLarge, "value of %s holds %d bytes", w.Key, len(w.Value))
	}
	a, err := write[WriteAnswer](ctx, h, PathCAS, w)
	return a.Revision, err
}

// GrantLease implements Store.
func (h *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	a, err := write[Lease](ctx, h, PathLeaseGrant, Lease{TTLMs: ttl.Milliseconds()})
	return a.ID, err
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := write[Lease](ctx, h, PathLeaseKeepAlive, Lease{ID: id})
	return err
}

// RevokeLease implements Store.
func (h *HTTP) RevokeLease(ctx context.Context, id LeaseID) error {
	_, err := write[Lease](ctx, h, PathLeaseRevoke, Lease{ID: id})
	return err
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after types.Revision) ([]Event, types.Revision, error) {
	ctx, cancel := bounded(ctx, MaxWatchWait+h.timeout)
	defer cancel()
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(watchWait(ctx).Milliseconds(), 10)},
	}
	a, err := read[WatchAnswer](ctx, h, PathWatch, q)
	return a.Events, a.Revision, err
}

// VMs implements VMList.
func (h *HTTP) VMs(ctx context.Context) ([]VMStatus, error) {
	a, err := read[VMsAnswer](ctx, h, PathVMs, nil)
	return a.VMs, err
}

// watchWait keeps a tenth of the time left for the answer to arrive.
func watchWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return MaxWatchWait
	}
	return min(MaxWatchWait, max(0, time.Until(deadline)*9/10))
}

func bounded(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

func read[T any](ctx context.Context, h *HTTP, path string, q url.Values) (T, error) {
	return call[T](ctx, h, false, exchange.Request{Method: http.MethodGet, URL: h.base + path + "?" + q.Encode()})
}

func write[T any](ctx context.Context, h *HTTP, path string, v any) (T, error) {
	body, err := json.Marshal(v)
	if err != nil {
		var zero T
		return zero, types.WrapFault(types.CodeBadRequest, err, "encode %s", path)
	}
	return call[T](ctx, h, true, exchange.Request{Method: http.MethodPost, URL: h.base + path, Body: body})
}

// call performs one exchange and decodes its answer. writes is true for calls that change the store.
func call[T any](ctx context.Context, h *HTTP, writes bool, r exchange.Request) (T, error) {
	var zero T
	ctx, cancel := bounded(ctx, h.timeout)
	defer cancel()
	r.Header = http.Header{HeaderClient: {h.name}}
	a, err := h.client.Do(ctx, r)
	if err != nil {
		return zero, callFault(err, writes)
	}
	if a.Status != http.StatusOK {
		return zero, statusFault(a, writes)
	}
	v, err := decode[T](a.Body)
	if err != nil {
		return zero, lostOr(types.CodeStoreUnavailable, writes, err)
	}
	return v, nil
}

func callFault(err error, writes bool) *types.Fault {
	var e *exchange.Error
	if !errors.As(err, &e) {
		return lostOr(types.CodeStoreUnavailable, writes, err)
	}
	writes = writes && e.Written
	switch {
	case e.TimedOut:
		return lostOr(types.CodeTimeout, writes, err)
	case e.Cancelled:
		return lostOr(types.CodeCancelled, writes, err)
	}
	return lostOr(types.CodeStoreUnavailable, writes, err)
}

func statusFault(a exchange.Answer, writes bool) *types.Fault {
	if f, ok := decodeFault(a.Body); ok {
		return f
	}
	return lostOr(types.CodeStoreUnavailable, writes, types.NewFault(types.CodeInternal, "status %d", a.Status))
}

// lostOr returns an answer-lost fault when a write may have taken effect, else a fault with code.
func lostOr(code types.Code, mayBeWritten bool, cause error) *types.Fault {
	if mayBeWritten {
		return types.WrapFault(types.CodeAnswerLost, cause, "the write may have taken effect")
	}
	return types.WrapFault(code, cause, "store call failed")
}
