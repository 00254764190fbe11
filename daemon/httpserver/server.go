// Package httpserver runs an HTTP server on one listener as a duty. The handler decides the answers.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Limits bound the size and duration of requests. Zero values mean the default of net/http for HeaderBytes, no limit for ReadTime,
// and the value of ReadTime for the other two.
type Limits struct {
	// HeaderBytes limits the size of a request line, of the header lines after it, of the empty lines before it, and of a trailer,
	// each in bytes with its line breaks.
	HeaderBytes int
	// HeaderTime limits the time to read a request's header, ReadTime that of a whole request, IdleTime the time between two
	// requests on a connection.
	HeaderTime, ReadTime, IdleTime time.Duration
}

// maxHeaderBytes is the limit of net/http for a header section. It is never reached: the connections refuse a larger one by the
// limits in force.
const maxHeaderBytes = 1 << 30

// Server is an HTTP server on one listener. The exported fields are set before its duty starts.
type Server struct {
	// Name follows "http-" in the name of the duty.
	Name string
	// Address is the host:port to listen on.
	Address string
	Handler http.Handler
	Limits  Limits
	// Current, if set, returns the limits in force now, except for ReadTime. A time of 0 is no limit.
	Current func() Limits
	// Headers bounds the estimated memory of the header sections that are read or belong to a request in progress. Small sections
	// overdraw it, so that only the others are refused when it is short. There is no bound without it.
	Headers *forward.Budget
	// MaxConnections is the number of connections that may be open, 0 for no limit. When they run short, idle ones are closed. A
	// full server leaves new connections to the operating system until there is room.
	MaxConnections int
	// ShortChanged, if set, is called when the connections run short, and when they no longer do.
	ShortChanged func(short bool)
	// Listen opens the listener. The default is peer.ListenTCP.
	Listen peer.Listen
	// Secure wraps the listener, for example in TLS. If it is nil, connections are plain TCP.
	Secure func(net.Listener) net.Listener
	// Unanswered, if set, is called with the caller's address when the server closes a connection on which it has read a byte of
	// a request and written none of its answer.
	Unanswered func(remote string)
	// Rejected, if set, is called when net/http answers a request by itself, because it can't parse it, with the caller's address and
	// the status and the text of that answer. The server sends the returned response in its place.
	Rejected func(remote string, status int, text string) []byte

	listener    net.Listener
	server      *http.Server
	connections connections
	room        room
	unanswered  atomic.Uint64
	// headersRefused counts the requests with a header section over a limit, headersWithoutMemory those that were refused because
	// Headers was used up, evictions the connections that were closed to make room.
	headersRefused, headersWithoutMemory, evictions atomic.Uint64
	// slowReaders counts the connections that were closed because their callers left an answer unread. slowReadersSought is when
	// they were last searched for, in Unix nanoseconds.
	slowReaders       atomic.Uint64
	slowReadersSought atomic.Int64
	// closing is true once StopAccepting has been called: Serve's error is then expected.
	closing atomic.Bool
	// shuttingDown is true once Shutdown has been called: connections then read no further request.
	shuttingDown atomic.Bool
}

// Duty returns the duty that serves requests. Its stop is Shutdown.
func (s *Server) Duty() duty.Duty {
	return duty.Duty{Name: "http-" + s.Name, Provision: s.provision, Run: s.run, Stop: s.Shutdown}
}

// StopAccepting closes the listener. Open connections are still served.
func (s *Server) StopAccepting() {
	s.closing.Store(true)
	_ = s.listener.Close()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return int(s.connections.count.Load()) }

// UnansweredRequests returns the number of connections that were closed without an answer to a request that had been read.
func (s *Server) UnansweredRequests() uint64 { return s.unanswered.Load() }

// RefusedHeaders returns the number of requests that were refused because their header section is over a limit.
func (s *Server) RefusedHeaders() uint64 { return s.headersRefused.Load() }

// HeadersWithoutMemory returns the number of requests that were refused because the memory for header sections was used up.
func (s *Server) HeadersWithoutMemory() uint64 { return s.headersWithoutMemory.Load() }

// Evictions returns the number of connections that were closed to make room for others.
func (s *Server) Evictions() uint64 { return s.evictions.Load() }

// limits returns the limits in force.
func (s *Server) limits() Limits {
	if s.Current == nil {
		return s.Limits
	}
	return s.Current()
}

// ServeHTTP marks the request as one that the handler answers, notes the length of its body, so that the connection finds the next
// header section, and calls the handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connectionKey{}).(*connection)
	c.handled.Store(true)
	// The preface of HTTP/2 has an unknown length and no body: net/http reads on from the connection then.
	if r.ContentLength != 0 && r.Body != http.NoBody {
		// Nothing else reads from the connection before the body is read.
		c.stream.beginBody(r.ContentLength)
	}
	s.Handler.ServeHTTP(w, r)
}

// Shutdown closes the listener, lets the connections finish the requests that they have read, and closes them. When ctx
// ends it closes those that remain and returns a CodeTimeout fault.
//
// http.Server.Shutdown is not used: once it has been called, net/http reads requests and closes their connections without an
// answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	s.shuttingDown.Store(true)
	s.connections.refuseRequests()
	err := s.WaitClosed(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return err
}

// WaitClosed waits until no connection is open. It returns a CodeTimeout fault if connections remain when ctx ends.
func (s *Server) WaitClosed(ctx context.Context) error {
	for s.Connections() > 0 {
		select {
		case <-s.connections.removed:
		case <-ctx.Done():
			return types.NewFault(types.CodeTimeout, "%d connections are still open", s.Connections())
		}
	}
	return nil
}

// provision opens the listener. It returns a CodeBadSettings fault if that fails.
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
	s.connections.removed = make(chan struct{}, 1)
	s.room.freed = make(chan struct{}, 1)
	s.listener = &trackingListener{Listener: l, server: s}
	s.server = &http.Server{
		ConnState:         trackState,
		ConnContext:       withConnection,
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: s.Limits.HeaderTime,
		ReadTimeout:       s.Limits.ReadTime,
		IdleTimeout:       s.Limits.IdleTime,
		// OPTIONS * gets the answer of the handler.
		DisableGeneralOptionsHandler: true,
	}
	return nil
}

// run serves until the server is shut down. All connections are closed at once when ctx ends.
func (s *Server) run(ctx context.Context) error {
	cancelClose := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer cancelClose()
	err := s.server.Serve(s.listener)
	if err == http.ErrServerClosed || s.closing.Load() {
		return nil
	}
	return types.WrapFault(types.CodeInternal, err, "serve %s", s.Name)
}
