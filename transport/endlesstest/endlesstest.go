// Package endlesstest helps tests of clients with servers whose responses never end.
package endlesstest

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
)

// repeatedBytes is the size of the writes that follow the head of a response, in bytes.
const repeatedBytes = 64 << 10

// NewServer returns a server that answers each request with head and then with the letter a, until the caller closes the
// connection.
func NewServer(head string) *httptest.Server {
	repeated := bytes.Repeat([]byte("a"), repeatedBytes)
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, head)
		for err == nil {
			_, err = c.Write(repeated)
		}
	}))
}

// Allocated runs f and returns how many bytes the process allocated meanwhile.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
