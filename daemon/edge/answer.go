package edge

import (
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"sequoiasail.example/admission"
	"sequoiasail.example/platform"
	"sequoiasail.example/telemetry"
	"sequoiasail.example/transport/forward"
	"sequoiasail.example/types"
)

// outcome is how a request ended, and the label of its counter.
type outcome string

// Outcomes of requests.
const (
	// outcomeAnswered: the caller got the answer of a target.
	outcomeAnswered outcome = "answered"
	// outcomeRefused: the request has not run and will not.
	outcomeRefused outcome = "refused"
	// outcomeFailed: the request may have run.
	outcomeFailed outcome = "failed"
	// outcomeRejected: the request is invalid or has no route.
	outcomeRejected outcome = "rejected"
	// outcomeCallerLeft: the caller closed its connection before the final action.
	outcomeCallerLeft outcome = "caller_left"
	// outcomeUndelivered: writing the answer to the caller's connection failed.
	outcomeUndelivered outcome = "undelivered"
)

var outcomes = []outcome{
	outcomeAnswered, outcomeRefused, outcomeFailed, outcomeRejected, outcomeCallerLeft, outcomeUndelivered,
}

// answerWriter writes the answer to one request and collects its final log line.
type answerWriter struct {
	http.ResponseWriter
	request *http.Request
	outcome outcome
	line    telemetry.Decision
	// short reports whether the connections of callers run short, nil if they have no limit. Refusals then close theirs.
	short func() bool
	// started is true once the status has been written.
	started bool
	// incomplete is true when the answer can't be completed. Its connection is closed then.
	incomplete bool
}

// WriteHeader writes the status.
func (a *answerWriter) WriteHeader(status int) {
	if a.outcome != outcomeAnswered && a.short != nil && a.short() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
	a.started = true
}

// conclude sets the outcome of the request and its text for the log.
func (a *answerWriter) conclude(o outcome, text string, code types.Code) {
	a.outcome, a.line.Outcome, a.line.Code = o, text, string(code)
}

// reject answers a request that is invalid or has no route, with the status of the fault's code.
func (a *answerWriter) reject(c platform.CallerRequest, fault *types.Fault) {
	a.conclude(outcomeRejected, "rejected", fault.Code)
	a.line.Reason = fault.Message
	a.skipBody()
	platform.WriteClientError(a, c.ID, fault.Code)
}

// rejectUnparsed returns the response to a request that net/http can't parse, in place of the answer of net/http with the given
// status and text. It logs and counts the request.
func (f *frontend) rejectUnparsed(remote string, status int, text string) []byte {
	line := telemetry.Decision{
		Kind: "answer", Outcome: "rejected", Code: string(types.CodeBadRequest), Reason: "not parsed: " + text, Detail: "caller " + remote,
	}
	ended := outcomeRejected
	switch status {
	case http.StatusRequestHeaderFieldsTooLarge:
		line.Code = string(types.CodeHeadersTooLarge)
	case http.StatusServiceUnavailable:
		ended, line.Outcome, line.Code = outcomeRefused, "refused, not run", string(types.CodeOverloaded)
	}
	f.log.LogDecision(line)
	f.requestMetrics.requests.Inc()
	f.requestMetrics.answers[ended].Inc()
	if ended == outcomeRejected {
		f.requestMetrics.rejected(line.Code)
	}
	return platform.EncodeRejection(status, refusalRetryAfter)
}

// refuse answers a valid request that this VM can't run now. The caller may retry it.
func (a *answerWriter) refuse(c platform.CallerRequest, code types.Code) {
	a.conclude(outcomeRefused, "refused, not run", code)
	a.skipBody()
	platform.WriteUnavailable(a, c.ID, refusalRetryAfter)
}

const (
	// skippedBodyWait is how long a rejection waits for the rest of the request's body: usually the whole body has arrived with the
	// header, and the connection can be used again.
	skippedBodyWait = 20 * time.Millisecond
	// skippedBodyBytes is how many bytes of such a body are read.
	skippedBodyBytes = 64 << 10
	// closingBodyWait is how long the connection then stays open for a body that has not ended, so that the caller gets the response
	// before the connection is reset.
	closingBodyWait = time.Second
)

