package peer_test

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/identity/identitytest"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echoService struct{ block chan struct{} }

func (e *echoService) Do(args *peer.DoRequest, out *peer.DoAnswer) error {
	if e.block != nil {
		<-e.block
	}
	out.Outcome = types.OutcomeDone
	out.Body = args.Body
	return nil
}

func startServer(t *testing.T, service *echoService) string {
	t.Helper()
	server := peer.NewServer("127.0.0.1:0")
	if err := server.Register("Dispatch", service); err != nil {
		t.Fatal(err)
	}
	start(t, server.Duty())
	return server.Address()
}

func start(t testing.TB, d duty.Duty) {
	t.Helper()
	g := duty.NewGroup()
	g.Add(d)
	if err := g.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Stop(context.Background()) })
}

func call(t *testing.T, l *peer.Link, timeout time.Duration) (*peer.Call, *peer.DoAnswer) {
	t.Helper()
	answer := &peer.DoAnswer{}
	done := make(chan *peer.Call, 1)
	err := l.TryCall(&peer.Call{
		Method:  peer.MethodDo,
		Args:    &peer.DoRequest{Body: []byte("whole")},
		Reply:   answer,
		Timeout: timeout,
		Done:    func(c *peer.Call) { done <- c },
	})
	if err != nil {
		t.Fatal(err)
	}
	return <-done, answer
}

// Guards against a call whose reply does not arrive or is not the peer's.
func TestCallReachesPeer(t *testing.T) {
	is := is.New(t)
	l := peer.NewLink("b", peer.TCPDialer(startServer(t, &echoService{})))
	start(t, l.Duty())
	c, answer := call(t, l, time.Minute)
	is.True(c.Err == nil)
	is.Equal(string(answer.Body), "whole")
}

// Guards against outcome "unknown" for a call that cannot have left the process.
func TestCallWithoutConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	refuse := func(context.Context) (net.Conn, error) { return nil, io.ErrClosedPipe }
	l := peer.NewLink("b", refuse)
	start(t, l.Duty())
	c, _ := call(t, l, time.Minute)
	is.Equal(c.Err.Code, types.CodePeerUnavailable)
	is.Equal(c.Err.Outcome, types.OutcomeNotRun)
}

// Guards against outcome "not run" for a call that the peer may have received.
func TestLostConnectionIsUnknown(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	start(t, duty.Duty{Name: "closer", Run: func(context.Context) error {
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		_, _ = conn.Read(make([]byte, 1))
		return conn.Close()
	}, Stop: func(context.Context) error { return listener.Close() }})
	l := peer.NewLink("b", peer.TCPDialer(listener.Addr().String()))
	start(t, l.Duty())
	c, _ := call(t, l, time.Minute)
	is.Equal(c.Err.Code, types.CodePeerUnavailable)
	is.Equal(c.Err.Outcome, types.OutcomeUnknown)
}

// Guards against calls that keep timing out on an unresponsive connection although a new connection would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	address := startServer(t, &echoService{})
	dials := 0
	l := peer.NewLink("b", func(ctx context.Context) (net.Conn, error) {
		dials++
		if dials > 1 {
			return peer.TCPDialer(address)(ctx)
		}
		silent, _ := net.Pipe()
		return discardingConn{silent}, nil
	})
	start(t, l.Duty())
	c, _ := call(t, l, time.Millisecond)
	is.Equal(c.Err.Code, types.CodeTimeout)
	is.Equal(c.Err.Outcome, types.OutcomeUnknown)
	c, answer := call(t, l, time.Minute)
	is.True(c.Err == nil)
	is.Equal(string(answer.Body), "whole")
}

// discardingConn accepts writes and never replies.
type discardingConn struct{ net.Conn }

func (discardingConn) Write(b []byte) (int, error)      { return len(b), nil }
func (discardingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against a dial that takes longer than the timeout of the first call. The call expired as soon as it was sent,
// and the connection was replaced as unresponsive each time. The times are those of a simulated clock.
func TestSlowDialDoesNotExpireTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := &echoService{block: make(chan struct{})}
		server := rpc.NewServer()
		is.NoErr(server.RegisterName("Dispatch", service))
		l := peer.NewLink("b", func(context.Context) (net.Conn, error) {
			time.Sleep(250 * time.Millisecond)
			time.AfterFunc(30*time.Millisecond, func() { close(service.block) })
			near, far := net.Pipe()
			go server.ServeConn(far)
			return near, nil
		})
		start(t, l.Duty())
		began := time.Now()
		c, answer := call(t, l, 200*time.Millisecond)
		is.True(c.Err == nil)
		is.Equal(string(answer.Body), "whole")
		is.Equal(time.Since(began), 280*time.Millisecond)
	})
}

// Guards against callers that wait for ever for a link that has stopped.
func TestStopEndsCallsInProgress(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	address := startServer(t, &echoService{block: block})
	l := peer.NewLink("b", peer.TCPDialer(address))
	g := duty.NewGroup()
	g.Add(l.Duty())
	is.NoErr(g.Start(context.Background()))
	done := make(chan *peer.Call, 1)
	is.NoErr(l.TryCall(&peer.Call{
		Method: peer.MethodDo, Args: &peer.DoRequest{}, Reply: &peer.DoAnswer{}, Timeout: time.Minute,
		Done: func(c *peer.Call) { done <- c },
	}))
	is.NoErr(g.Stop(context.Background()))
	c := <-done
	is.True(c.Err != nil)
	close(block)
}

// BenchmarkCall measures one call over loopback. Its allocations are those of both sides.
func BenchmarkCall(b *testing.B) {
	a := identitytest.NewAuthority(b)
	b.Run("plain", func(b *testing.B) { benchmarkCall(b, nil, nil) })
	b.Run("tls", func(b *testing.B) {
		benchmarkCall(b, newSource(b, a, "b", time.Now()), newSource(b, a, "a", time.Now()))
	})
}

func benchmarkCall(b *testing.B, server, client *identity.Source) {
	l := peer.NewLink("b", client.Dial(peer.TCPDialer(startSecure(b, server, &echoService{})), "b"))
	start(b, l.Duty())
	done := make(chan *peer.Call, 1)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.TryCall(&peer.Call{
			Method: peer.MethodDo, Args: &peer.DoRequest{Body: []byte("whole")}, Reply: &peer.DoAnswer{},
			Timeout: time.Minute, Done: func(c *peer.Call) { done <- c },
		})
		<-done
	}
}

// BenchmarkDial measures opening a connection with the TLS handshake on both sides, which is the cost of a reconnect.
func BenchmarkDial(b *testing.B) {
	a := identitytest.NewAuthority(b)
	address := startSecure(b, newSource(b, a, "b", time.Now()), &echoService{})
	dial := newSource(b, a, "a", time.Now()).Dial(peer.TCPDialer(address), "b")
	for b.Loop() {
		c, err := dial(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
}
