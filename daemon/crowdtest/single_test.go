package crowdtest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// headerLimit is max_header_bytes of the configuration of all deployments.
const headerLimit = 16 << 10

// legalRequests are requests inside the limits, each without the text that ends its connection.
func legalRequests() map[string]string {
	get := func(lines string) string { return string(requestStart("GET", "/v1/small/1", 0)) + lines + "\r\n" }
	numbered := func(n int, format string) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, format, i)
		}
		return b.String()
	}
	full := bytes.Clone(requestStart("GET", "/v1/small/1", 0))
	section := len(full) - bytes.IndexByte(full, '\n') - 1
	for i := 0; section+len(full) < headerLimit; i++ {
		line := fmt.Sprintf("%x:\n", i)
		if section += len(line); section > headerLimit {
			break
		}
		full = append(full, line...)
	}
	return map[string]string{
		"140 lines":               get(numbered(140, "X%d:\r\n")),
		"500 lines":               get(numbered(500, "X-Header-%d: 1\r\n")),
		"one name 300 times":      get(strings.Repeat("X-Name: value\r\n", 300)),
		"as many lines as fit":    string(full) + "\n",
		"one long line":           get("X-Long: " + strings.Repeat("l", 16_000) + "\r\n"),
		"empty line before":       "\r\n" + get(""),
		"line feed before":        "\n" + get(""),
		"five empty lines before": strings.Repeat("\r\n", 5) + get(""),
		"trailer": string(requestStart("GET", "/v1/small/1", 0)) + "Transfer-Encoding: chunked\r\n\r\n4;e=1\r\nbody\r\n0\r\n" +
			numbered(1000, "X-Trailer-%d: 1\r\n")[:16_000] + "\r\n\r\n",
	}
}

// exchange sends text on a connection and returns the status of the response, 0 if there is none.
func exchange(c net.Conn, r *bufio.Reader, text string) int {
	_ = c.SetDeadline(time.Now().Add(answerLimit))
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// Guards against a limit that a client inside the limits of the configuration meets in calm: of lines, of empty lines before a
// request, of trailers. The connection can be used again.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	for name, begin := range starts {
		t.Run(name, func(t *testing.T) {
			p := begin(t, memoryMB, 0)
			for name, text := range legalRequests() {
				c, err := net.Dial("tcp", p.address)
				check(t, err)
				r := bufio.NewReader(c)
				for i := range 2 {
					if got := exchange(c, r, text); got != http.StatusOK {
						t.Errorf("%s, request %d: status %d", name, i+1, got)
						break
					}
				}
				_ = c.Close()
			}
			p.checkAlive()
		})
	}
}

// Guards against a header section inside the limits of a configuration that is refused by a limit of the process.
func TestWideLimitsOfAConfigurationAreKept(t *testing.T) {
	const limit = 256 << 10
	p := edgeWith(func(configuration []byte) []byte {
		return bytes.Replace(configuration, []byte(`"max_header_bytes":16384`), fmt.Appendf(nil, `"max_header_bytes":%d`, limit), 1)
	})(t, memoryMB, 0)
	c, err := net.Dial("tcp", p.address)
	check(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	lines := strings.Repeat("X-Wide: "+strings.Repeat("w", 990)+"\r\n", limit/1024)
	if got := exchange(c, r, string(requestStart("GET", "/v1/small/1", 0))+lines+"\r\n"); got != http.StatusOK {
		t.Errorf("a header section of %d bytes, %d allowed: status %d", len(lines), limit, got)
	}
	if got := exchange(c, r, string(requestStart("GET", "/v1/small/1", 0))+lines+lines[:10_000]+"\r\n"); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header section of %d bytes, %d allowed: status %d", len(lines)+10_000, limit, got)
	}
}
