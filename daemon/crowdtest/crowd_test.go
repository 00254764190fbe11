package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The bounds of all tests, fixed before the code under test was changed. memoryMB is limits.memory_mb and the bound of the
// resident memory, maxFDs is limits.max_fds and the bound of the open descriptors. Both are lower than those of the smallest VM, so
// that few clients show the fault.
const (
	memoryMB = 96
	maxFDs   = 400
	// crowdTime is how long a crowd stays.
	crowdTime = 6 * time.Second
)

// behaviour is what a client of a crowd does on one connection. It opens the next one as soon as it returns.
type behaviour func(ctx context.Context, c net.Conn, client int)

// crowd is a number of clients that behave alike.
type crowd struct {
	clients int
	act     behaviour
}

// crowds lists the clients that keep to no limit, fixed together with the bounds.
var crowds = map[string]crowd{
	"short-header-lines":    {300, shortHeaderLines},
	"complete-header-lines": {100, completeHeaderLines},
	"folded-header-lines":   {200, foldedHeaderLines},
	"endless-header":        {100, endlessHeader},
	"long-header-line":      {300, longHeaderLine},
	"empty-lines":           {50, emptyLines},
	"unfinished-uploads":    {200, unfinishedUploads},
	"slow-readers":          {60, slowReader},
	"trailers":              {300, trailers},
	"costly-slow-readers":   {100, costlySlowReader},
	"empty-lines-by-byte":   {50, emptyLinesByByte},
	"unread-pipeline":       {100, unreadPipeline},
	"unsent-bodies":         {300, unsentBodies},
	"tiny-chunks":           {200, tinyChunks},
	"early-leavers":         {200, earlyLeaver},
	"distinct-values":       {100, distinctValues},
	"mixed":                 {300, mixed},
}

// legalHeaderBytes is below max_header_bytes.
const legalHeaderBytes = 16_000

// requestStart is the start of a request of a client.
func requestStart(method, path string, client int) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: c-%d\r\nX-Deadline-Ms: 2500\r\n", method, path, client)
}

// shortLines returns a header section of legal size made of as many lines as it holds, without its end.
func shortLines(client int) []byte {
	b := requestStart("GET", "/v1/small/1", client)
	for i := 0; len(b) < legalHeaderBytes; i++ {
		b = append(strconv.AppendInt(append(b, 'x'), int64(i), 36), ":\n"...)
	}
	return b
}

// awaitClose reads until the connection ends.
func awaitClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// shortHeaderLines sends very many short lines and never the end of the header section.
func shortHeaderLines(_ context.Context, c net.Conn, client int) {
	_, _ = c.Write(shortLines(client))
	awaitClose(c)
}

// completeHeaderLines sends requests of very many short lines one after the other.
func completeHeaderLines(ctx context.Context, c net.Conn, client int) {
	request := append(shortLines(client), '\n')
	for ctx.Err() == nil {
		if _, err := c.Write(request); err != nil {
			return
		}
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
	}
}

// foldedHeaderLines sends one header value that is continued over very many lines.
func foldedHeaderLines(_ context.Context, c net.Conn, client int) {
	b := append(requestStart("GET", "/v1/small/1", client), "X-Folded: 1\r\n"...)
	_, _ = c.Write(append(b, bytes.Repeat([]byte(" a\n"), 5000)...))
	awaitClose(c)
}

// endlessHeader sends header lines until the connection ends.
func endlessHeader(ctx context.Context, c net.Conn, client int) {
	_, _ = c.Write(requestStart("GET", "/v1/small/1", client))
	for i := 0; ctx.Err() == nil; i++ {
		if _, err := fmt.Fprintf(c, "X-Endless-%d: %01000d\r\n", i, i); err != nil {
			return
		}
	}
}

// longHeaderLine sends a header section over the limit, as one line without its end.
func longHeaderLine(_ context.Context, c net.Conn, client int) {
	b := append(requestStart("GET", "/v1/small/1", client), "X-Long: "...)
	_, _ = c.Write(append(b, bytes.Repeat([]byte("l"), 64<<10)...))
	awaitClose(c)
}

// emptyLines sends empty lines and no request.
func emptyLines(ctx context.Context, c net.Conn, _ int) {
	lines := bytes.Repeat([]byte("\r\n"), 1000)
	for ctx.Err() == nil {
		if _, err := c.Write(lines); err != nil {
			return
		}
	}
}

// unfinishedUploads sends all of a body but its last byte.
func unfinishedUploads(_ context.Context, c net.Conn, client int) {
	const size = 64 << 10
	b := append(post("/v1/small/1", client), fmt.Sprintf("Content-Length: %d\r\n\r\n", size)...)
	_, _ = c.Write(append(b, bytes.Repeat([]byte("u"), size-1)...))
	awaitClose(c)
}

