package target

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// Paths of a target's control interface. Bodies are JSON. All other paths are those of the service.
const (
	// PathGrant and PathRenew accept POST of a GrantRequest or RenewRequest and return a GrantResponse.
	PathGrant = "/-/grant"
	PathRenew = "/-/renew"
	// PathRelease accepts POST of a ReleaseRequest and returns a GrantResponse.
	PathRelease = "/-/release"
	// PathCancel accepts POST of a CancelRequest.
	PathCancel = "/-/cancel"
	// PathHealth accepts GET and returns a Health.
	PathHealth = "/-/health"
	// PathLoad accepts GET and returns a Load.
	PathLoad = "/-/load"
	// PathDrain accepts POST.
	PathDrain = "/-/drain"
)

// Headers of requests to a target.
const (
	HeaderRequestID  = "Sail-Request-Id"
	HeaderService    = "Sail-Service"
	HeaderKey        = "Sail-Key"
	HeaderSlot       = "Sail-Slot"
	HeaderLeaseEpoch = "Sail-Lease-Epoch"
	// HeaderDeadline is the time until the caller's deadline, in milliseconds.
	HeaderDeadline = "Sail-Deadline-Ms"
)

// Headers of a target's responses, beside HeaderRequestID, which the target copies from the request.
const (
	HeaderIncarnation = "Sail-Incarnation"
	// HeaderLoad is the target's Load as "running/slots".
	HeaderLoad = "Sail-Load"
	// HeaderNotRun is "true" on a response with status 503 when the target has not run and will not run the request.
	HeaderNotRun = "Sail-Not-Run"
	// HeaderCode is the fault code of a refusal.
	HeaderCode = "Sail-Code"
)

// headerPrefix is the prefix of reserved headers, which callers cannot set.
const headerPrefix = "Sail-"

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	RequestID types.RequestID `json:"requestId"`
}

// FaultResponse is the body of every control response whose status is not 200.
type FaultResponse struct {
	Code    types.Code `json:"code"`
	Message string     `json:"message"`
	// GrantResponse is set when a grant, renew or release call is refused.
	GrantResponse
}

// refusalCodes are the fault codes that a target may return with a refusal.
var refusalCodes = map[types.Code]bool{
	types.CodeOverloaded:       true,
	types.CodeShuttingDown:     true,
	types.CodeStaleEpoch:       true,
	types.CodeStaleToken:       true,
	types.CodeNotLeaseHolder:   true,
	types.CodeCancelled:        true,
	types.CodeDeadlineExceeded: true,
	types.CodeBadRequest:       true,
}

// hopByHopHeaders are not forwarded, because they apply to one connection only. Expect would delay the body until the
// target asks for it.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// String returns the form used in HeaderLoad.
func (l Load) String() string { return strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Slots) }

// parseLoad parses the value of HeaderLoad. It returns the zero Load for a malformed value.
func parseLoad(s string) Load {
	left, right, _ := strings.Cut(s, "/")
	running, err1 := strconv.ParseUint(left, 10, 31)
	slots, err2 := strconv.ParseUint(right, 10, 31)
	if err1 != nil || err2 != nil {
		return Load{}
	}
	return Load{Running: int(running), Slots: int(slots)}
}

// parseIncarnation parses the value of HeaderIncarnation. It returns 0 for a malformed value.
func parseIncarnation(s string) types.Incarnation {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return types.Incarnation(n)
}

// encodeHeader returns the headers that are sent with r. now is used to compute HeaderDeadline.
func encodeHeader(r Request, now time.Time) http.Header {
	h := make(http.Header, len(r.Header)+len(requestHeaders))
	for name, values := range r.Header {
		if !hopByHopHeaders[name] && !strings.HasPrefix(name, headerPrefix) {
			h[name] = values
		}
	}
	values := [...]string{
		string(r.RequestID),
		string(r.Service),
		r.Key,
		strconv.FormatUint(uint64(r.Slot), 10),
		strconv.FormatUint(uint64(r.LeaseEpoch), 10),
		strconv.FormatInt(r.Deadline.Sub(now).Milliseconds(), 10),
	}
	for i, name := range requestHeaders {
		h[name] = values[i : i+1 : i+1]
	}
	if r.Deadline.IsZero() {
		delete(h, HeaderDeadline)
	}
	return h
}

// requestHeaders lists the reserved request headers in the order of the values in encodeHeader.
var requestHeaders = [...]string{
	HeaderRequestID, HeaderService, HeaderKey, HeaderSlot, HeaderLeaseEpoch, HeaderDeadline,
}

// decodeFault returns the fault of a control response. A body without a known code gives a target-failed fault.
func decodeFault(status int, body []byte) (FaultResponse, *types.Fault) {
	var a FaultResponse
	if json.Unmarshal(body, &a) != nil || !refusalCodes[a.Code] {
		return FaultResponse{}, types.NewFault(types.CodeTargetFailed, "target answered status %d", status)
	}
	return a, types.NewFault(a.Code, "%s", a.Message)
}

// decode decodes the body of a control response.
func decode[T any](body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, types.WrapFault(types.CodeTargetFailed, err, "decode target answer")
	}
	return v, nil
}
