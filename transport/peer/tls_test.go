package peer_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/identity/identitytest"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/types"
)

// countingService is an echo service that counts its calls.
type countingService struct{ calls atomic.Int64 }

func (c *countingService) Do(args *peer.DoRequest, out *peer.DoAnswer) error {
	c.calls.Add(1)
	out.Body = args.Body
	return nil
}

// newSource starts a source whose clock is stopped at now. It trusts a and the authorities in trusted.
func newSource(t testing.TB, a *identitytest.Authority, vm string, now time.Time, trusted ...*identitytest.Authority) *identity.Source {
	t.Helper()
	dir := t.TempDir()
	o := identity.Options{Now: func() time.Time { return now }}
	o.Settings = a.Issue(t, dir, vm, identitytest.ProcessUsages, time.Now().Add(time.Hour))
	var pem []byte
	for _, b := range append(trusted, a) {
		pem = append(pem, b.PEM...)
	}
	identitytest.WriteFile(t, dir, "ca.pem", pem)
	s := identity.New(o)
	start(t, s.Duty())
	return s
}

func startSecure(t testing.TB, id *identity.Source, service any) string {
	t.Helper()
	server := peer.NewServer("127.0.0.1:0")
	server.WrapListener(id.PeerListener)
	if err := server.Register("Dispatch", service); err != nil {
		t.Fatal(err)
	}
	start(t, server.Duty())
	return server.Address()
}

// Guards against a link that works only over plain TCP.
func TestCallOverTLS(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	address := startSecure(t, newSource(t, a, "b", time.Now()), &countingService{})
	l := peer.NewLink("b", newSource(t, a, "a", time.Now()).Dial(peer.TCPDialer(address), "b"))
	start(t, l.Duty())
	c, answer := call(t, l, time.Minute)
	is.True(c.Err == nil)
	is.Equal(string(answer.Body), "whole")
}

// Guards against calls that reach a process without the right certificate, against outcome "unknown" for a call that
// was refused before it was sent, and against names and addresses of certificates in the message to callers.
func TestRefusedPeerIsNotRun(t *testing.T) {
	a, other := identitytest.NewAuthority(t), identitytest.NewAuthority(t)
	now := time.Now()
	operator := identity.New(identity.Options{
		Settings: a.Issue(t, t.TempDir(), "jana", identitytest.OperatorUsages, now.Add(time.Hour)),
	})
	start(t, operator.Duty())
	late := now.Add(2 * time.Hour) // the clock of a server for which the certificates have expired
	cases := map[string]struct{ server, client *identity.Source }{
		"client of another authority": {newSource(t, a, "b", now), newSource(t, other, "a", now, a)},
		"expired client":              {newSourceAt(t, a, "b", now, late), newSource(t, a, "a", now)},
		"operator as client":          {newSource(t, a, "b", now), operator},
		"server of another authority": {newSource(t, other, "b", now, a), newSource(t, a, "a", now)},
		"server of another VM":        {newSource(t, a, "c", now), newSource(t, a, "a", now)},
		"server without TLS":          {nil, newSource(t, a, "a", now)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := &countingService{}
			l := peer.NewLink("b", c.client.Dial(peer.TCPDialer(startSecure(t, c.server, service)), "b"))
			start(t, l.Duty())
			failed, _ := call(t, l, time.Minute)
			is.Equal(failed.Err.Code, types.CodePeerUnavailable)
			is.Equal(failed.Err.Outcome, types.OutcomeNotRun)
			is.Equal(failed.Err.Message, "no connection to b")
			is.True(failed.Err.Unwrap() != nil)
			is.Equal(service.calls.Load(), int64(0))
		})
	}
}

// newSourceAt starts a source whose clock moves from first to later once the files are loaded.
func newSourceAt(t testing.TB, a *identitytest.Authority, vm string, first, later time.Time) *identity.Source {
	t.Helper()
	var loaded atomic.Bool
	s := identity.New(identity.Options{
		Settings: a.Issue(t, t.TempDir(), vm, identitytest.ProcessUsages, later.Add(time.Hour)),
		Now: func() time.Time {
			if loaded.Swap(true) {
				return later
			}
			return first
		},
	})
	start(t, s.Duty())
	return s
}

// Guards against a server that serves a client without a certificate, and against a client that writes a call before
// the server has accepted it.
func TestClientWithoutCertificateIsNotRun(t *testing.T) {
	is := is.New(t)
	service := &countingService{}
	address := startSecure(t, newSource(t, identitytest.NewAuthority(t), "b", time.Now()), service)
	l := peer.NewLink("b", func(ctx context.Context) (net.Conn, error) {
		raw, err := peer.TCPDialer(address)(ctx)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
		_, err = c.Read(make([]byte, 1)) // the byte that the server sends after it has verified the client
		return c, err
	})
	start(t, l.Duty())
	c, _ := call(t, l, time.Minute)
	is.Equal(c.Err.Code, types.CodePeerUnavailable)
	is.Equal(c.Err.Outcome, types.OutcomeNotRun)
	is.Equal(service.calls.Load(), int64(0))
}

// Guards against a server that serves a client without TLS. Such a client has written its call, so the outcome is
// unknown to it.
func TestPlainClientIsNotServed(t *testing.T) {
	is := is.New(t)
	service := &countingService{}
	address := startSecure(t, newSource(t, identitytest.NewAuthority(t), "b", time.Now()), service)
	l := peer.NewLink("b", peer.TCPDialer(address))
	start(t, l.Duty())
	c, _ := call(t, l, time.Minute)
	is.Equal(c.Err.Code, types.CodePeerUnavailable)
	is.Equal(c.Err.Outcome, types.OutcomeUnknown)
	is.Equal(service.calls.Load(), int64(0))
}
