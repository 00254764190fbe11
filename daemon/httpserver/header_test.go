package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sequoiasail.example/transport/forward"
)

// lines returns n header lines.
func lines(n int) string { return strings.Repeat("A: b\r\n", n) }

// newEchoServer returns a server with the given limits that answers each request with its body, a moment after it has read it.
func newEchoServer(t *testing.T, l Limits, headers *forward.Budget, configure ...func(*Server)) *Server {
	s := &Server{Name: "test", Address: "127.0.0.1:0", Limits: l, Headers: headers}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/slow" {
			time.Sleep(700 * time.Millisecond)
		}
		_, _ = w.Write(body)
	})
	for _, f := range configure {
		f(s)
	}
	run(t, s)
	return s
}

// statuses sends text in pieces of the given size and returns the statuses of all responses until the connection ends or the
// last one was for "/last".
func (c client) statuses(text string, piece int) (list []int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			break
		}
		if text = text[n:]; piece < 100 {
			time.Sleep(time.Millisecond)
		}
	}
	for {
		res, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return list
		}
		_, _ = io.Copy(io.Discard, res.Body)
		list = append(list, res.StatusCode)
	}
}

// Guards against header sections over the limit that net/http parses, wherever they begin: behind a body, behind a chunked body
// with a trailer, in one piece or in many. Sections at the limit are served, and so are requests behind empty lines.
func TestHeaderSectionsOverALimitAreRefused(t *testing.T) {
	// A request of get has 9 bytes of header lines besides those of rest, and a line of lines has 6.
	const most, limit = 165, 1000
	get := func(path, rest string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + rest + "\r\n" }
	last := get("/last", "Connection: close\r\n")
	over := get("/over", lines(most+1))
	length := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n" + strings.Repeat("\r\n", 15)
	chunked := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;ext=1\r\n\r\n\r\n\r\n1f\r\n" +
		strings.Repeat("G", 31) + "\r\n0\r\nT: 1\r\nT: 2\r\n\r\n"
	cases := map[string]struct {
		text string
		want []int
	}{
		"at the limit":             {get("/1", lines(most)) + get("/2", lines(most)) + last, []int{200, 200, 200}},
		"at the limit, line feeds": {"GET / HTTP/1.1\nHost: h\n" + strings.Repeat("a:\n", 330) + "\n" + last, []int{200, 200}},
		"lines":                    {over, []int{431}},
		"line feeds only":          {"GET / HTTP/1.1\nHost: h\n" + strings.Repeat("a:\n", 331), []int{431}},
		"folded lines":             {"GET / HTTP/1.1\r\nHost: h\r\nA: 1\r\n" + strings.Repeat(" b\r\n", 250), []int{431}},
		"bytes":                    {get("/", "A: "+strings.Repeat("b", 1000)+"\r\n"), []int{431}},
		"request line":             {"GET /" + strings.Repeat("b", 1000), []int{431}},
		"empty lines":              {strings.Repeat("\r\n", limit/2+1), []int{400}},
		"carriage returns":         {strings.Repeat("\r", limit+1), []int{400}},
		"served behind empty ones": {"\n" + get("/1", "") + strings.Repeat("\r\n", limit/2) + last, []int{200, 200}},
		"behind a request":         {get("/1", "") + over, []int{200, 431}},
		"behind a body":            {length + over, []int{200, 431}},
		"served behind a body":     {length + get("/1", lines(most)) + last, []int{200, 200, 200}},
		"behind chunks":            {chunked + over, []int{200, 431}},
		"served behind chunks":     {chunked + get("/1", lines(most)) + last, []int{200, 200, 200}},
		"two bodies of each kind":  {chunked + length + chunked + length + over, []int{200, 200, 200, 200, 431}},
		"empty lines after a POST": {length + "\r\n" + last, []int{200, 200}},
	}
	headers := forward.NewBudget(1 << 20)
	s := newEchoServer(t, Limits{HeaderBytes: limit}, headers)
	for name, c := range cases {
		for _, piece := range []int{1 << 20, 7} {
			if got := dial(t, s).statuses(c.text, piece); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%s in pieces of %d: %v, want %v", name, piece, got, c.want)
			}
		}
	}
	if !awaitBudget(headers, 1<<20) {
		t.Error("the header sections did not give back all of their budget")
	}
	if s.UnansweredRequests() > 0 {
		t.Error("refused requests count as unanswered")
	}
}

