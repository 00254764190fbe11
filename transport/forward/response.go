package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// maxResponses bounds the responses that are read in one exchange. All but the last may be informational or belong to
// other requests.
const maxResponses = 4

// readResponse reads the response to r. The duration is how long the connection may stay idle; if it is not positive,
// the connection must be closed.
func (h *Host) readResponse(ctx context.Context, c *conn, r Request) (Answer, time.Duration, error) {
	dropped := 0
	for range maxResponses {
		res, err := c.readHead(r.Method)
		if err != nil {
			return Answer{}, 0, afterDropped(dropped, err)
		}
		if res.StatusCode < http.StatusContinue || res.StatusCode == http.StatusSwitchingProtocols {
			return Answer{}, 0, afterDropped(dropped, errInvalidStatus)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if h.answers(c, r, res, dropped == 0) {
			return h.readAnswer(ctx, c, r, res, dropped)
		}
		if res.Close || r.Method == http.MethodHead {
			return Answer{}, 0, afterDropped(dropped, errMismatchedResponse)
		}
		if err := discard(res.Body, min(h.options.MaxResponseBytes, DefaultMaxResponseBytes)); err != nil {
			return Answer{}, 0, afterDropped(dropped, err)
		}
		dropped++
	}
	return Answer{}, 0, afterDropped(dropped, errTooManyResponses)
}

// readAnswer reads the body of res, the response to r, after the given number of responses to other requests.
func (h *Host) readAnswer(ctx context.Context, c *conn, r Request, res *http.Response, dropped int) (Answer, time.Duration, error) {
	length := res.ContentLength
	if res.Body == http.NoBody {
		// The response to a HEAD request declares the length of a body that it does not have.
		length = 0
	}
	body, segments, held, err := readHeld(ctx, res.Body, length, h.options.MaxResponseBytes, h.options.Budget)
	if err != nil {
		return Answer{}, 0, afterDropped(dropped, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		c.recordRefusal(r.ID)
	}
	a := Answer{
		Status: res.StatusCode, Header: res.Header, Body: body, Segments: segments, Connection: c.id, Dropped: dropped, held: held, budget: h.options.Budget,
	}
	return a, h.idleTimeout(c, r, a, res), nil
}

// answers reports whether res is the response to r. A target may repeat an earlier response at any time, so a response
// without the ID of r proves nothing about r, whatever its status. first is true when no other response was read before in
// this exchange.
func (h *Host) answers(c *conn, r Request, res *http.Response, first bool) bool {
	if r.ID == "" {
		return true
	}
	ids := res.Header.Values(h.options.IDHeader)
	switch {
	case len(ids) == 1 && ids[0] == r.ID:
		h.omitsID.Store(false)
		return true
	case len(ids) > 0 || !h.options.IDOptional:
		return false
	case first && !c.used:
		// There is no earlier response that the target could repeat.
		h.omitsID.Store(true)
		return true
	}
	return h.omitsID.Load() && res.StatusCode == http.StatusOK
}

// afterDropped adds to err the number of responses to other requests that were read before.
func afterDropped(n int, err error) error {
	if n == 0 {
		return err
	}
	return types.WrapFault(types.CodeTargetFailed, err, "after %d dropped answers of other requests", n)
}

// idleTimeout returns how long the connection may stay idle after answer a to r. It is 0 when the connection cannot be
// reused.
func (h *Host) idleTimeout(c *conn, r Request, a Answer, res *http.Response) time.Duration {
	if !reusable(c, r, a, res) {
		return 0
	}
	for _, p := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return h.options.IdleTimeout
}

// reusable reports whether another request may follow on the connection. Bytes after the response, or responses to other
// requests before it, mean that more may come. A repeat of a response to HEAD could not be separated from what follows it,
// because its length is that of a body which is not sent.
func reusable(c *conn, r Request, a Answer, res *http.Response) bool {
	untilClosed := res.ContentLength < 0 && len(res.TransferEncoding) == 0
	return !res.Close && !untilClosed && c.reader.Buffered() == 0 && a.Dropped == 0 && r.ID != "" && r.Method != http.MethodHead &&
		len(c.refused) < maxRefused
}
