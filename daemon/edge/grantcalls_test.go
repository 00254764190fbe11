package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/keyspace"
	"sequoiasail.example/platform"
	"sequoiasail.example/telemetry"
)

// Fails if a first grant is sent later than its SendBefore, because it was queued behind other calls: the target may be a
// restarted one that has had the keys with a higher fencing token.
func TestLateFirstGrantIsNotSent(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	}))
	defer target.Close()
	g := &grantCaller{settings: keyspace.Defaults(10 * time.Second), log: telemetry.NewLog(io.Discard, nil)}
	now := telemetry.Now()
	b := callBatch{host: platform.NewOrderHost(strings.TrimPrefix(target.URL, "http://")), roleEnd: now.Add(time.Minute)}
	defer b.host.Close()
	call := keyspace.Call{Kind: keyspace.CallGrant, To: 9, Fence: 1, TTL: time.Second, SendBefore: now}
	is.Equal(g.call(context.Background(), b, call).completed.Result, keyspace.CallNotSent)
	is.Equal(requests.Load(), int64(0))
	call.SendBefore = now.Add(time.Minute)
	is.Equal(g.call(context.Background(), b, call).completed.Result, keyspace.CallDone)
	is.Equal(requests.Load(), int64(1))
}
