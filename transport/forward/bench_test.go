package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkExchange measures one exchange on a kept loopback connection with a response of 600 bytes.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		answer := response("1", string(make([]byte, 600)))
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, answer)
		}
	}()
	h := NewHost(Options{Address: l.Addr().String(), IDHeader: "X-Id", MaxIdle: 1})
	b.Cleanup(func() {
		h.Close()
		l.Close()
		<-done
	})
	r := Request{Method: "GET", URI: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}}, ID: "1"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.Do(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}