// slowReader asks for large responses and reads a byte of them from time to time.
func slowReader(ctx context.Context, c net.Conn, client int) {
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	_, _ = c.Write(append(requestStart("GET", "/v1/large/1", client), "\r\n"...))
	readSlowly(ctx, c)
}

// readSlowly reads a byte from time to time until the connection ends.
func readSlowly(ctx context.Context, c net.Conn) {
	for ctx.Err() == nil {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// post returns the header section of a request with a body, without the lines that tell its length.
func post(path string, client int) []byte {
	b := requestStart("POST", path, client)
	return fmt.Appendf(b, "Idempotency-Key: c-%d\r\nRequest-Time: %s\r\n", client, time.Now().UTC().Format(time.RFC3339))
}

// trailers sends a small body with a trailer of very many lines, and reads the large response slowly.
func trailers(ctx context.Context, c net.Conn, client int) {
	b := append(post("/v1/large/1", client), "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"...)
	// net/http accepts a trailer of up to 4 KiB.
	for i := range 600 {
		b = append(strconv.AppendInt(append(b, 't'), int64(i), 36), ":\r\n"...)
	}
	_, _ = c.Write(append(b, "\r\n"...))
	readSlowly(ctx, c)
}

// costlySlowReader asks for a large response with a header section of very many short lines, and reads it slowly.
func costlySlowReader(ctx context.Context, c net.Conn, client int) {
	b := bytes.Replace(shortLines(client), []byte("/v1/small/1"), []byte("/v1/large/1"), 1)
	_, _ = c.Write(append(b, '\n'))
	readSlowly(ctx, c)
}

// emptyLinesByByte sends carriage returns and line feeds, each in a segment of its own, and no request.
func emptyLinesByByte(ctx context.Context, c net.Conn, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		text := "\r"
		if client%2 == 0 && i%2 == 1 {
			text = "\n"
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// unreadPipeline sends request after request and reads no response.
func unreadPipeline(ctx context.Context, c net.Conn, client int) {
	request := append(requestStart("GET", "/v1/large/1", client), "\r\n"...)
	for ctx.Err() == nil {
		if _, err := c.Write(request); err != nil {
			return
		}
	}
}

// unsentBodies waits for the permission to send a body, and then sends none.
func unsentBodies(_ context.Context, c net.Conn, client int) {
	_, _ = c.Write(append(post("/v1/small/1", client), "Expect: 100-continue\r\nContent-Length: 65536\r\n\r\n"...))
	awaitClose(c)
}

// tinyChunks sends a body without end in chunks of one byte, each with an extension.
func tinyChunks(ctx context.Context, c net.Conn, client int) {
	_, _ = c.Write(append(post("/v1/small/1", client), "Transfer-Encoding: chunked\r\n\r\n"...))
	chunks := bytes.Repeat([]byte("1;e=1\r\nc\r\n"), 100)
	for ctx.Err() == nil {
		if _, err := c.Write(chunks); err != nil {
			return
		}
	}
}

// earlyLeaver sends a whole request and closes the connection at once.
func earlyLeaver(_ context.Context, c net.Conn, client int) {
	_, _ = c.Write(append(shortLines(client), '\n'))
}

// distinctValues sends requests of which no two have the same path, host, key or identifier.
func distinctValues(ctx context.Context, c net.Conn, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-%d-%d", client, i, time.Now().UnixNano())
		_, err := fmt.Fprintf(c, "GET /v1/small/%s HTTP/1.1\r\nHost: %s.example\r\nX-Request-Id: %s\r\nX-Shard-Key: %d\r\nSail-Caller: %s\r\nX-%s: 1\r\n\r\n",
			id, id, id, i%65536, id, id)
		if err != nil {
			return
		}
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
	}
}

// distinctOrders sends requests that may run once only, of which no two have the same identifier.
func distinctOrders(ctx context.Context, c net.Conn, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		request := bytes.Replace(post("/v1/small/1", client), fmt.Appendf(nil, "Idempotency-Key: c-%d", client),
			fmt.Appendf(nil, "Idempotency-Key: c-%d-%d-%d", client, i, time.Now().UnixNano()), 1)
		if _, err := c.Write(append(request, "Content-Length: 1024\r\n\r\n"+strings.Repeat("b", 1024)...)); err != nil {
			return
		}
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
	}
}

// mixed behaves like another crowd, depending on the client.
func mixed(ctx context.Context, c net.Conn, client int) {
	all := []behaviour{
		shortHeaderLines, completeHeaderLines, foldedHeaderLines, endlessHeader, longHeaderLine, emptyLines, unfinishedUploads,
		slowReader, trailers, costlySlowReader, unreadPipeline, unsentBodies, tinyChunks, earlyLeaver, distinctValues,
	}
	all[client%len(all)](ctx, c, client)
}

// run runs the clients until the context ends, and waits for them.
func (p *process) run(ctx context.Context, clients int, act behaviour) {
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for ctx.Err() == nil {
				if c, ok := p.dial(ctx); ok {
					act(ctx, c, i)
					_ = c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	all.Wait()
}

// Guards against clients that keep to no limit and make a VM exceed its memory or end: a parsed header line costs many times its
// bytes, and a response that its client does not read stays in memory.
func TestCrowdsStayWithinTheMemory(t *testing.T) {
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) { staysWithinTheMemory(t, edge, c) })
	}
}

// staysWithinTheMemory checks the memory of a process while a crowd is there, and that it answers afterwards.
func staysWithinTheMemory(t *testing.T, begin start, c crowd) {
	p := begin(t, memoryMB, 0)
	ctx, cancel := context.WithTimeout(t.Context(), crowdTime)
	defer cancel()
	p.run(ctx, c.clients, c.act)
	p.checkAlive()
	p.checkMemory(memoryMB)
	p.await("an ordinary answer", answerLimit, p.answersOne)
}

// checkMemory checks the largest resident memory of the process so far.
func (p *process) checkMemory(limitMB float64) {
	p.t.Helper()
	peak := p.peakMemoryMB()
	p.t.Logf("peak of the resident memory: %.1f MB of %.0f", peak, limitMB)
	if peak > limitMB {
		p.t.Errorf("the process used %.1f MB of %.0f", peak, limitMB)
	}
}

// idleCrowds are clients that hold connections open.
var idleCrowds = map[string]behaviour{
	"silent": func(_ context.Context, c net.Conn, _ int) { awaitClose(c) },
	"half-header": func(_ context.Context, c net.Conn, i int) {
		_, _ = c.Write(requestStart("GET", "/v1/small/1", i))
		awaitClose(c)
	},
	"after-a-request": func(_ context.Context, c net.Conn, i int) {
		_, _ = c.Write(append(requestStart("GET", "/v1/small/1", i), "\r\n"...))
		awaitClose(c)
	},
}

// Guards against clients that hold connections open until the process has no descriptor left: it then accepts no connection and
// opens none, although it says that it is ready.
func TestIdleConnectionsStayWithinTheDescriptors(t *testing.T) {
	for name, act := range idleCrowds {
		t.Run(name, func(t *testing.T) { staysWithinTheDescriptors(t, edge, act) })
	}
}

// staysWithinTheDescriptors checks the open descriptors of a process while twice as many clients are there, and that it answers.
func staysWithinTheDescriptors(t *testing.T, begin start, act behaviour) {
	p := begin(t, 0, maxFDs)
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan struct{})
	go func() {
		defer close(left)
		p.run(ctx, 2*maxFDs, act)
	}()
	p.checkDescriptors(crowdTime)
	p.await("an ordinary answer while the crowd is there", answerLimit, p.answersOne)
	cancel()
	<-left
	p.await("an ordinary answer", answerLimit, p.answersOne)
}