// skipBody reads the rest of a body that is not needed. If it doesn't end soon, the response closes the connection: net/http
// would otherwise wait for the body without a limit before it sends the response. The body of a caller that waits for 100 Continue
// is not read, because that would ask for it.
func (a *answerWriter) skipBody() {
	if a.request.ContentLength == 0 || a.request.Header.Get("Expect") != "" {
		return
	}
	connection := http.NewResponseController(a.ResponseWriter)
	_ = connection.SetReadDeadline(time.Now().Add(skippedBodyWait))
	if _, err := io.CopyN(io.Discard, a.request.Body, skippedBodyBytes+1); err == io.EOF {
		_ = connection.SetReadDeadline(time.Time{})
		return
	}
	_ = connection.SetReadDeadline(time.Now().Add(closingBodyWait))
	a.Header().Set("Connection", "close")
}

// answer writes the final action of the admission core.
func (a *answerWriter) answer(p *pending, final admission.Action) {
	switch m := final.(type) {
	case admission.Reply:
		a.conclude(outcomeAnswered, "answered", "")
		if !platform.WriteResponse(a, m.Answer.(forward.Answer)) {
			a.conclude(outcomeFailed, "failed, may have run", types.CodeTargetFailed)
			platform.WriteGatewayError(a, p.call.ID, types.CodeTargetFailed)
		}
	case admission.Refuse:
		a.conclude(outcomeRefused, "refused, not run", m.Code)
		a.line.Detail = "retry after " + m.RetryAfter.String() + ", " + m.Reason
		if m.Code == types.CodeOverQuota {
			platform.WriteTooManyRequests(a, p.call.ID, m.RetryAfter)
			return
		}
		platform.WriteUnavailable(a, p.call.ID, m.RetryAfter)
	case admission.Fail:
		a.conclude(outcomeFailed, "failed, may have run", m.Code)
		platform.WriteGatewayError(a, p.call.ID, m.Code)
	}
}

// fail answers a request whose handling panicked: net/http would close its connection without an answer. Headers of an answer
// that was not started are removed.
func (a *answerWriter) fail(id types.RequestID, cause any) {
	a.conclude(outcomeFailed, "failed, may have run", types.CodePanic)
	a.line.Reason = fmt.Sprint(cause)
	if a.started {
		a.incomplete = true
		return
	}
	clear(a.Header())
	platform.WriteGatewayError(a, id, types.CodePanic)
}

// markCallerLeft makes the final line one about a caller that has left. Its outcome tells whether the request may have run.
func (a *answerWriter) markCallerLeft() { a.line.Kind = "caller left" }

// flush sends the answer. The final line has the cause when that fails.
func (a *answerWriter) flush() {
	if a.incomplete {
		return
	}
	if err := http.NewResponseController(a.ResponseWriter).Flush(); err != nil {
		a.outcome = outcomeUndelivered
		a.line.Reason = "not delivered: " + err.Error()
	}
}

// finish ends the handling of a request: it sends the answer, writes the final log line and counts the outcome. It is deferred,
// so that no path leaves a request without them.
func (f *frontend) finish(a *answerWriter) {
	if cause := recover(); cause != nil {
		f.log.Warn("panic while a request was handled", log.Fields{
			"request": a.line.RequestID, "error": fmt.Sprint(cause), "stack": string(debug.Stack()),
		})
		a.fail(types.RequestID(a.line.RequestID), cause)
	}
	a.flush()
	if a.line.Kind != "answer" {
		a.outcome = outcomeCallerLeft
	}
	f.log.LogDecision(a.line)
	f.requestMetrics.answers[a.outcome].Inc()
	if a.outcome == outcomeRejected {
		f.requestMetrics.rejected(a.line.Code)
	}
	if a.incomplete {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