// awaitBudget reports whether n bytes of the budget become free.
func awaitBudget(b *forward.Budget, n int64) bool {
	for range 200 {
		if b.Take(n) {
			b.GiveBack(n)
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against unfinished header sections that together take the memory of all others, and against closing a connection with a
// request in progress to make room.
func TestUnfinishedHeaderSectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	s := newEchoServer(t, Limits{}, forward.NewBudget(100_000))
	busy := dial(t, s)
	answered := make(chan error, 1)
	go func() {
		_, err := busy.get("/slow")
		answered <- err
	}()
	var stalled []client
	for range 12 {
		c := dial(t, s)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+lines(20))
		is.NoErr(err)
		stalled = append(stalled, c)
	}
	time.Sleep(minHeaderAge + 50*time.Millisecond)
	c := dial(t, s)
	_, err := c.get("/ordinary")
	is.NoErr(err)
	res := dial(t, s)
	_, err = io.WriteString(res, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+lines(100)+"\r\n")
	is.NoErr(err)
	is.Equal(res.statuses("", 1), []int{200})
	is.NoErr(<-answered)
	is.True(s.Evictions() > 0)
	open := 0
	for _, c := range stalled {
		if c.isOpen() {
			open++
		}
	}
	is.True(open < len(stalled))
	is.Equal(s.UnansweredRequests(), uint64(0))
}

// Guards against limits of a new configuration that are not in force on open connections: the time for a header section, from its
// first byte, and the time between two requests.
func TestCurrentLimitsAreInForce(t *testing.T) {
	is := is.New(t)
	s := newServer(0)
	s.Limits = Limits{HeaderTime: time.Minute, IdleTime: time.Minute}
	s.Current = func() Limits { return Limits{HeaderTime: 100 * time.Millisecond, IdleTime: 400 * time.Millisecond} }
	run(t, s)
	ends := func(c client) time.Duration {
		began := time.Now()
		_, _ = io.Copy(io.Discard, c.reader)
		return time.Since(began)
	}
	fresh := dial(t, s)
	is.True(ends(fresh) > 300*time.Millisecond)
	for _, first := range []bool{true, false} {
		c := dial(t, s)
		if !first {
			_, err := c.get("/1")
			is.NoErr(err)
		}
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHo")
		is.NoErr(err)
		took := ends(c)
		is.True(took > 50*time.Millisecond && took < 2*time.Second)
	}
	kept := dial(t, s)
	_, err := kept.get("/1")
	is.NoErr(err)
	is.True(ends(kept) > 300*time.Millisecond)
}

// Guards against a connection that is closed at the end of an idle time that has been raised since: callers reuse connections by the
// limit in force.
func TestRaisedIdleTimeHoldsForOpenConnections(t *testing.T) {
	is := is.New(t)
	var idle atomic.Int64
	idle.Store(int64(300 * time.Millisecond))
	s := newServer(0)
	s.Limits = Limits{IdleTime: time.Minute}
	s.Current = func() Limits { return Limits{IdleTime: time.Duration(idle.Load())} }
	run(t, s)
	c := dial(t, s)
	_, err := c.get("/1")
	is.NoErr(err)
	idle.Store(int64(time.Minute))
	time.Sleep(600 * time.Millisecond)
	_, err = c.get("/2")
	is.NoErr(err)
	idle.Store(int64(300 * time.Millisecond))
	_, err = c.get("/3")
	is.NoErr(err)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF) // the time in force ends the wait
	is.NoErr(s.Shutdown(t.Context()))
}