// checkDescriptors checks the number of open descriptors for the given time.
func (p *process) checkDescriptors(d time.Duration) {
	p.t.Helper()
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		most = max(most, p.descriptors())
	}
	p.checkAlive()
	p.t.Logf("most open descriptors: %d of %d", most, maxFDs)
	if most > maxFDs {
		p.t.Errorf("the process had %d descriptors open, %d allowed", most, maxFDs)
	}
}

// Guards against a request or a response of the largest size that a VM of the smallest size refuses, or that makes it exceed its
// memory, although it has nothing else to do.
func TestLargestBodiesFitIntoTheSmallestVM(t *testing.T) {
	const smallestVM = 144
	p := edge(t, smallestVM, 0)
	for i := range 3 {
		status, _ := p.send(http.MethodPost, "/v1/small/1", hugeBytes, fmt.Sprintf("huge-request-%d", i))
		if status != http.StatusOK {
			t.Errorf("a request of %d bytes: status %d", hugeBytes, status)
		}
		status, n := p.send(http.MethodGet, "/v1/huge/1", 0, fmt.Sprintf("huge-response-%d", i))
		if status != http.StatusOK || n != hugeBytes {
			t.Errorf("a response of %d bytes: status %d, %d bytes", hugeBytes, status, n)
		}
	}
	p.checkAlive()
	p.checkMemory(smallestVM)
}

// send sends a request with a body of the given size, and returns the status and the size of the response.
func (p *process) send(method, path string, size int, id string) (status int, n int64) {
	r, err := http.NewRequest(method, "http://"+p.address+path, bytes.NewReader(make([]byte, size)))
	check(p.t, err)
	r.Host = "a.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "20000")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0
	}
	defer res.Body.Close()
	n, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, n
}
