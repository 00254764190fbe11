// Package link is a TCP proxy on loopback that injects network faults: it delays bytes, drops them in one or both
// directions, and resets connections.
//
// A connection on which bytes were dropped forwards nothing more, because bytes after a gap are not a valid TCP stream.
// New connections work once the fault is over.
package link

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"sequoiasail.example/duty"
	"sequoiasail.example/ring"
	"sequoiasail.example/types"
)

// Faults are the delays and losses that a link applies to the bytes that it forwards.
type Faults struct {
	// Delay is added before each write.
	Delay time.Duration
	// DropToServer drops what the client sends, DropToClient what the server sends.
	DropToServer, DropToClient bool
}

const (
	// bufferSize is the largest number of bytes forwarded at once.
	bufferSize = 16 << 10
	// dialTimeout bounds the connection attempt to the server.
	dialTimeout = time.Second
	// endedCapacity is the number of ended directions that can wait for the duty that owns the connections.
	endedCapacity = 1024
)

// Link accepts connections and forwards each to a server.
type Link struct {
	name     string
	listener net.Listener
	// server is the address of the server, empty to reset new connections.
	server atomic.Pointer[string]
	faults atomic.Pointer[Faults]
	// resets requests the reset of all connections. ended carries the name of a connection of which one direction has
	// ended.
	resets *ring.Ring[struct{}]
	ended  *ring.Ring[string]
	group  *duty.Group
	// connectionCount numbers the connections. Their numbers are their names in connections.
	connectionCount int
	connections     map[string]*proxiedConn
}

// proxiedConn is an accepted connection and the connection to the server that it is forwarded to.
type proxiedConn struct {
	client, server *net.TCPConn
	// lost is true once bytes were dropped.
	lost atomic.Bool
	// endedDirections counts the directions that have ended. The connection is closed when both have.
	endedDirections int
}

// New returns a link that accepts connections on l and forwards them to server. The name must be unique in a process.
func New(name string, l net.Listener, server string) *Link {
	k := &Link{
		name: name, listener: l, resets: ring.New[struct{}](1), ended: ring.New[string](endedCapacity),
		group: duty.NewGroup(), connections: make(map[string]*proxiedConn),
	}
	k.faults.Store(&Faults{})
	k.server.Store(&server)
	return k
}

// Address returns the address to connect to.
func (k *Link) Address() string { return k.listener.Addr().String() }

// SetFaults replaces the faults that the link applies.
func (k *Link) SetFaults(f Faults) { k.faults.Store(&f) }

// SetServer makes the link forward new connections to another server. With an empty address they are reset.
func (k *Link) SetServer(server string) { k.server.Store(&server) }

// Reset resets all open connections.
func (k *Link) Reset() { _ = k.resets.Replace(struct{}{}) }

// Duties returns the duties of the link: one accepts connections, the other owns them.
func (k *Link) Duties() []duty.Duty {
	accepted := ring.New[*net.TCPConn](1)
	return []duty.Duty{
		{Name: "link-own-" + k.name, Run: func(ctx context.Context) error { return k.serve(ctx, accepted) }},
		{
			Name: "link-accept-" + k.name,
			Run:  func(ctx context.Context) error { return k.accept(ctx, accepted) },
			Stop: func(context.Context) error { return k.listener.Close() },
		},
	}
}

func (k *Link) accept(ctx context.Context, out *ring.Ring[*net.TCPConn]) error {
	detach := context.AfterFunc(ctx, func() { _ = k.listener.Close() })
	defer detach()
	for {
		c, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return types.WrapFault(types.CodeInternal, err, "accept on %s", k.name)
		}
		if out.Put(ctx, c.(*net.TCPConn)) != nil {
			return nil
		}
	}
}

// serve is the duty that owns the open connections.
func (k *Link) serve(ctx context.Context, accepted *ring.Ring[*net.TCPConn]) error {
	defer k.finish()
	for {
		select {
		case <-accepted.Ready():
			accepted.Drain(func(c *net.TCPConn) { k.connect(ctx, c) })
		case <-k.resets.Ready():
			k.resets.Drain(func(struct{}) { k.resetAll() })
		case <-k.ended.Ready():
			k.ended.Drain(func(name string) { k.directionEnded(name) })
		case <-ctx.Done():
			return nil
		}
	}
}

func (k *Link) finish() {
	k.resetAll()
	_ = k.group.Abort(context.Background())
}

func (k *Link) resetAll() {
	for _, p := range k.connections {
		p.reset()
	}
}

func (p *proxiedConn) reset() {
	for _, c := range []*net.TCPConn{p.client, p.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// connect dials the server and starts forwarding in both directions. It resets the client if the dial fails.
func (k *Link) connect(ctx context.Context, client *net.TCPConn) {
	server := *k.server.Load()
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", server)
	if server == "" || err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &proxiedConn{client: client, server: c.(*net.TCPConn)}
	k.connectionCount++
	name := strconv.Itoa(k.connectionCount)
	k.connections[name] = p
	k.startDirection(ctx, name+"-to-server", name, p, p.client, p.server, func(f *Faults) bool { return f.DropToServer })
	k.startDirection(ctx, name+"-to-client", name, p, p.server, p.client, func(f *Faults) bool { return f.DropToClient })
}

// startDirection starts the duty that forwards one direction of a connection. drops reports whether the faults drop its
// bytes.
func (k *Link) startDirection(ctx context.Context, name, connection string, p *proxiedConn, from, to *net.TCPConn, drops func(*Faults) bool) {
	err := k.group.Launch(ctx, duty.Duty{Name: name, Run: func(ctx context.Context) error {
		k.copyDirection(ctx, p, from, to, drops)
		return k.ended.Put(ctx, connection)
	}})
	if err != nil {
		p.reset()
	}
}

// directionEnded closes and removes a connection once both directions have ended.
func (k *Link) directionEnded(name string) {
	p := k.connections[name]
	if p.endedDirections++; p.endedDirections < 2 {
		return
	}
	delete(k.connections, name)
	_ = p.client.Close()
	_ = p.server.Close()
	_ = k.group.Remove(context.Background(), name+"-to-server")
	_ = k.group.Remove(context.Background(), name+"-to-client")
}

// copyDirection forwards one direction until it ends. The end of the stream is forwarded even while the link drops bytes,
// unless bytes of this connection were dropped.
func (k *Link) copyDirection(ctx context.Context, p *proxiedConn, from, to *net.TCPConn, drops func(*Faults) bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		f := k.faults.Load()
		if n > 0 && drops(f) {
			p.lost.Store(true)
		}
		if !duty.Pause(ctx, f.Delay) {
			return
		}
		if n > 0 && !p.lost.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !p.lost.Load() {
				_ = to.CloseWrite()
			}
			return
		}
	}
}
