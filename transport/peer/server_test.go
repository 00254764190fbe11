package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// Guards against a stop that closes the connection of a call while the call is still running, so that its caller gets no reply.
func TestStopDeliversTheRepliesOfRunningCalls(t *testing.T) {
	is := is.New(t)
	service := &echoService{block: make(chan struct{})}
	server := peer.NewServer("127.0.0.1:0")
	is.NoErr(server.Register("Dispatch", service))
	g := duty.NewGroup()
	g.Add(server.Duty())
	is.NoErr(g.Start(context.Background()))
	l := peer.NewLink("b", peer.TCPDialer(server.Address()))
	start(t, l.Duty())
	done := make(chan *peer.Call, 1)
	is.NoErr(l.TryCall(&peer.Call{
		Method: peer.MethodDo, Args: &peer.DoRequest{}, Reply: &peer.DoAnswer{}, Timeout: time.Minute,
		Done: func(c *peer.Call) { done <- c },
	}))
	time.Sleep(50 * time.Millisecond)
	time.AfterFunc(300*time.Millisecond, func() { close(service.block) })
	is.NoErr(g.Stop(context.Background()))
	c := <-done
	is.True(c.Err == nil) // the call was running when the stop began
}

// Guards against silent connections that take all descriptors of a process or keep its peers out, and against closing the connection
// of a peer to make room for them.
func TestSilentConnectionsMakeRoomForPeers(t *testing.T) {
	is := is.New(t)
	const most = 4
	server := peer.NewServer("127.0.0.1:0")
	server.MaxConnections = most
	is.NoErr(server.Register("Dispatch", &echoService{}))
	g := duty.NewGroup()
	g.Add(server.Duty())
	is.NoErr(g.Start(context.Background()))
	t.Cleanup(func() { _ = g.Abort(context.Background()) })
	call := func(l *peer.Link) *types.Fault {
		done := make(chan *peer.Call, 1)
		is.NoErr(l.TryCall(&peer.Call{
			Method: peer.MethodDo, Args: &peer.DoRequest{}, Reply: &peer.DoAnswer{}, Timeout: time.Second,
			Done: func(c *peer.Call) { done <- c },
		}))
		return (<-done).Err
	}
	first := peer.NewLink("first", peer.TCPDialer(server.Address()))
	start(t, first.Duty())
	is.True(call(first) == nil)
	for range 3 * most {
		c, err := net.Dial("tcp", server.Address())
		is.NoErr(err)
		defer c.Close()
	}
	time.Sleep(150 * time.Millisecond)
	is.True(server.Connections() <= most)
	second := peer.NewLink("second", peer.TCPDialer(server.Address()))
	start(t, second.Duty())
	is.True(call(second) == nil)
	is.True(call(first) == nil)
	is.True(server.Connections() <= most)
	is.True(server.Evictions() > 2*most)
}
