package httpserver

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"sequoiasail.example/types"
)

// Faults of requests that are refused while they are read.
var (
	errHeaderTooLarge = types.NewFault(types.CodeBadRequest, "header section over the limit")
	errEmptyLines     = types.NewFault(types.CodeBadRequest, "empty lines over the limit before a request")
	errTrailer        = types.NewFault(types.CodeBadRequest, "trailer malformed or over the limit")
	errBodyEnded      = types.NewFault(types.CodeBadRequest, "malformed body: bytes of the next request are read as its end")
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
	// requestLine and size are the bytes of the request line and of the ended header or trailer lines so far, with their line
	// breaks. lines is the number of these lines, emptyBytes the size of the empty lines before the request line.
	requestLine, size, lines, emptyBytes int
	// lineSize is the size of the current line so far, lineStart its first byte.
	lineSize  int
	lineStart byte
	// started is true once the request line has begun, inLines once it has ended.
	started, inLines bool
	// left is the number of bytes of the body or the chunk that are still to come, including the line break after a chunk.
	left int64
	// chunkSize is the start of the line with the size of a chunk.
	chunkSize []byte
}

// maxChunkSizeBytes is more than a 64-bit number in hexadecimal digits has.
const maxChunkSizeBytes = 17

// piece tells what becomes of the next bytes of a connection: the first skip bytes are dropped, and the n bytes after them are
// passed to net/http before it has to be asked again. headerEnds is true if they end a header section.
type piece struct {
	skip, n    int
	headerEnds bool
}

// next returns what becomes of the bytes in data. It fails if the header section, the empty lines before it or the trailer are over
// the limit in bytes.
func (s *stream) next(data []byte, limit int) (p piece, err error) {
	switch s.part {
	case framingBody:
		p.n = int(min(int64(len(data)), s.left))
		if s.left -= int64(p.n); s.left == 0 {
			s.part = framingHeader
		}
		return p, nil
	case framingHeader:
		return s.nextHeader(data, limit)
	case framingTrailer:
		return s.nextTrailer(data, limit)
	}
	return piece{n: s.nextChunked(data)}, nil
}

// trimEmptyLines returns data without the line breaks that precede a request line.
func (s *stream) trimEmptyLines(data []byte) []byte {
	if s.part != framingHeader || s.started {
		return data
	}
	trimmed := bytes.TrimLeft(data, "\r\n")
	s.emptyBytes += len(data) - len(trimmed)
	return trimmed
}

// nextHeader drops the empty lines before a request, which RFC 9112, section 2.2, asks servers to ignore: net/http ignores them only
// behind a POST.
func (s *stream) nextHeader(data []byte, limit int) (p piece, err error) {
	section := s.trimEmptyLines(data)
	p.skip = len(data) - len(section)
	for p.n < len(section) && !p.headerEnds {
		end := bytes.IndexByte(section[p.n:], '\n')
		if end < 0 {
			s.addToLine(section[p.n:])
			p.n = len(section)
			break
		}
		s.addToLine(section[p.n : p.n+end+1])
		p.n += end + 1
		p.headerEnds = s.endLine()
	}
	switch {
	case s.emptyBytes > limit:
		return piece{}, errEmptyLines
	case s.requestLine > limit || s.size+s.pending() > limit:
		return piece{}, errHeaderTooLarge
	}
	return p, nil
}

// addToLine adds a part of a line, with its line feed if it is the last one.
func (s *stream) addToLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.lineSize == 0 {
		s.lineStart = part[0]
	}
	s.lineSize += len(part)
	s.started = true
}

// isEmptyLine reports whether the current line, with its line feed, is empty.
func (s *stream) isEmptyLine() bool { return s.lineSize == 1 || s.lineSize == 2 && s.lineStart == '\r' }

// pending returns the size of the incomplete line. A carriage return that may begin the last, empty line does not count.
func (s *stream) pending() int {
	if s.lineSize == 1 && s.lineStart == '\r' {
		return 0
	}
	return s.lineSize
}

// endLine ends the current line. It reports whether the header section has ended with it.
func (s *stream) endLine() (headerEnds bool) {
	switch {
	case !s.inLines:
		s.inLines, s.requestLine = true, s.lineSize
	case s.isEmptyLine():
		headerEnds = true
	default:
		s.lines++
		s.size += s.lineSize
	}
	s.lineSize = 0
	return headerEnds
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

// nextChunked returns how many bytes of data belong to the chunks of a body. net/http reports a malformed one; whatever follows it
// counts as a header section.
func (s *stream) nextChunked(data []byte) (n int) {
	for n < len(data) && (s.part == framingChunk || s.part == framingChunkSize) {
		if s.part == framingChunk {
			m := min(int64(len(data)-n), s.left)
			n += int(m)
			if s.left -= m; s.left == 0 {
				s.part = framingChunkSize
			}
			continue
		}
		s.chunkSizeByte(data[n])
		n++
	}
	return n
}

// chunkSizeByte takes a byte of a line with the size of a chunk.
func (s *stream) chunkSizeByte(b byte) {
	switch {
	case b == '\n':
		s.endChunkSize()
	case len(s.chunkSize) < maxChunkSizeBytes:
		s.chunkSize = append(s.chunkSize, b)
	}
}

// endChunkSize evaluates the line with the size of a chunk. An empty line is the end of the chunk before.
func (s *stream) endChunkSize() {
	digits, _, _ := strings.Cut(strings.TrimRight(string(s.chunkSize), "\r"), ";")
	s.chunkSize = s.chunkSize[:0]
	if digits == "" {
		return
	}
	size, err := strconv.ParseInt(strings.TrimSpace(digits), 16, 64)
	switch {
	case err != nil || size < 0 || size == math.MaxInt64:
		s.beginHeader()
	case size == 0:
		s.part, s.size, s.lineSize = framingTrailer, 0, 0
	default:
		s.part, s.left = framingChunk, size
	}
}

// nextTrailer drops the fields of a trailer: no handler uses them, and net/http would parse all of them. The line break at its end is
// passed on. It must have a carriage return: net/http would else look for the end in the next request.
func (s *stream) nextTrailer(data []byte, limit int) (p piece, err error) {
	for _, b := range data {
		if s.lineSize++; s.lineSize == 1 {
			s.lineStart = b
		}
		switch {
		case s.lineStart == '\n', s.lineStart == '\r' && s.lineSize == 2 && b != '\n':
			return piece{}, errTrailer
		case s.lineStart == '\r':
			p.n++
			if b == '\n' {
				s.beginHeader()
				return p, nil
			}
			continue
		}
		p.skip++
		if b == '\n' {
			s.size, s.lineSize = s.size+s.lineSize, 0
		}
	}
	if s.size+s.lineSize > limit {
		return piece{}, errTrailer
	}
	return p, nil
}

// cost estimates the memory of the header section so far, in bytes.
func (s *stream) cost() int64 {
	return int64((s.requestLine+s.size+s.lineSize)*headerByteCost + s.lines*headerLineCost)
}
