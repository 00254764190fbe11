package target

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiasail.example/types"
)

// Paths of a target's control interface. Bodies are JSON. All other paths belong to the service.
const (
	// PathGrant and PathRenew answer POST of a GrantRequest or RenewRequest by a GrantAnswer.
	PathGrant = "/-/grant"
	PathRenew = "/-/renew"
	// PathRelease answers POST of a ReleaseRequest.
	PathRelease = "/-/release"
	// PathCancel answers POST of a CancelRequest.
	PathCancel = "/-/cancel"
	// PathHealth answers GET by a Health.
	PathHealth = "/-/health"
	// PathLoad answers GET by a Load.
	PathLoad = "/-/load"
	// PathDrain answers POST.
	PathDrain = "/-/drain"
)

// Headers of requests to a target.
const (
	HeaderRequestID  = "Sail-Request-Id"
	HeaderService    = "Sail-Service"
	HeaderKey        = "Sail-Key"
	HeaderSlot       = "Sail-Slot"
	HeaderLeaseEpoch = "Sail-Lease-Epoch"
	// HeaderDeadline is the time left to the caller, in milliseconds.
	HeaderDeadline = "Sail-Deadline-Ms"
)

// Headers of a target's answers. HeaderRequestID is echoed.
const (
	HeaderIncarnation = "Sail-Incarnation"
	// HeaderLoad is "running/slots".
	HeaderLoad = "Sail-Load"
	// HeaderNotRun is "true" on a status 503 when the target has not run and will not run the request.
	HeaderNotRun = "Sail-Not-Run"
	// HeaderCode is the fault code of a refusal.
	HeaderCode = "Sail-Code"
)

// headerPrefix marks the headers that only this interface sets.
const headerPrefix = "Sail-"

// CancelRequest is the body of a cancellation.
type CancelRequest struct {
	RequestID types.RequestID `json:"requestId"`
}

// FaultAnswer is the body of every control answer whose status is not 200.
type FaultAnswer struct {
	Code    types.Code `json:"code"`
	Message string     `json:"message"`
	// GrantAnswer is set when a call about a grant is refused.
	GrantAnswer
}

// refusalCodes lists the codes that a target may give as the reason of a refusal.
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

// hopHeaders are valid for one connection only. Expect would hold the body back until the target asks for it.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// String returns the form used in HeaderLoad.
func (l Load) String() string { return strconv.Itoa(l.Running) + "/" + strconv.Itoa(l.Slots) }

// parseLoad reads HeaderLoad. It returns the zero Load for anything else.
func parseLoad(s string) Load {
	left, right, _ := strings.Cut(s, "/")
	running, err1 := strconv.ParseUint(left, 10, 31)
	slots, err2 := strconv.ParseUint(right, 10, 31)
	if err1 != nil || err2 != nil {
		return Load{}
	}
	return Load{Running: int(running), Slots: int(slots)}
}

// parseIncarnation reads HeaderIncarnation. It returns 0 for anything else.
func parseIncarnation(s string) types.Incarnation {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return types.Incarnation(n)
}

// encodeHeader returns the headers of r as they are sent at time now.
func encodeHeader(r Request, now time.Time) http.Header {
	h := make(http.Header, len(r.Header)+len(requestHeaders))
	for name, values := range r.Header {
		if !hopHeaders[name] && !strings.HasPrefix(name, headerPrefix) {
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

// requestHeaders is in the order of the values in encodeHeader.
var requestHeaders = [...]string{
	HeaderRequestID, HeaderService, HeaderKey, HeaderSlot, HeaderLeaseEpoch, HeaderDeadline,
}

// decodeFault returns the fault of a control answer. A body without a known code gives a target-failed fault.
func decodeFault(status int, body []byte) (FaultAnswer, *types.Fault) {
	var a FaultAnswer
	if json.Unmarshal(body, &a) != nil || !refusalCodes[a.Code] {
		return FaultAnswer{}, types.NewFault(types.CodeTargetFailed, "target answered status %d", status)
	}
	return a, types.NewFault(a.Code, "%s", a.Message)
}

// decode reads one control answer.
func decode[T any](body []byte) (T, error) {
	var v T
	if err := json.Unmarshal(body, &v); err != nil {
		return v, types.WrapFault(types.CodeTargetFailed, err, "decode target answer")
	}
	return v, nil
}
