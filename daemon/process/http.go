package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Limits of the HTTP servers.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// HTTPServer is one listener with its handler.
type HTTPServer struct {
	Name    string
	Address string
	Handler http.Handler
	// Listen opens the listener.
	Listen peer.Listen
	// Secure wraps the listener. Optional: without it connections are plain TCP.
	Secure func(net.Listener) net.Listener

	listener net.Listener
	server   *http.Server
}

// Duty returns the duty that serves. Its stop waits for requests in hand.
func (s *HTTPServer) Duty() duty.Duty {
	return duty.Duty{
		Name:      "http-" + s.Name,
		Provision: s.provision,
		Run:       s.run,
		Stop:      func(ctx context.Context) error { return s.server.Shutdown(ctx) },
	}
}

func (s *HTTPServer) provision(ctx context.Context) error {
	l, err := s.Listen(ctx, s.Address)
	if err != nil {
		return types.WrapFault(types.CodeBadSettings, err, "listen on %s", s.Address)
	}
	if s.Secure != nil {
		l = s.Secure(l)
	}
	s.listener = l
	s.server = &http.Server{
		Handler:           s.Handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
	return nil
}

// run closes all connections at once when ctx ends.
func (s *HTTPServer) run(ctx context.Context) error {
	detach := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer detach()
	err := s.server.Serve(s.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return types.WrapFault(types.CodeInternal, err, "serve %s", s.Name)
}
