package httpserver

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

const (
	// maxEmptyLines is the number of empty lines that may precede a request line. RFC 9112 asks servers to ignore at least one.
	maxEmptyLines = 4
	// headerByteCost and headerLineCost estimate the memory of a header section while its request is handled, in bytes: each byte
	// is in the parsed header and in the copy that is forwarded, and each line has an entry of a map and a slice in both.
	headerByteCost = 2
	headerLineCost = 400
	// minHeaderAge is how long the header section of a connection must have been incomplete before the connection may be closed
	// to make room for others. Ordinary header sections arrive in one piece or shortly after their first byte. With 250 ms, 50
	// connections did not suffice to answer a new caller beside 800 others within 3 s.
	minHeaderAge = 100 * time.Millisecond
)

// evicted is the value of connection.headerSince once the connection has been closed to make room.
const evicted = -1

// Faults of requests that are refused before net/http parses them.
var (
	errHeaderTooLarge = types.NewFault(types.CodeBadRequest, "header section over the limit")
	errEmptyLines     = types.NewFault(types.CodeBadRequest, "more than %d empty lines before a request", maxEmptyLines)
	errEvicted        = types.NewFault(types.CodeOverloaded, "connection closed to make room for others")
)

// framing tells which part of a request the next byte of a connection belongs to.
type framing int

const (
	framingHeader framing = iota
	framingBody
	framingChunkSize
	framingChunk
	framingTrailer
)

// stream follows the bytes that a connection passes to net/http. It ends each piece at the end of a header section and at the end
// of a body, so that every header section is checked from its first byte before net/http parses it.
type stream struct {
	part framing
	// lines and size are those of the header section so far, without the request line. lineSize is the size of the current line
	// without its line break, emptyLines the number of empty lines before the request line.
	lines, size, lineSize, emptyLines int
	// started is true once the request line has begun, inLines once it has ended.
	started, inLines bool
	// left is the number of bytes of the body or the chunk that are still to come, including the line break after a chunk.
	left int64
	// chunkSize is the start of the line with the size of a chunk.
	chunkSize []byte
}

// maxChunkSizeBytes is more than a 64-bit number in hexadecimal digits has.
const maxChunkSizeBytes = 17

// next returns how many bytes of data may be passed to net/http before it has to be asked again. headerEnds is true if they end a
// header section. It fails if the header section is over a limit.
func (s *stream) next(data []byte, limits Limits) (n int, headerEnds bool, err error) {
	switch s.part {
	case framingBody:
		n = int(min(int64(len(data)), s.left))
		if s.left -= int64(n); s.left == 0 {
			s.part = framingHeader
		}
		return n, false, nil
	case framingHeader:
		return s.nextHeader(data, limits)
	}
	return s.nextChunked(data), false, nil
}

func (s *stream) nextHeader(data []byte, limits Limits) (n int, headerEnds bool, err error) {
	for n < len(data) {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			s.addToLine(data[n:])
			n = len(data)
			break
		}
		s.addToLine(data[n : n+end])
		n += end + 1
		if headerEnds = s.endLine(); headerEnds {
			break
		}
	}
	switch {
	case s.size+s.lineSize > limits.headerBytes() || s.lines > limits.headerLines():
		return 0, false, errHeaderTooLarge
	case s.emptyLines > maxEmptyLines:
		return 0, false, errEmptyLines
	}
	return n, headerEnds, nil
}

// addToLine adds a part of a line, without its line feed.
func (s *stream) addToLine(part []byte) {
	s.lineSize += len(part)
	if bytes.HasSuffix(part, []byte("\r")) {
		// A carriage return inside a line is counted as no byte.
		s.lineSize--
	}
	s.started = s.started || s.lineSize > 0
}

// endLine ends the current line. It reports whether the header section has ended with it.
func (s *stream) endLine() (headerEnds bool) {
	empty := s.lineSize == 0
	switch {
	case !s.started:
		s.emptyLines++
	case !s.inLines:
		s.inLines = true
	case empty:
		return true
	default:
		s.lines++
		s.size += s.lineSize + len("\r\n")
	}
	s.lineSize = 0
	return false
}

// beginHeader makes the next byte the first one of a header section.
func (s *stream) beginHeader() { *s = stream{chunkSize: s.chunkSize[:0]} }

// beginBody makes the next byte the first one of a body of the given length, -1 if it is sent in chunks.
func (s *stream) beginBody(length int64) {
	s.part, s.left = framingBody, length
	if length < 0 {
		s.part = framingChunkSize
	}
}

// nextChunked returns how many bytes of data belong to the chunked body. net/http reports a malformed one; whatever follows it
// counts as a header section.
func (s *stream) nextChunked(data []byte) (n int) {
	for n < len(data) && s.part != framingHeader {
		if s.part == framingChunk {
			m := min(int64(len(data)-n), s.left)
			n += int(m)
			if s.left -= m; s.left == 0 {
				s.part = framingChunkSize
			}
			continue
		}
		s.chunkLineByte(data[n])
		n++
	}
	return n
}

