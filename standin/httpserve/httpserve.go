// Package httpserve holds what the HTTP front ends of the stand-ins share: a server duty, JSON request and response
// bodies, and aborting connections.
package httpserve

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/types"
)

// readHeaderTimeout bounds how long a connection may take to send the header of a request.
const readHeaderTimeout = 10 * time.Second

// ConnContext returns the context for the requests on a connection, as http.Server.ConnContext does.
type ConnContext func(context.Context, net.Conn) context.Context

// Duty returns the duty that serves l with h. Its Stop waits for the requests in progress. connContext may be nil.
func Duty(name string, l net.Listener, h http.Handler, connContext ConnContext) duty.Duty {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ConnContext: connContext}
	return duty.Duty{
		Name: name,
		Run: func(ctx context.Context) error {
			detach := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer detach()
			defer server.Close()
			return ServeResult(server.Serve(l))
		},
		Stop: server.Shutdown,
	}
}

// ServeResult returns nil if err is http.ErrServerClosed, else err as a fault.
func ServeResult(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return types.WrapFault(types.CodeInternal, err, "http server")
}

// Listen opens a TCP listener.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, types.WrapFault(types.CodeBadSettings, err, "listen on %s", address)
	}
	return l, nil
}

// AbortConnection closes the connection of the current request without a response. It panics and so does not return.
func AbortConnection() { panic(http.ErrAbortHandler) }

// Decode reads a JSON body of at most limit bytes into v. Unknown fields are an error, so that a misspelt setting is
// noticed.
func Decode(r *http.Request, limit int64, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return types.WrapFault(types.CodeBadRequest, err, "decode body")
	}
	return nil
}

// Encode responds with status and v as JSON.
func Encode(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Message returns the text of a fault without its code. Response bodies hold the code in a field of its own.
func Message(err error) string {
	var f *types.Fault
	if errors.As(err, &f) {
		return f.Message
	}
	return err.Error()
}
