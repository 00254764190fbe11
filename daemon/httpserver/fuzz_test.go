package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// readStream passes data to a stream in pieces of at most size bytes. It returns what net/http would get.
func readStream(data []byte, size, limit int) (passed []byte, err error) {
	var s stream
	for len(data) > 0 {
		p, err := s.next(data[:min(size, len(data))], limit)
		if err != nil {
			return nil, err
		}
		passed = append(passed, data[p.skip:p.skip+p.n]...)
		data = data[p.skip+p.n:]
		if p.headerEnds {
			s.beginHeader()
		}
	}
	return passed, nil
}

// Guards against a header section that is judged by how it arrives: in one piece or byte by byte, it passes or fails alike.
func FuzzHeaderSectionsInPieces(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\nA:b\n\n\r\nGET", "G\r\rE\n\r\r\n\r\n", "\r\r\r\r", "GET / HTTP/1.1\r\nA: 0123456789\r\n\r",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, wholeErr := readStream(data, len(data), 24)
		byByte, byteErr := readStream(data, 1, 24)
		if wholeErr != byteErr || !bytes.Equal(whole, byByte) {
			t.Errorf("whole: %q, %v; byte by byte: %q, %v", whole, wholeErr, byByte, byteErr)
		}
	})
}

// Guards against a body whose end the connection and net/http see at different bytes: what follows would be taken for a request by one
// of them only, or be parsed without having been checked.
func FuzzChunkedBodies(f *testing.F) {
	for _, seed := range []string{
		"1\r\nb\r\n0\r\n\r\nGET", "4;e=1\r\nbody\r\n0;x\r\nT: 1\r\nT: 2\r\n\r\nGET", "00\r\n\nGET", "0\r\n\rT\r\n\r\nGET", "5 \r\nab", "1\nb\n0\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 {
			return
		}
		var s stream
		s.beginBody(-1)
		var passed []byte
		for rest := data; len(rest) > 0 && s.part != framingHeader; {
			p, err := s.next(rest[:min(size, len(rest))], 1000)
			if err != nil {
				return // the request is refused
			}
			passed = append(passed, rest[p.skip:p.skip+p.n]...)
			rest = rest[p.skip+p.n:]
		}
		in := bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.NewReader(passed)))
		r, err := http.ReadRequest(in)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the connection is closed
		}
		if s.part != framingHeader {
			t.Errorf("%q is a whole body for net/http, and none for the connection", passed)
		}
		if n := in.Buffered(); n > 0 {
			t.Errorf("net/http leaves %d bytes of %q", n, passed)
		}
	})
}
