// Package httpserver serves one listener over HTTP as a duty. It never decides what is answered.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Limits bound what a client may send and how long it may take. Zero means no bound.
type Limits struct {
	// HeaderBytes bounds the size of a request's header.
	HeaderBytes int
	// HeaderTime bounds the reading of a header, ReadTime that of a whole request, IdleTime the time between two.
	HeaderTime, ReadTime, IdleTime time.Duration
}

// Server is one listener with its handler.
type Server struct {
	Name    string
	Address string
	Handler http.Handler
	Limits  Limits
	// Listen opens the listener. Default peer.ListenTCP.
	Listen peer.Listen
	// Secure wraps the listener. Optional: without it connections are plain TCP.
	Secure func(net.Listener) net.Listener

	listener net.Listener
	server   *http.Server
	// closing is true once the listener has been closed on purpose.
	closing atomic.Bool
}

// Duty returns the duty that serves. Its stop waits for requests in hand.
func (s *Server) Duty() duty.Duty {
	return duty.Duty{Name: "http-" + s.Name, Provision: s.provision, Run: s.run, Stop: s.Shutdown}
}

// StopAccepting closes the listener. The connections stay open.
func (s *Server) StopAccepting() {
	s.closing.Store(true)
	_ = s.listener.Close()
}

// Shutdown closes the listener and the idle connections, and waits for requests in hand until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

func (s *Server) provision(ctx context.Context) error {
	if s.Listen == nil {
		s.Listen = peer.ListenTCP
	}
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
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ReadHeaderTimeout: s.Limits.HeaderTime,
		ReadTimeout:       s.Limits.ReadTime,
		IdleTimeout:       s.Limits.IdleTime,
	}
	return nil
}

// run closes all connections at once when ctx ends.
func (s *Server) run(ctx context.Context) error {
	detach := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer detach()
	err := s.server.Serve(s.listener)
	if err == http.ErrServerClosed || s.closing.Load() {
		return nil
	}
	return types.WrapFault(types.CodeInternal, err, "serve %s", s.Name)
}
