package httpserver

import (
	"bytes"
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
