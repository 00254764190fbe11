package identity

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"sequoiasail.example/types"
)

const (
	// handshakeTimeout bounds a handshake on both sides. A link allows only 300 ms for a connection; maxHandshakes and
	// maxSlotWait follow from that.
	handshakeTimeout = time.Second
	// maxHandshakes bounds the concurrent handshakes of a process as server. Each takes about 1 ms of a core. Without a
	// bound, a fleet of 430 daemons that reconnects at once shares the processor so evenly that every handshake ends
	// after its client has timed out, and no link recovers.
	maxHandshakes = 64
	// maxSlotWait bounds how long a connection waits for a handshake slot. After that its client has no time left for
	// the handshake itself.
	maxSlotWait = 200 * time.Millisecond
)

// clientAcceptedByte is sent by a peer listener after it has verified the client. In TLS 1.3 the client's handshake
// ends before the server has verified the client's certificate, so without this byte a refused client would already
// have written a call and could not tell that it was not run.
const clientAcceptedByte = 1

// Dial is a function that opens a connection.
type Dial = func(ctx context.Context) (net.Conn, error)

// Dial returns a Dial that opens connections with dial and secures them with TLS, for a peer listener of vm. An empty
// vm accepts any process.
func (s *Source) Dial(dial Dial, vm types.VM) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context) (net.Conn, error) { return s.connect(ctx, dial, vm, readAcceptedByte) }
}

// DialAdmin is like Dial, for an admin listener.
func (s *Source) DialAdmin(dial Dial, vm types.VM) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context) (net.Conn, error) {
		return s.connect(ctx, dial, vm, func(net.Conn) error { return nil })
	}
}

// PeerListener returns a listener that secures the connections of l with TLS, for net/rpc. Only processes are accepted.
func (s *Source) PeerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return &listener{Listener: l, source: s, processesOnly: true, afterHandshake: sendAcceptedByte}
}

// AdminListener returns a listener that secures the connections of l with TLS, for the HTTP/1.1 admin interface.
// Processes and operators are accepted.
func (s *Source) AdminListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return &listener{Listener: l, source: s, afterHandshake: func(net.Conn) error { return nil }}
}

// connect opens a connection, runs the TLS handshake and calls after on the secured connection.
func (s *Source) connect(ctx context.Context, dial Dial, vm types.VM, after func(net.Conn) error) (net.Conn, error) {
	raw, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c := conn{Conn: tls.Client(raw, s.clientConfig(ctx, vm)), raw: raw}
	if err := c.handshake(ctx, after); err != nil {
		_ = raw.Close()
		return nil, s.handshakeFault(SideConnect, raw, err)
	}
	return c, nil
}

// conn is a TLS connection that is closed without a close_notify alert: crypto/tls can block for 5 s to send it to an
// unresponsive peer, and the duty that closes such a link must not block. Both protocols on top delimit their messages,
// so a truncated message is detected without the alert.
type conn struct {
	*tls.Conn
	raw net.Conn
}

func (c conn) Close() error { return c.raw.Close() }

func (c conn) handshake(ctx context.Context, after func(net.Conn) error) error {
	// The connection is closed when ctx ends, because Read and Write take no context.
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	err := c.HandshakeContext(ctx)
	if err == nil {
		err = after(c.Conn)
	}
	if !stop() && err == nil {
		return ctx.Err()
	}
	return err
}

func sendAcceptedByte(c net.Conn) error {
	_, err := c.Write([]byte{clientAcceptedByte})
	return err
}

func readAcceptedByte(c net.Conn) error {
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// listener accepts connections without waiting for their handshakes, so that a slow client does not delay others.
// afterHandshake is called on each connection whose handshake succeeded, before it is used.
type listener struct {
	net.Listener
	source         *Source
	processesOnly  bool
	afterHandshake func(net.Conn) error
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{listener: l}
	c.conn = conn{Conn: tls.Server(raw, &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: c.acquireSlot}), raw: raw}
	return c, nil
}

// serverConn runs the handshake in the first Read, on the goroutine that serves the connection.
type serverConn struct {
	conn
	listener *listener
	// The fields below are accessed only by the goroutine that reads. holdsSlot is true while the connection occupies a
	// handshake slot.
	holdsSlot     bool
	handshakeDone bool
}

func (c *serverConn) Read(b []byte) (int, error) {
	if !c.handshakeDone {
		if err := c.runHandshake(); err != nil {
			return 0, err
		}
	}
	return c.conn.Read(b)
}

// acquireSlot waits for one of the maxHandshakes slots and returns the configuration from the newest files. It is
// called when the client has sent its first message, so that silent clients do not occupy slots.
func (c *serverConn) acquireSlot(hello *tls.ClientHelloInfo) (*tls.Config, error) {
	ctx, cancel := context.WithTimeout(hello.Context(), maxSlotWait)
	defer cancel()
	s := c.listener.source
	if err := s.handshakes.Put(ctx, struct{}{}); err != nil {
		return nil, types.WrapFault(types.CodeOverloaded, err, "%d handshakes in progress", maxHandshakes)
	}
	c.holdsSlot = true
	return s.serverConfig(s.newestCredentials(ctx), c.listener.processesOnly), nil
}

func (c *serverConn) runHandshake() error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	defer c.releaseSlot()
	if err := c.handshake(ctx, c.listener.afterHandshake); err != nil {
		return c.listener.source.handshakeFault(SideAccept, c.raw, err)
	}
	c.handshakeDone = true
	return nil
}

// releaseSlot frees the handshake slot if acquireSlot got one.
func (c *serverConn) releaseSlot() {
	if c.holdsSlot {
		_, _ = c.listener.source.handshakes.TryGet()
	}
}

// handshakeFault returns the fault of a failed handshake and reports it to the observer. A client that closes without
// an alert, as the TCP health check of a load balancer does, is not reported.
func (s *Source) handshakeFault(side Side, raw net.Conn, err error) error {
	fault := types.WrapFault(types.CodePeerUnavailable, err, "TLS handshake with %s", raw.RemoteAddr())
	if side == SideAccept && errors.Is(err, io.EOF) {
		return fault
	}
	s.options.Observer.HandshakeFailed(HandshakeFailure{Side: side, Remote: raw.RemoteAddr().String(), Err: fault})
	return fault
}
