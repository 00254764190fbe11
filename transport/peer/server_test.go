package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/transport/peer"
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
