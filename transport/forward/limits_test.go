package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// endlessResponses are responses that never end: what comes once, and what is repeated until the client closes.
var endlessResponses = map[string][2]string{
	"status line":      {"HTTP/1.1 200 ", strings.Repeat("a", 4096)},
	"header line":      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", strings.Repeat("a", 4096)},
	"header lines":     {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", strings.Repeat("X-Line: a\r\n", 400)},
	"informational":    {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 200)},
	"other responses":  {"", strings.Repeat(refusal("7"), 100)},
	"foreign body":     {"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 9000000000000000000\r\n\r\n", strings.Repeat("a", 1<<16)},
	"chunk extension":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 4096)},
	"chunk extensions": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("a", 1000) + "\r\nb\r\n"},
	"chunk size":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	"trailers":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n0\r\n", strings.Repeat("X-T: a\r\n", 400)},
	"chunked body":     {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("a", 1<<16) + "\r\n"},
	"body to the end":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", strings.Repeat("a", 1<<16)},
	"declared body":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9000000000000000000\r\n\r\n", strings.Repeat("a", 1<<16)},
	"refused body":     {"HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Not-Executed: 1\r\n\r\n", strings.Repeat("a", 1<<16)},
	"garbage":          {"", strings.Repeat("a", 4096)},
	"garbage lines":    {"", strings.Repeat("\r\n", 2048)},
}

// serveEndless writes a response that never ends to every request.
func serveEndless(t *testing.T, endless [2]string, o Options) *Host {
	t.Helper()
	repeated := []byte(endless[1])
	h := serveConnections(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, err = io.WriteString(c, endless[0])
		for err == nil {
			_, err = c.Write(repeated)
		}
	})
	o.Address, o.IDHeader, o.MaxIdle = h.options.Address, "X-Id", 1
	return NewHost(o)
}

// peakHeap runs f and returns by how many bytes the heap in use exceeded that before at most.
func peakHeap(f func()) uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-done:
			return peak - before
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Guards against a target that makes the VM run out of memory with a response that never ends: 64 exchanges at once, as many
// as a VM has senders, must fail as written, in time, within a bound of memory for all of them.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const (
		exchanges = 64
		deadline  = 3 * time.Second
		budget    = 16 << 20
		// maxHeapGrowth is the budget and, for each exchange, its head and the chunk that takes nothing from the budget. The
		// factor allows for garbage that is not collected yet.
		maxHeapGrowth = 2 * (budget + exchanges*(chunkBytes+4*maxHeadBytes))
	)
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := serveEndless(t, endless, Options{Budget: NewBudget(budget), DialTimeout: deadline})
			defer h.Close()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			errs := make([]error, exchanges)
			began := time.Now()
			peak := peakHeap(func() {
				var wg sync.WaitGroup
				for i := range errs {
					wg.Go(func() {
						_, errs[i] = h.Do(ctx, Request{Method: "POST", URI: "/x", Host: "h", Header: http.Header{"X-Id": {"1"}}, Body: []byte("b"), ID: "1"})
					})
				}
				wg.Wait()
			})
			took := time.Since(began)
			for _, err := range errs {
				is.True(err != nil)
				is.True(AsError(err).Written)
			}
			t.Logf("heap grew by %d KiB at most in %v: %v", peak>>10, took.Round(time.Millisecond), errs[0])
			is.True(peak < maxHeapGrowth)
			is.True(took < deadline+time.Second)
		})
	}
}

// Guards against a body that is changed, cut or refused at the sizes where its buffer grows, and against one that is refused
// because others have used up the budget although it needs none of it.
func TestBodiesOfAllSizes(t *testing.T) {
	is := is.New(t)
	const limit = 4 * chunkBytes
	usedUp := NewBudget(chunkBytes - 1)
	for _, size := range []int{0, 1, unknownBodyBytes - 1, unknownBodyBytes, unknownBodyBytes + 1, chunkBytes - 1, chunkBytes, 2*chunkBytes + 7, limit - 1, limit, limit + 1} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i*7 + i>>8)
		}
		for _, length := range []int64{int64(size), -1} {
			b := bodyReader{limit: limit, budget: NewBudget(limit + 2*chunkBytes)}
			got, err := b.read(iotest.HalfReader(bytes.NewReader(data)), length)
			is.Equal(errors.Is(err, errResponseTooLong), size > limit)
			is.Equal(b.budget.left.Load(), int64(limit+2*chunkBytes))
			is.True(err != nil || bytes.Equal(got, data))
			b = bodyReader{limit: limit, budget: usedUp}
			_, err = b.read(bytes.NewReader(data), length)
			is.Equal(err == nil, size < chunkBytes)
		}
	}
	b := bodyReader{limit: 10}
	_, err := b.read(strings.NewReader("12345678901"), -1)
	is.True(errors.Is(err, errResponseTooLong)) // a limit below the first buffer
	b = bodyReader{limit: limit}
	_, err = b.read(io.MultiReader(strings.NewReader("a"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1)
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // a truncated body is not whole
}
