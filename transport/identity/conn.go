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
	// handshakeTimeout bounds a handshake on both sides. A link allows 300 ms, which bounds the two values below.
	handshakeTimeout = time.Second
	// maxHandshakes bounds the handshakes that a process computes at once as the side that listens. Each takes about
	// 1 ms of a core. Without a bound, a fleet of 430 daemons that reconnects at once shares the processor so evenly that
	// every handshake ends after its client has given up, and no link comes back.
	maxHandshakes = 64
	// maxHandshakeWait bounds how long a connection waits for its turn. After that its client has no time left for the
	// handshake itself.
	maxHandshakeWait = 200 * time.Millisecond
)

// acceptedByte is sent by a peer listener after it has verified the client. In TLS 1.3 the client's handshake ends
// before the server has looked at the client's certificate, so without this byte a refused client would already have
// written a call and could not tell that it was not run.
const acceptedByte = 1

// Dial opens a connection.
type Dial = func(ctx context.Context) (net.Conn, error)

// Dial returns a Dial that secures what dial opens, to a peer listener of vm. An empty vm accepts any process.
func (s *Source) Dial(dial Dial, vm types.VM) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context) (net.Conn, error) { return s.connect(ctx, dial, vm, awaitAccepted) }
}

// DialPage is Dial for a page listener.
func (s *Source) DialPage(dial Dial, vm types.VM) Dial {
	if s == nil {
		return dial
	}
	return func(ctx context.Context) (net.Conn, error) {
		return s.connect(ctx, dial, vm, func(net.Conn) error { return nil })
	}
}

// PeerListener secures the connections of l for net/rpc. Only processes are accepted.
func (s *Source) PeerListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return &listener{Listener: l, source: s, processesOnly: true, greet: sendAccepted}
}

// PageListener secures the connections of l for HTTP/1.1. Processes and operators are accepted.
func (s *Source) PageListener(l net.Listener) net.Listener {
	if s == nil {
		return l
	}
	return &listener{Listener: l, source: s, greet: func(net.Conn) error { return nil }}
}

// connect opens a connection and runs the handshake. after is the last step of it.
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
		return nil, s.fail(SideConnect, raw, err)
	}
	return c, nil
}

// conn is a TLS connection that closes without a farewell: the close_notify alert of crypto/tls can wait 5 s for a
// silent peer, and the duty that closes a silent link must not wait. Both protocols on top delimit their messages
// themselves, so a connection that was cut off is not taken for a whole answer.
type conn struct {
	*tls.Conn
	raw net.Conn
}

func (c conn) Close() error { return c.raw.Close() }

func (c conn) handshake(ctx context.Context, after func(net.Conn) error) error {
	// The end of ctx closes the connection, because Read and Write know no context.
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

func sendAccepted(c net.Conn) error {
	_, err := c.Write([]byte{acceptedByte})
	return err
}

func awaitAccepted(c net.Conn) error {
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// listener accepts connections without waiting for their handshakes, so that a slow client delays nobody else.
type listener struct {
	net.Listener
	source        *Source
	processesOnly bool
	greet         func(net.Conn) error
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &serverConn{listener: l}
	c.conn = conn{Conn: tls.Server(raw, &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: c.admit}), raw: raw}
	return c, nil
}

// serverConn runs the handshake in the first Read, on the goroutine that serves the connection.
type serverConn struct {
	conn
	listener *listener
	// The fields below belong to the goroutine that reads.
	admitted bool
	accepted bool
}

func (c *serverConn) Read(b []byte) (int, error) {
	if !c.accepted {
		if err := c.accept(); err != nil {
			return 0, err
		}
	}
	return c.conn.Read(b)
}

// admit is called when the client has sent its first message, so that silent clients take no place of others. It waits
// for a place among the handshakes in progress and returns the configuration of the newest files.
func (c *serverConn) admit(hello *tls.ClientHelloInfo) (*tls.Config, error) {
	ctx, cancel := context.WithTimeout(hello.Context(), maxHandshakeWait)
	defer cancel()
	s := c.listener.source
	if err := s.handshakes.Put(ctx, struct{}{}); err != nil {
		return nil, types.WrapFault(types.CodeOverloaded, err, "%d handshakes in progress", maxHandshakes)
	}
	c.admitted = true
	return s.serverConfig(s.latest(ctx), c.listener.processesOnly), nil
}

func (c *serverConn) accept() error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	defer c.leave()
	if err := c.handshake(ctx, c.listener.greet); err != nil {
		return c.listener.source.fail(SideAccept, c.raw, err)
	}
	c.accepted = true
	return nil
}

// leave gives the place among the handshakes to the next.
func (c *serverConn) leave() {
	if c.admitted {
		_, _ = c.listener.source.handshakes.TryGet()
	}
}

// fail reports a failed handshake. A client that closes without an alert, as a balancer's TCP check does, is not
// reported.
func (s *Source) fail(side Side, raw net.Conn, err error) error {
	fault := types.WrapFault(types.CodePeerUnavailable, err, "TLS handshake with %s", raw.RemoteAddr())
	if side == SideAccept && errors.Is(err, io.EOF) {
		return fault
	}
	s.options.Observer.HandshakeFailed(HandshakeFailure{Side: side, Remote: raw.RemoteAddr().String(), Err: fault})
	return fault
}
