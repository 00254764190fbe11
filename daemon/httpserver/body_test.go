package httpserver

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// uploadRequest returns a request with a body of n bytes, whose length is announced if it is not chunked.
func uploadRequest(n int, chunked bool) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(bytes.Repeat([]byte("u"), n)))
	if chunked {
		r.ContentLength = -1
	}
	return r
}

// size returns the number of bytes of the body.
func (b *Body) size() (n int) {
	for _, s := range b.segments {
		n += len(s)
	}
	return n
}

// Guards against a VM that runs out of memory because many callers upload at the same time, and against memory that stays taken.
func TestBodiesOfAllCallersAreBounded(t *testing.T) {
	is := is.New(t)
	const size = 300 << 10
	budget := forward.NewBudget(1 << 20)
	for _, chunked := range []bool{false, true} {
		var held []*Body
		var fault *types.Fault
		for fault == nil {
			b := &Body{Budget: budget}
			held = append(held, b)
			fault = b.read(httptest.NewRecorder(), uploadRequest(size, chunked), 1<<20)
		}
		is.Equal(fault.Code, types.CodeOverloaded)
		is.True(len(held) > 1 && len(held) <= 4)
		is.Equal(held[0].size(), size)
		for _, b := range held {
			b.Release()
		}
		b := &Body{Budget: budget}
		is.True(b.read(httptest.NewRecorder(), uploadRequest(size, chunked), 1<<20) == nil)
		b.Release()
	}
	is.True(budget.Take(1 << 20)) // all of it is back
}

// Guards against incomplete or oversized bodies that are passed on.
func TestOnlyWholeBodiesAreRead(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 100_000} {
		for _, chunked := range []bool{false, true} {
			b := &Body{Budget: forward.NewBudget(1 << 20)}
			is.True(b.read(httptest.NewRecorder(), uploadRequest(n, chunked), 100_000) == nil)
			is.Equal(b.size(), n)
		}
	}
	b := &Body{Budget: forward.NewBudget(1 << 20)}
	is.Equal(b.read(httptest.NewRecorder(), uploadRequest(100_001, true), 100_000).Code, types.CodeBodyTooLarge)
	short := uploadRequest(10, false)
	short.Body = io.NopCloser(io.MultiReader(strings.NewReader("short"), failingReader{}))
	b = &Body{Budget: forward.NewBudget(1 << 20)}
	is.Equal(b.read(httptest.NewRecorder(), short, 100_000).Code, types.CodeTruncatedBody)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// readyReader returns a byte at each read, the given number of times, without waiting.
type readyReader struct{ left int }

func (r *readyReader) Read(p []byte) (int, error) {
	if r.left--; r.left < 0 {
		return 0, io.EOF
	}
	p[0] = 'b'
	return 1, nil
}

// Guards against bodies that never wait for their bytes and keep the processors from other requests.
func TestReadingABodyGivesWay(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const reads = 1000
	var turns atomic.Int64
	var done atomic.Bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for !done.Load() {
			turns.Add(1)
			runtime.Gosched()
		}
	}()
	r := uploadRequest(0, true)
	r.Body = io.NopCloser(&readyReader{left: reads})
	b := &Body{Budget: forward.NewBudget(1 << 20)}
	is.True(b.read(httptest.NewRecorder(), r, 1<<20) == nil)
	done.Store(true)
	<-ended
	is.True(turns.Load() > reads/2)
}

// Guards against a body that is announced as too large and read all the same: it takes memory and time before it is refused.
func TestBodyAnnouncedAsTooLargeIsNotRead(t *testing.T) {
	is := is.New(t)
	r := uploadRequest(100, false)
	r.Body = io.NopCloser(failingReader{})
	b := &Body{Budget: forward.NewBudget(1 << 20)}
	is.Equal(b.ReadWithin(time.Second, httptest.NewRecorder(), r, 99).Code, types.CodeBodyTooLarge)
	is.Equal(b.Budget.Left(), int64(1<<20))
}