// Guards against costly header sections that take the memory of ordinary ones: while the requests of others hold the whole budget,
// an ordinary request is served, a costly one is refused as not run, and an unfinished one is closed.
func TestOrdinaryHeaderSectionsAreServedWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	costly := "Host: h\r\nConnection: close\r\n" + lines(100) + "\r\n"
	budget := forward.NewBudget(100_000)
	s := newEchoServer(t, Limits{}, budget)
	unfinished := dial(t, s)
	_, err := io.WriteString(unfinished, "GET / HTTP/1.1\r\nHost: h\r\n"+lines(100))
	is.NoErr(err)
	for budget.Left() > 60_000 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(minHeaderAge + 50*time.Millisecond)
	for range 2 {
		_, err := io.WriteString(dial(t, s), "GET /slow HTTP/1.1\r\n"+costly)
		is.NoErr(err)
	}
	// The unfinished section makes room for the second request.
	for end := time.Now().Add(500 * time.Millisecond); (s.Evictions() == 0 || budget.Left() > 20_000) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	refused := dial(t, s)
	_, err = io.WriteString(refused, "GET / HTTP/1.1\r\n"+costly)
	is.NoErr(err)
	res, err := http.ReadResponse(refused.reader, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.True(res.Header.Get("Retry-After") != "")
	for range 4 {
		_, err := dial(t, s).get("/ordinary")
		is.NoErr(err)
	}
	is.True(!unfinished.isOpen())
	is.Equal(s.HeadersWithoutMemory(), uint64(1))
	is.Equal(s.UnansweredRequests(), uint64(0))
	is.True(awaitBudget(budget, 100_000))
}

// Guards against a request that is refused as if a retry would help although its header section can never get its memory.
func TestHeaderSectionLargerThanTheBudgetIsOverTheLimit(t *testing.T) {
	s := newEchoServer(t, Limits{}, forward.NewBudget(50_000))
	got := dial(t, s).statuses("GET / HTTP/1.1\r\nHost: h\r\n"+lines(200)+"\r\n", 1<<20)
	if fmt.Sprint(got) != "[431]" {
		t.Errorf("statuses %v, want 431", got)
	}
}

// Guards against trailers whose many lines are parsed and kept, against one without end, and against a malformed end behind which the
// next request is read as a part of this one, so that its header section takes memory that no budget knows.
func TestTrailersAreDropped(t *testing.T) {
	is := is.New(t)
	trailers := make(chan int, 10)
	s := newServer(0)
	s.Limits = Limits{HeaderBytes: 10_000}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		trailers <- len(r.Trailer)
	})
	run(t, s)
	const start = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;e=1\r\nb\r\n00\r\n"
	const next = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	for _, piece := range []int{1 << 20, 7} {
		for _, end := range []string{"\r\n", "T: 1\r\n\r\n", strings.Repeat("T: 1\r\n", 100) + "\r\n", "T: 1\nU: 2\r\n\r\n"} {
			is.Equal(dial(t, s).statuses(start+end+next, piece), []int{200, 200})
			is.Equal(<-trailers+<-trailers, 0)
		}
		// net/http would look for the end of the trailer in the next request.
		for _, end := range []string{"\n", "\rT: 1\r\n\r\n", "T: 1\r\n\n"} {
			is.Equal(dial(t, s).statuses(start+end+next, piece), []int{400})
			is.Equal(<-trailers, 0)
		}
	}
	got := dial(t, s).statuses(start+strings.Repeat("T: 1\r\n", 4000), 1<<20)
	is.Equal(got, []int{http.StatusBadRequest})
}

// Guards against empty lines that count as a request: their connection would neither make room for others nor end with a shutdown,
// and be reported as closed without an answer.
func TestConnectionWithEmptyLinesIsIdle(t *testing.T) {
	is := is.New(t)
	s := startServer(t, 0)
	fresh, used := dial(t, s), dial(t, s)
	_, err := used.get("/1")
	is.NoErr(err)
	for _, c := range []client{fresh, used} {
		_, err := io.WriteString(c, "\r\n\r\n")
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	is.NoErr(s.Shutdown(t.Context()))
	is.Equal(s.UnansweredRequests(), uint64(0))
}

// Guards against a connection that is closed at once because no limit of the time for a header section is set, when the next request
// has begun to arrive before the answer was complete.
func TestNoHeaderTimeIsNoLimit(t *testing.T) {
	is := is.New(t)
	s := newServer(50 * time.Millisecond)
	s.Limits = Limits{IdleTime: time.Minute}
	s.Current = func() Limits { return Limits{IdleTime: time.Minute} }
	run(t, s)
	c := dial(t, s)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nG")
	is.NoErr(err)
	res, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, "ET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = http.ReadResponse(c.reader, nil)
	is.NoErr(err)
}
