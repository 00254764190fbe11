package target

import (
	"net/http"
	"strconv"
	"time"

	"sequoiasail.example/transport/target"
	"sequoiasail.example/types"
)

// maxDeadline bounds the remaining time in the deadline header, so that it can't overflow a duration.
const maxDeadline = 24 * time.Hour

// decodeRequest reads the headers of a service request. Malformed numbers are read as 0, which no grant covers.
func decodeRequest(method string, h http.Header, now time.Time) request {
	r := request{
		id:         types.RequestID(h.Get(target.HeaderRequestID)),
		key:        h.Get(target.HeaderKey),
		slot:       types.Slot(parseNumber(h.Get(target.HeaderSlot), 32)),
		leaseEpoch: types.Epoch(parseNumber(h.Get(target.HeaderLeaseEpoch), 64)),
		method:     method,
		crash:      h.Get(HeaderCrash) == "true",
	}
	if text := h.Get(target.HeaderDeadline); text != "" {
		r.deadline = now.Add(parseMilliseconds(text))
	}
	return r
}

// parseNumber parses an unsigned number. It returns 0 for a malformed one.
func parseNumber(text string, bits int) uint64 {
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0
	}
	return n
}

// parseMilliseconds parses a time in milliseconds. It returns 0 for a malformed or negative one.
func parseMilliseconds(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
}
