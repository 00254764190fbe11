package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// cannedResponse is the response of the benchmark's target to every request.
const cannedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSail-Incarnation: 7\r\nSail-Load: 1/4\r\n\r\n{}"

// BenchmarkDo measures the adapter with a target that uses almost no CPU.
func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go respondToAll(l)
	c := NewHTTP(Options{Address: l.Addr().String()})
	defer c.CloseConnection()
	r := Request{RequestID: "r1", Service: "s", Key: "k", Method: http.MethodGet, Path: "/v1/s/k"}
	r.Header = http.Header{"Accept": {"*/*"}, "User-Agent": {"crew"}, "Sail-Caller": {"crew"}}
	b.ReportAllocs()
	for b.Loop() {
		r.Deadline = time.Now().Add(time.Minute)
		if _, err := c.Do(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}

// respondToAll sends a response for each empty line, which ends a request without a body.
func respondToAll(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) == 2 {
			_, _ = io.WriteString(conn, cannedResponse)
		}
	}
}
