package store

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/endlesstest"
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
			server := endlesstest.NewServer(head)
			defer server.Close()
			h := NewHTTP(Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 10 * time.Second})
			defer h.Close()
			errs := make([]error, DefaultConnections)
			allocated := endlesstest.Allocated(func() {
				var wg sync.WaitGroup
				for i := range errs {
					wg.Go(func() { _, errs[i] = h.CAS(t.Context(), Write{Key: "k"}) })
				}
				wg.Wait()
			})
			t.Logf("allocated %d KiB: %v", allocated>>10, errs[0])
			for _, err := range errs {
				is.Equal(types.CodeOf(err), types.CodeAnswerLost)
			}
			is.True(allocated < maxAllocated)
		})
	}
}
