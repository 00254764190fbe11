package edge

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/duty"
	"sequoiasail.example/platform"
	"sequoiasail.example/ring"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/store"
	"sequoiasail.example/types"
)

// Guards against copies that a VM transfers again and again, because it queued queries to several neighbours before the first answer.
// On sdv-gateway-grown 40 of 55 queries for a configuration of 1,703 routes began after the VM had it and took the neighbours' time.
func TestQueryIsNotRepeatedAfterNewerAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		first MirrorAnswer
		err   error
		known types.Revision
		shown types.Revision
		asked []string
	}{
		"newer":          {first: MirrorAnswer{Newer: true, Revision: 9}, known: 5, shown: 9, asked: []string{"a"}},
		"later digest":   {first: MirrorAnswer{Newer: true, Revision: 9}, known: 5, shown: 10, asked: []string{"a", "b"}},
		"nothing newer":  {known: 5, asked: []string{"a", "b"}},
		"failed":         {err: types.NewFault(types.CodePeerUnavailable, "no answer"), known: 5, asked: []string{"a", "b"}},
		"all entries":    {first: MirrorAnswer{Newer: true, Revision: 9}, known: 0, asked: []string{"a", "b"}},
		"later question": {first: MirrorAnswer{Newer: true, Revision: 9}, known: 9, asked: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var asked []string
			query := func(_ context.Context, address string, _ MirrorQuestion) (MirrorAnswer, error) {
				asked = append(asked, address)
				return c.first, c.err
			}
			client := newMirrorClient(nil, ring.New[any](4), query, telemetry.NewLog(io.Discard, nil))
			for _, address := range []string{"a", "b"} {
				request := mirrorRequest{question: MirrorQuestion{Prefix: platform.OperatorPrefix, Known: c.known}, address: address, shown: c.shown}
				is.NoErr(client.handle(t.Context(), request))
			}
			is.Equal(asked, c.asked)
		})
	}
}

// slowConn sends slowChunk bytes in slowPause.
type slowConn struct{ net.Conn }

const (
	slowChunk = 128 << 10
	slowPause = mirrorCallTimeout / 4
)

func (c slowConn) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		chunk := b[n:min(len(b), n+slowChunk)]
		duty.Pause(context.Background(), slowPause*time.Duration(len(chunk))/slowChunk)
		var m int
		m, err = c.Conn.Write(chunk)
		n += m
	}
	return n, err
}

// Guards against a configuration that does not arrive because its transfer is cut off and begins again: 20 VMs ask for 1,703 routes at
// once, and the transfers took 0.36 to 0.44 s.
func TestSlowMirrorAnswerIsReceived(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	in := ring.New[any](1)
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Mirror", &Mirror{storeCache: in}))
	go func() {
		if conn, err := l.Accept(); err == nil {
			server.ServeConn(slowConn{conn})
		}
	}()
	sc, _ := newTestCache(types.Instant(time.Hour))
	big := store.Entry{Key: platform.OperatorPrefix + "config", Revision: 9, Value: make([]byte, 6*slowChunk)}
	sc.prefixCache[platform.OperatorPrefix].apply(update{snapshot: true, revision: 9, entries: []store.Entry{big}})
	sc.prefixCache[platform.OperatorPrefix].confirm(types.Instant(time.Hour))
	go func() {
		q, _ := in.Get(t.Context())
		sc.answerMirrorQuery(types.Instant(time.Hour), q.(mirrorQuery))
	}()
	began := time.Now()
	a, err := queryMirror(t.Context(), l.Addr().String(), MirrorQuestion{Prefix: platform.OperatorPrefix, Known: 5})
	is.NoErr(err)
	is.Equal(len(a.Entries), 1)
	is.Equal(len(a.Entries[0].Value), 6*slowChunk)
	t.Logf("took %v", time.Since(began))
}