// chunkLineByte takes a byte of a line with the size of a chunk, or of a trailer.
func (s *stream) chunkLineByte(b byte) {
	switch {
	case b != '\n':
		if b != '\r' {
			s.lineSize++
		}
		if s.part == framingChunkSize && len(s.chunkSize) < maxChunkSizeBytes {
			s.chunkSize = append(s.chunkSize, b)
		}
	case s.part == framingTrailer:
		if s.lineSize == 0 {
			s.beginHeader()
			return
		}
		s.lineSize = 0
	default:
		s.endChunkSize()
	}
}

// endChunkSize evaluates the line with the size of a chunk. An empty line is the end of the chunk before.
func (s *stream) endChunkSize() {
	digits, _, _ := strings.Cut(strings.TrimRight(string(s.chunkSize), "\r"), ";")
	s.chunkSize, s.lineSize = s.chunkSize[:0], 0
	if digits == "" {
		return
	}
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 64)
	switch {
	case err != nil || size < 0 || size == math.MaxInt64:
		s.beginHeader()
	case size == 0:
		s.part = framingTrailer
	default:
		s.part, s.left = framingChunk, size
	}
}

// cost estimates the memory of the header section so far.
func (s *stream) cost() int64 {
	return int64((s.size+s.lineSize)*headerByteCost + s.lines*headerLineCost)
}

// pass returns how many of the bytes in data, which come next on the connection, may be passed to net/http now. It fails if the
// request is refused or the connection was closed to make room. ahead is true if the request before is still being handled.
func (c *connection) pass(data []byte, ahead bool) (int, error) {
	n, headerEnds, err := c.stream.next(data, c.server.limits())
	if err == nil && c.stream.part == framingHeader && !ahead {
		err = c.holdHeader(headerEnds)
	}
	if headerEnds {
		c.stream.beginHeader()
	}
	switch err {
	case nil:
		return n, nil
	case errHeaderTooLarge:
		c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	case errEmptyLines:
		c.refuse(http.StatusBadRequest)
	}
	// net/http answers nothing after an error of a read, and may read again.
	c.failed = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	return 0, c.failed
}

// refuse answers a request that net/http does not get to see, so it does not run.
func (c *connection) refuse(status int) {
	c.server.refused.Add(1)
	// An error means that the caller has gone.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
}

// holdHeader counts the header section against the budget of all, and notes whether it is still incomplete. It is not called while
// a request is being handled: its connection must not be closed to make room.
func (c *connection) holdHeader(complete bool) error {
	added := c.stream.cost() - c.headerHeld.Load()
	if added > 0 {
		for !c.server.Headers.Take(added) {
			if !c.server.connections.evictHeaders(c) {
				c.state.Store(refusingRequests)
				c.server.evictions.Add(1)
				return errEvicted
			}
		}
		c.headerHeld.Add(added)
		if c.closed.Load() {
			c.releaseHeader()
		}
	}
	since := c.headerSince.Load()
	switch {
	case since == evicted:
		return errEvicted
	case complete && since != 0:
		if !c.headerSince.CompareAndSwap(since, 0) {
			return errEvicted
		}
	case !complete && since == 0 && c.stream.started:
		c.beginHeaderTime()
	}
	return nil
}

// beginHeaderTime starts the time within which the header section must be complete.
func (c *connection) beginHeaderTime() {
	now := time.Now()
	c.headerSince.Store(now.UnixNano())
	if d := c.server.limits().HeaderTime; d > 0 && c.server.Current != nil {
		_ = c.Conn.SetReadDeadline(now.Add(d))
	}
}

// releaseHeader gives back what the header section of the last request took from the budget.
func (c *connection) releaseHeader() {
	c.server.Headers.GiveBack(c.headerHeld.Swap(0))
}

// evict closes the connection if its header section has been incomplete since the given time.
func (c *connection) evict(since int64) bool {
	if !c.headerSince.CompareAndSwap(since, evicted) {
		return false
	}
	c.server.evictions.Add(1)
	c.reset()
	return true
}

// reset closes the connection and discards what the caller has not received.
func (c *connection) reset() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// evictHeaders closes the quarter of the connections with incomplete header sections that have been incomplete for longest, except
// for one that asks for room. It reports whether it closed any.
func (s *connections) evictHeaders(except *connection) bool {
	type candidate struct {
		c     *connection
		since int64
	}
	var list []candidate
	oldEnough := time.Now().Add(-minHeaderAge).UnixNano()
	s.open.Range(func(k, _ any) bool {
		c := k.(*connection)
		if since := c.headerSince.Load(); since > 0 && since < oldEnough && c != except {
			list = append(list, candidate{c, since})
		}
		return true
	})
	slices.SortFunc(list, func(a, b candidate) int { return int(a.since - b.since) })
	closed := false
	for _, l := range list[:(len(list)+3)/4] {
		closed = l.c.evict(l.since) || closed
	}
	return closed
}

// headerBytes is the effective limit of a header section.
func (l Limits) headerBytes() int {
	if l.HeaderBytes == 0 {
		return http.DefaultMaxHeaderBytes
	}
	return l.HeaderBytes
}

// headerLines is the effective limit of the number of header lines.
func (l Limits) headerLines() int {
	if l.HeaderLines == 0 {
		return math.MaxInt
	}
	return l.HeaderLines
}
