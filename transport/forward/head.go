package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
)

// maxHeadBytes bounds the status line and the headers of a response, in bytes. It is the size of a connection's read buffer.
const maxHeadBytes = 8 << 10

// responseStart is the start of every response.
var responseStart = []byte("HTTP/1.")

// statusLine matches the start of a status line. The version alone is valid in headers such as Via.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] +[0-9]{3}`)

// readHead reads the status line and the headers of a response to a request with the given method.
func (c *conn) readHead(method string) (*http.Response, error) {
	head, err := c.peekHead()
	if err != nil {
		return nil, err
	}
	if spliced(head) {
		return nil, errSplicedHead
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// peekHead returns the next head in the read buffer, up to and including the empty line, and leaves it unread.
func (c *conn) peekHead() ([]byte, error) {
	for searched := 0; ; {
		_, err := c.reader.Peek(searched + 1)
		// The error is that of the line above: these bytes are buffered.
		data, _ := c.reader.Peek(c.reader.Buffered())
		if !bytes.HasPrefix(data, responseStart[:min(len(data), len(responseStart))]) {
			return nil, errNoResponse
		}
		// The line break before the empty line may be among the bytes that were searched before.
		if end := headEnd(data, max(0, searched-len("\n\r\n"))); end > 0 {
			return data[:end], nil
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errHeadTooLong
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		searched = len(data)
	}
}

// headEnd returns the end of the first empty line of data that starts after from, or 0 if there is none.
func headEnd(data []byte, from int) int {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := data[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

// spliced reports whether a head contains a second status line: an earlier response that was cut in its head is followed by
// another response, and the first line and the headers come from both. The bytes are searched, because net/http drops some
// headers, such as Transfer-Encoding under HTTP/1.0.
func spliced(head []byte) bool {
	rest := head[len(responseStart):]
	return bytes.Contains(rest, responseStart) && statusLine.Match(rest)
}
