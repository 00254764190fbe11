package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/platform"
	"sequoiasail.example/platform/standin"
)

// Guards against an upload that its caller never ends: it holds memory and a connection after the caller has stopped to wait.
func TestStalledUploadEndsWithItsDeadline(t *testing.T) {
	is := is.New(t)
	cl, orders := newServingCluster(t, 0)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	c := dialCaller(t, v)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(c, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p\r\nX-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nb")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusBadRequest)
	is.Equal(orders.count(), 0)
	is.Equal(v.edge.bodies.Left(), bodyMemory(0))
}

// Guards against a route of a kind that is not known: it makes the configuration unusable, or its requests run twice.
func TestUnknownRouteKindIsNotIdempotent(t *testing.T) {
	is := is.New(t)
	text := standin.Configuration(3, []standin.Route{route("/maps/", true, "maps")}, []standin.Service{{Name: "maps"}})
	for _, kind := range []string{"upload", "non_idempotent", "later-kind"} {
		c, err := platform.DecodeConfiguration(bytes.Replace(text, []byte(`"idempotent"`), fmt.Appendf(nil, "%q", kind), 1))
		is.NoErr(err)
		is.Equal(len(c.Routes), 1)
		is.True(!c.Routes[0].Idempotent)
		is.Equal(c.Routes[0].UnknownKind != "", kind == "later-kind")
	}
}

// Guards against answers to pipelined requests that are missing, crossed or out of order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	cl, _ := newServingCluster(t, 10*time.Millisecond)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	c := dialCaller(t, v)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	var all strings.Builder
	const requests = 12
	for i := range requests {
		path := "/maps/1"
		if i == 5 {
			path = "/none/1"
		}
		fmt.Fprintf(&all, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p%d\r\nX-Deadline-Ms: 1400\r\nX-Shard-Key: 1\r\n\r\n", path, i)
	}
	_, err := io.WriteString(c, all.String())
	is.NoErr(err)
	in := bufio.NewReader(c)
	for i := range requests {
		res, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		is.Equal(res.Header.Get("X-Request-Id"), fmt.Sprintf("p%d", i))
		want := http.StatusOK
		if i == 5 {
			want = http.StatusNotFound
		}
		is.Equal(res.StatusCode, want)
	}
}

// Guards against pipelined requests that are passed on behind an answer that closes their connection: their callers take them as
// not read and send them again.
func TestNothingIsPassedOnBehindAClosingAnswer(t *testing.T) {
	is := is.New(t)
	cl, orders := newServingCluster(t, 50*time.Millisecond)
	v := cl.start("vm-1")
	eventually(t, "readiness", 8*time.Second, v.isReady)
	c := dialCaller(t, v)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	v.stop()
	eventually(t, "stop", time.Second, v.edge.frontend.closing.Load)
	var all strings.Builder
	for i := range 6 {
		fmt.Fprintf(&all, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: p%d\r\nX-Deadline-Ms: 1000\r\nContent-Length: 1\r\n\r\nb", i)
	}
	_, err := io.WriteString(c, all.String())
	is.NoErr(err)
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(res.Close)
	_, err = http.ReadResponse(in, nil)
	is.True(err != nil)
	<-v.done
	v.done <- nil // for the cleanup of the cluster
	is.Equal(orders.count(), 1)
}
