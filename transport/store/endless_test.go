package store

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/types"
)

// Guards against a store, or whatever has its address, that makes a process run out of memory with responses that never end: the
// calls on all connections must fail within a bound of memory for all of them, and a write must not be reported as not applied.
func TestEndlessResponsesAreBounded(t *testing.T) {
	// maxAllocated is twice the budget, since all that the calls allocate is counted.
	const maxAllocated = 2 * responseBudgetBytes
	for name, head := range map[string]string{
		"header line":  "HTTP/1.1 200 OK\r\nX-Long: ",
		"huge body":    "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
		"chunked body": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
		"refused body": "HTTP/1.1 503 Down\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				repeated := bytes.Repeat([]byte("a"), 64<<10)
				_, err = io.WriteString(c, head)
				for err == nil {
					_, err = c.Write(repeated)
				}
			}))
			defer server.Close()
			h := NewHTTP(Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 10 * time.Second})
			defer h.Close()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			errs := make([]error, DefaultConnections)
			var wg sync.WaitGroup
			for i := range errs {
				wg.Go(func() { _, errs[i] = h.CAS(t.Context(), Write{Key: "k"}) })
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			t.Logf("allocated %d KiB: %v", (after.TotalAlloc-before.TotalAlloc)>>10, errs[0])
			for _, err := range errs {
				is.Equal(types.CodeOf(err), types.CodeAnswerLost)
			}
			is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
		})
	}
}
