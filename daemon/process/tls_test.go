package process

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/settings"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/identity"
	"sequoiasail.example/transport/identity/identitytest"
	"sequoiasail.example/transport/peer"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// startIdentity starts an identity for the VM with a certificate of the authority.
func startIdentity(t *testing.T, a *identitytest.Authority, vm string) *identity.Source {
	t.Helper()
	id := identity.New(identity.Options{
		Settings: a.Issue(t, t.TempDir(), vm, identitytest.ProcessUsages, time.Now().Add(time.Hour)),
	})
	g := duty.NewGroup()
	g.Add(id.Duty())
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Stop(context.Background()) })
	return id
}

// Guards against a process that, when it starts while the store is unavailable, cannot fetch entries from a peer over TLS,
// or fetches them although the two have certificates of different authorities or it has none.
func TestFetchFromPeersUsesTLS(t *testing.T) {
	is := is.New(t)
	a := identitytest.NewAuthority(t)
	mirror := NewMirror()
	mirror.apply(Update{Snapshot: true, Events: []store.Event{configEvent(3, 7)}, Revision: 7})
	server := peer.NewServer("127.0.0.1:0")
	server.WrapListener(startIdentity(t, a, "vm-1").PeerListener)
	is.NoErr(server.Register("Peer", &PeerService{Mirror: mirror}))
	group := duty.NewGroup()
	group.Add(server.Duty())
	is.NoErr(group.Start(t.Context()))
	defer func() { _ = group.Stop(context.Background()) }()
	peers := []settings.Address{settings.Address(server.Address())}
	u, ok := fetchFromPeers(t.Context(), startIdentity(t, a, "vm-2"), peers)
	is.True(ok)
	is.Equal(len(u.Events), 1)
	_, ok = fetchFromPeers(t.Context(), startIdentity(t, identitytest.NewAuthority(t), "vm-2"), peers)
	is.True(!ok)
	_, ok = fetchFromPeers(t.Context(), nil, peers)
	is.True(!ok)
}

// Guards against a process that does not log whether its connections use TLS.
func TestTLSIsLogged(t *testing.T) {
	files := identitytest.NewAuthority(t).Issue(t, t.TempDir(), "vm-1", identitytest.ProcessUsages, time.Now().Add(time.Hour))
	cases := map[string]struct {
		tls   *identity.Settings
		lines []string
	}{
		"off": {nil, []string{"tls is off: links and operators' pages are plain"}},
		"on":  {&files, []string{"tls is on: links and operators' pages require certificates", "certificate loaded"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			b := &Base{Log: telemetry.NewLog(&out, log.Fields{}), Metrics: telemetry.NewMetrics(), Group: duty.NewGroup()}
			b.Group.Add(b.Log.Duty())
			b.addIdentity(Settings{VM: "vm-1", TLS: c.tls})
			is.NoErr(b.Group.Start(t.Context()))
			is.NoErr(b.Group.Stop(t.Context()))
			is.Equal(strings.Count(out.String(), "\n"), len(c.lines))
			for _, line := range c.lines {
				is.True(strings.Contains(out.String(), line))
			}
		})
	}
}

// Guards against log lines that are dropped because a client keeps failing handshakes and fills the log ring.
func TestFailedHandshakesAreCountedAndLoggedOnce(t *testing.T) {
	is := is.New(t)
	l := discardLog()
	o := &tlsObserver{log: l, metrics: telemetry.NewMetrics()}
	failure := identity.HandshakeFailure{
		Side: identity.SideAccept, Remote: "127.0.0.1:1", Err: types.NewFault(types.CodePeerUnavailable, "refused"),
	}
	for range 3 {
		o.HandshakeFailed(failure)
	}
	is.Equal(l.Depth(), 1)
	is.Equal(o.metrics.Counter(`sail_tls_handshakes_failed_total{side="accept"}`).Get(), uint64(3))
}

// Guards against handshakes that stop half-way and take the connections of a process, so that its peers find none.
func TestUnfinishedHandshakesMakeRoomForPeers(t *testing.T) {
	is := is.New(t)
	const most = 4
	a := identitytest.NewAuthority(t)
	server := peer.NewServer("127.0.0.1:0")
	server.MaxConnections = most
	server.WrapListener(startIdentity(t, a, "vm-1").PeerListener)
	mirror := NewMirror()
	mirror.apply(Update{Snapshot: true, Events: []store.Event{configEvent(3, 7)}, Revision: 7})
	is.NoErr(server.Register("Peer", &PeerService{Mirror: mirror}))
	group := duty.NewGroup()
	group.Add(server.Duty())
	is.NoErr(group.Start(t.Context()))
	defer func() { _ = group.Abort(context.Background()) }()
	for range 3 * most {
		c, err := net.Dial("tcp", server.Address())
		is.NoErr(err)
		defer c.Close()
		// The start of a ClientHello of 512 bytes.
		_, err = c.Write([]byte{22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3})
		is.NoErr(err)
	}
	time.Sleep(200 * time.Millisecond)
	is.True(server.Connections() <= most)
	_, ok := fetchFromPeers(t.Context(), startIdentity(t, a, "vm-2"), []settings.Address{settings.Address(server.Address())})
	is.True(ok)
}
